//! Encoding of messages.

use super::{
    endpoint_lease, flag, lifecycle, message_tag, part_tag, HandoverMessage, StatePart, MAGIC,
    MAX_MESSAGE_LENGTH,
};
use crate::routing::store::KeyedEntry;
use crate::routing::{Endpoint, Lifecycle, TransferredConnection};
use crate::{LearnedState, Time};

/// Encodes a message. Returns `None` if it would be longer than [`MAX_MESSAGE_LENGTH`].
pub fn encode(message: &HandoverMessage) -> Option<Vec<u8>> {
    let mut encoder = Encoder(MAGIC.to_vec());
    encoder.message(message);
    Some(encoder.0).filter(|bytes| bytes.len() <= MAX_MESSAGE_LENGTH)
}

/// Bytes of a message that is being encoded.
struct Encoder(Vec<u8>);

impl Encoder {
    fn byte(&mut self, byte: u8) -> &mut Encoder {
        self.0.push(byte);
        self
    }

    fn bytes(&mut self, bytes: &[u8]) -> &mut Encoder {
        // Bytes whose length does not fit make the message longer than MAX_MESSAGE_LENGTH, so that it is not
        // sent.
        let length = bytes.len().min(usize::from(u16::MAX)) as u16;
        self.0.extend(length.to_be_bytes());
        self.0.extend(bytes);
        self
    }

    fn text(&mut self, text: &str) -> &mut Encoder {
        self.bytes(text.as_bytes())
    }

    fn flag(&mut self, is_set: bool) -> &mut Encoder {
        self.byte(if is_set { flag::YES } else { flag::NO })
    }

    fn f64(&mut self, number: f64) -> &mut Encoder {
        self.0.extend(number.to_be_bytes());
        self
    }

    fn u64(&mut self, number: u64) -> &mut Encoder {
        self.0.extend(number.to_be_bytes());
        self
    }

    fn u32(&mut self, number: u32) -> &mut Encoder {
        self.0.extend(number.to_be_bytes());
        self
    }

    fn time(&mut self, time: Time) -> &mut Encoder {
        self.u64(time.0)
    }

    fn optional<T>(
        &mut self,
        value: &Option<T>,
        encode: impl for<'a> FnOnce(&'a mut Encoder, &T) -> &'a mut Encoder,
    ) -> &mut Encoder {
        self.flag(value.is_some());
        if let Some(value) = value {
            encode(self, value);
        }
        self
    }

    fn optional_text(&mut self, text: &Option<String>) -> &mut Encoder {
        self.optional(text, |encoder, text| encoder.text(text))
    }

    fn optional_f64(&mut self, number: &Option<f64>) -> &mut Encoder {
        self.optional(number, |encoder, number| encoder.f64(*number))
    }

    fn optional_time(&mut self, time: &Option<Time>) -> &mut Encoder {
        self.optional(time, |encoder, time| encoder.time(*time))
    }

    fn learned_state(&mut self, learned: &LearnedState) -> &mut Encoder {
        self.f64(learned.ceiling)
            .optional_time(&learned.last_fault)
            .u32(learned.failure_score)
            .optional_time(&learned.last_failure)
            .time(learned.ejected_until)
            .time(learned.next_slow_start_attempt_at)
            .optional_time(&learned.last_migration)
    }

    fn lifecycle(&mut self, lifecycle: Lifecycle) -> &mut Encoder {
        match lifecycle {
            Lifecycle::Ready => self.byte(lifecycle::READY),
            Lifecycle::Draining | Lifecycle::Gone => self.byte(lifecycle::DRAINING),
        }
    }

    fn endpoint(&mut self, endpoint: &Endpoint) -> &mut Encoder {
        self.text(&endpoint.name)
            .text(&endpoint.address)
            .text(&endpoint.zone)
            .u32(endpoint.cell)
            .lifecycle(endpoint.lifecycle)
            .f64(endpoint.weight)
            .optional_time(&endpoint.started_at)
    }

    fn established_connection(&mut self, established: &TransferredConnection) -> &mut Encoder {
        let request = &established.request;
        self.optional_text(&request.id)
            .text(&request.class)
            .optional_text(&request.tenant)
            .optional(&request.group, |encoder, group| encoder.u64(*group))
            .optional_f64(&request.load)
            .text(&established.server)
            .optional_f64(&established.reported_load)
            .optional_time(&established.awaiting_server_since)
    }

    fn socket(&mut self, name: &str) -> &mut Encoder {
        self.byte(message_tag::SOCKET).text(name)
    }

    fn part_of_kind(&mut self, kind: u8) -> &mut Encoder {
        self.byte(message_tag::PART).byte(kind)
    }

    fn part(&mut self, part: &StatePart) -> &mut Encoder {
        match part {
            StatePart::Excluded(server) => self.part_of_kind(part_tag::EXCLUDED).text(server),
            StatePart::EverListed(server) => self.part_of_kind(part_tag::EVER_LISTED).text(server),
            StatePart::Entry(KeyedEntry { key, entry }) => self
                .part_of_kind(part_tag::ENTRY)
                .text(key)
                .u64(entry.counter)
                .text(&entry.node)
                .optional_text(&entry.value),
            StatePart::Endpoint { pool, endpoint, learned_state } => self
                .part_of_kind(part_tag::ENDPOINT)
                .text(pool)
                .endpoint(endpoint)
                .optional(learned_state, |encoder, learned_state| encoder.learned_state(learned_state)),
            StatePart::EndpointLease { pool, lease } => {
                self.socket(&endpoint_lease::socket_name(pool, *lease))
            }
            StatePart::Readmitted { pool, server, readmitted_at } => {
                self.part_of_kind(part_tag::READMITTED).text(pool).text(server).time(*readmitted_at)
            }
            StatePart::RequestId { pool, id } => self.part_of_kind(part_tag::ID).text(pool).text(id),
            StatePart::OpenDescriptors(count) => self.part_of_kind(part_tag::OPEN_DESCRIPTORS).u64(*count),
        }
    }

    fn message(&mut self, message: &HandoverMessage) -> &mut Encoder {
        match message {
            HandoverMessage::RequestState => self.byte(message_tag::REQUEST_STATE),
            HandoverMessage::Socket(name) => self.socket(name),
            HandoverMessage::StatePart(part) => self.part(part),
            HandoverMessage::Done => self.byte(message_tag::DONE),
            HandoverMessage::Serving => self.byte(message_tag::SERVING),
            HandoverMessage::EstablishedConnection { front, established, state } => self
                .byte(message_tag::ESTABLISHED_CONNECTION)
                .text(front)
                .established_connection(established)
                .bytes(state),
            HandoverMessage::ShareExclusion { number, server, excluded } => {
                self.byte(message_tag::SHARE_EXCLUSION).u64(*number).text(server).flag(*excluded)
            }
            HandoverMessage::ExclusionAcknowledged { number } => {
                self.byte(message_tag::EXCLUSION_ACKNOWLEDGED).u64(*number)
            }
            HandoverMessage::SharesRequestIds => self.byte(message_tag::SHARES_REQUEST_IDS),
            HandoverMessage::RequestAdmitted { pool, id } => {
                self.byte(message_tag::REQUEST_ADMITTED).text(pool).text(id)
            }
        }
    }
}
