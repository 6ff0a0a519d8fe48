//! Decoding of messages.

use winnow::binary::{be_f64, be_u16, be_u32, be_u64, length_take, u8};
use winnow::combinator::{dispatch, fail, preceded};
use winnow::{ModalResult, Parser};

use super::{endpoint_lease, flag, lifecycle, message_tag, part_tag, HandoverMessage, StatePart, MAGIC};
use crate::policy::outlier_detection::MAX_FAILURE_SCORE;
use crate::routing::store::{Entry, KeyedEntry, ReplicatedMap};
use crate::routing::{ConnectionRequest, Endpoint, Lifecycle, TransferredConnection};
use crate::{LearnedState, Time};

/// Decodes a message. Returns `None` if it is malformed.
pub fn decode(bytes: &[u8]) -> Option<HandoverMessage> {
    preceded(MAGIC, parse_message).parse(bytes).ok()
}

fn parse_bytes(input: &mut &[u8]) -> ModalResult<Vec<u8>> {
    length_take(be_u16).map(|bytes: &[u8]| bytes.to_vec()).parse_next(input)
}

fn parse_text(input: &mut &[u8]) -> ModalResult<String> {
    parse_bytes.verify_map(|bytes| String::from_utf8(bytes).ok()).parse_next(input)
}

fn parse_flag(input: &mut &[u8]) -> ModalResult<bool> {
    dispatch! {u8; flag::NO => ().value(false), flag::YES => ().value(true), _ => fail}.parse_next(input)
}

/// Returns a parser of a value that may be absent.
fn optional<'a, T>(
    mut parse: impl FnMut(&mut &'a [u8]) -> ModalResult<T>,
) -> impl FnMut(&mut &'a [u8]) -> ModalResult<Option<T>> {
    move |input| if parse_flag(input)? { parse(input).map(Some) } else { Ok(None) }
}

fn parse_time(input: &mut &[u8]) -> ModalResult<Time> {
    be_u64.map(Time).parse_next(input)
}

/// Parses a finite number. Other numbers are never sent, so a message with one is malformed.
fn parse_number(input: &mut &[u8]) -> ModalResult<f64> {
    be_f64.verify(|number: &f64| number.is_finite()).parse_next(input)
}

fn parse_learned_state(input: &mut &[u8]) -> ModalResult<LearnedState> {
    let mut parse_failures = be_u32.verify(|failures| *failures <= MAX_FAILURE_SCORE);
    Ok(LearnedState {
        ceiling: parse_number.verify(|ceiling| *ceiling >= 0.0).parse_next(input)?,
        last_fault: optional(parse_time).parse_next(input)?,
        failure_score: parse_failures.parse_next(input)?,
        last_failure: optional(parse_time).parse_next(input)?,
        ejected_until: parse_time(input)?,
        next_slow_start_attempt_at: parse_time(input)?,
        last_migration: optional(parse_time).parse_next(input)?,
    })
}

fn parse_lifecycle(input: &mut &[u8]) -> ModalResult<Lifecycle> {
    dispatch! {u8;
        lifecycle::READY => ().value(Lifecycle::Ready),
        lifecycle::DRAINING => ().value(Lifecycle::Draining),
        _ => fail,
    }
    .parse_next(input)
}

fn parse_endpoint(input: &mut &[u8]) -> ModalResult<Endpoint> {
    Ok(Endpoint {
        name: parse_text(input)?,
        address: parse_text(input)?,
        zone: parse_text(input)?,
        cell: be_u32(input)?,
        lifecycle: parse_lifecycle(input)?,
        weight: parse_number(input)?,
        started_at: optional(parse_time).parse_next(input)?,
    })
}

fn parse_connection_request(input: &mut &[u8]) -> ModalResult<ConnectionRequest> {
    Ok(ConnectionRequest {
        id: optional(parse_text).parse_next(input)?,
        class: parse_text(input)?,
        tenant: optional(parse_text).parse_next(input)?,
        group: optional(be_u64).parse_next(input)?,
        load: optional(parse_number).parse_next(input)?,
        timeout: None,
        established_server: None,
        // The message does not contain these two, since the previous version does not know them. A client
        // without a key is not recognised when it returns after a migration.
        key: None,
        reconnecting: false,
    })
}

fn parse_established_connection(input: &mut &[u8]) -> ModalResult<TransferredConnection> {
    let (request, server, load, awaiting_server_since) =
        (parse_connection_request, parse_text, optional(parse_number), optional(parse_time))
            .parse_next(input)?;
    Ok(TransferredConnection { request, server, reported_load: load, awaiting_server_since })
}

fn parse_entry(input: &mut &[u8]) -> ModalResult<StatePart> {
    let fields = (parse_text, be_u64, parse_text, optional(parse_text));
    fields
        .map(|(key, counter, node, value)| KeyedEntry { key, entry: Entry { counter, node, value } })
        .verify(|KeyedEntry { key, entry }| ReplicatedMap::is_valid(key, entry))
        .map(StatePart::Entry)
        .parse_next(input)
}

fn parse_pool_endpoint(input: &mut &[u8]) -> ModalResult<StatePart> {
    let fields = (parse_text, parse_endpoint, optional(parse_learned_state));
    fields
        .map(|(pool, endpoint, learned_state)| StatePart::Endpoint { pool, endpoint, learned_state })
        .parse_next(input)
}

fn parse_readmitted(input: &mut &[u8]) -> ModalResult<StatePart> {
    let fields = (parse_text, parse_text, parse_time);
    fields
        .map(|(pool, server, readmitted_at)| StatePart::Readmitted { pool, server, readmitted_at })
        .parse_next(input)
}

fn parse_part(input: &mut &[u8]) -> ModalResult<StatePart> {
    dispatch! {u8;
        part_tag::EXCLUDED => parse_text.map(StatePart::Excluded),
        part_tag::EVER_LISTED => parse_text.map(StatePart::EverListed),
        part_tag::ENTRY => parse_entry,
        part_tag::ENDPOINT => parse_pool_endpoint,
        part_tag::READMITTED => parse_readmitted,
        part_tag::ID => (parse_text, parse_text).map(|(pool, id)| StatePart::RequestId { pool, id }),
        part_tag::OPEN_DESCRIPTORS => be_u64.map(StatePart::OpenDescriptors),
        _ => fail,
    }
    .parse_next(input)
}

fn parse_connection(input: &mut &[u8]) -> ModalResult<HandoverMessage> {
    let (front, established, state) =
        (parse_text, parse_established_connection, parse_bytes).parse_next(input)?;
    Ok(HandoverMessage::EstablishedConnection { front, established, state })
}

fn parse_share(input: &mut &[u8]) -> ModalResult<HandoverMessage> {
    let (number, server, excluded) = (be_u64, parse_text, parse_flag).parse_next(input)?;
    Ok(HandoverMessage::ShareExclusion { number, server, excluded })
}

/// Returns the message of a socket with this name.
fn socket_message(name: String) -> HandoverMessage {
    match endpoint_lease::parse_socket_name(&name) {
        Some(lease) => HandoverMessage::StatePart(lease),
        None => HandoverMessage::Socket(name),
    }
}

fn parse_message(input: &mut &[u8]) -> ModalResult<HandoverMessage> {
    dispatch! {u8;
        message_tag::REQUEST_STATE => ().value(HandoverMessage::RequestState),
        message_tag::SOCKET => parse_text.map(socket_message),
        message_tag::PART => parse_part.map(HandoverMessage::StatePart),
        message_tag::DONE => ().value(HandoverMessage::Done),
        message_tag::SERVING => ().value(HandoverMessage::Serving),
        message_tag::ESTABLISHED_CONNECTION => parse_connection,
        message_tag::SHARE_EXCLUSION => parse_share,
        message_tag::SHARES_REQUEST_IDS => ().value(HandoverMessage::SharesRequestIds),
        message_tag::REQUEST_ADMITTED => (parse_text, parse_text).map(|(pool, id)| HandoverMessage::RequestAdmitted { pool, id }),
        message_tag::EXCLUSION_ACKNOWLEDGED => be_u64.map(|number| HandoverMessage::ExclusionAcknowledged { number }),
        _ => fail,
    }
    .parse_next(input)
}
