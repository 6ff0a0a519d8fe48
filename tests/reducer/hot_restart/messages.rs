//! Encoding and decoding of the messages of a hot restart.

use connection_balancer::protocol::hot_restart::{decode, encode, HandoverMessage, StatePart};
use connection_balancer::routing::store::{Entry, KeyedEntry};
use connection_balancer::routing::*;
use connection_balancer::ListContinuity::{self, Continuous, Interrupted, Silent};
use connection_balancer::{EndpointLeaseState, LearnedState, Time};
use proptest::prelude::*;

fn optional_time() -> impl Strategy<Value = Option<Time>> {
    prop::option::of(any::<u64>().prop_map(Time))
}

fn name() -> impl Strategy<Value = String> {
    "[ -~]{0,40}"
}

fn learned_state() -> impl Strategy<Value = LearnedState> {
    (0.0..1e9f64, optional_time(), 0u32..17, optional_time(), any::<u64>()).prop_map(
        |(ceiling, last_event, failure_score, last_failure, ejected_until)| LearnedState {
            ceiling,
            failure_score,
            last_failure,
            ejected_until: Time(ejected_until),
            next_slow_start_attempt_at: Time(ejected_until / 2),
            last_fault: last_event,
            last_migration: last_event,
        },
    )
}

fn endpoint() -> impl Strategy<Value = Endpoint> {
    (name(), name(), any::<u32>(), any::<bool>(), 0.0..9.0f64, optional_time()).prop_map(
        |(name, zone, cell, is_ready, weight, started_at)| Endpoint {
            address: format!("{name}:1"),
            lifecycle: if is_ready { Lifecycle::Ready } else { Lifecycle::Draining },
            name,
            zone,
            cell,
            weight,
            started_at,
        },
    )
}

fn any_request() -> impl Strategy<Value = ConnectionRequest> {
    (prop::option::of(name()), name(), prop::option::of(any::<u64>()), prop::option::of(0.0..9.0f64))
        .prop_map(|(id, class, group, load)| ConnectionRequest {
            tenant: id.clone(),
            id,
            class,
            group,
            load,
            ..ConnectionRequest::default()
        })
}

fn established_message() -> impl Strategy<Value = HandoverMessage> {
    (name(), any_request(), optional_time(), prop::collection::vec(any::<u8>(), 0..60)).prop_map(
        |(server, request, awaiting_server_since, state)| {
            let load = request.load;
            let established =
                TransferredConnection { reported_load: load, request, server, awaiting_server_since };
            HandoverMessage::EstablishedConnection { front: "irc".to_owned(), established, state }
        },
    )
}

fn messages() -> impl Strategy<Value = HandoverMessage> {
    prop_oneof![
        prop::sample::select(vec![
            HandoverMessage::RequestState,
            HandoverMessage::Done,
            HandoverMessage::Serving
        ]),
        name().prop_map(HandoverMessage::Socket),
        (name(), endpoint(), prop::option::of(learned_state())).prop_map(
            |(pool, endpoint, learned_state)| {
                HandoverMessage::StatePart(StatePart::Endpoint { pool, endpoint, learned_state })
            }
        ),
        (name(), any::<u64>(), prop::sample::select(vec![Continuous, Silent, Interrupted])).prop_map(
            |(pool, expires_at, continuity)| {
                let lease = EndpointLeaseState { expires_at: Time(expires_at), continuity };
                HandoverMessage::StatePart(StatePart::EndpointLease { pool, lease })
            }
        ),
        ("[a-z]{1,40}", 1u64..99, prop::option::of(name())).prop_map(|(key, counter, value)| {
            HandoverMessage::StatePart(StatePart::Entry(KeyedEntry {
                key,
                entry: Entry { counter, node: "n".to_owned(), value },
            }))
        }),
        established_message(),
        (any::<u64>(), name(), any::<bool>()).prop_map(|(number, server, excluded)| {
            HandoverMessage::ShareExclusion { number, server, excluded }
        }),
    ]
}

proptest! {
    /// A message decodes to itself. A truncated message, or one followed by further bytes, cannot be decoded.
    #[test]
    fn decodes_exactly_the_encoded_messages(message in messages(), cut in any::<prop::sample::Index>()) {
        let mut bytes = encode(&message).expect("fits a datagram");
        prop_assert_eq!(decode(&bytes), Some(message));
        prop_assert_eq!(decode(&bytes[..cut.index(bytes.len())]), None);
        bytes.push(0);
        prop_assert_eq!(decode(&bytes), None);
    }

    #[test]
    fn decodes_or_rejects_any_bytes(mut bytes in prop::collection::vec(any::<u8>(), 0..300), has_magic in any::<bool>()) {
        if has_magic {
            bytes.splice(0..0, *b"SGH1");
        }
        let _ = decode(&bytes);
    }
}

/// Processes of different versions hand over to each other, so the encoding must not change.
#[test]
fn known_messages_keep_their_encoding() {
    let learned = LearnedState {
        ceiling: 4.5,
        last_fault: Some(Time(7)),
        failure_score: 3,
        last_failure: None,
        ejected_until: Time(8),
        next_slow_start_attempt_at: Time(9),
        last_migration: Some(Time(10)),
    };
    let endpoint = Endpoint {
        name: "s-1".to_owned(),
        address: "a:1".to_owned(),
        zone: "z".to_owned(),
        cell: 2,
        lifecycle: Lifecycle::Draining,
        weight: 1.5,
        started_at: Some(Time(11)),
    };
    let endpoint_part =
        StatePart::Endpoint { pool: "irc".to_owned(), endpoint, learned_state: Some(learned) };
    let lease = EndpointLeaseState { expires_at: Time(12), continuity: ListContinuity::Silent };
    let lease_part = StatePart::EndpointLease { pool: "irc".to_owned(), lease };
    let share_exclusion =
        HandoverMessage::ShareExclusion { number: 5, server: "s-1".to_owned(), excluded: true };
    let request_admitted =
        HandoverMessage::RequestAdmitted { pool: "platform".to_owned(), id: "9b1f".to_owned() };
    for (message, expected) in [
        (HandoverMessage::RequestState, r"SGH1T"),
        (share_exclusion, r"SGH1B\x00\x00\x00\x00\x00\x00\x00\x05\x00\x03s-1\x01"),
        (HandoverMessage::SharesRequestIds, r"SGH1Q"),
        (request_admitted, r"SGH1O\x00\x08platform\x00\x049b1f"),
        (HandoverMessage::ExclusionAcknowledged { number: 5 }, r"SGH1A\x00\x00\x00\x00\x00\x00\x00\x05"),
        (
            HandoverMessage::StatePart(StatePart::OpenDescriptors(6)),
            r"SGH1PL\x00\x00\x00\x00\x00\x00\x00\x06",
        ),
        (HandoverMessage::StatePart(lease_part), r"SGH1S\x00\x1cendpoint-lease 12 silent irc"),
        (
            HandoverMessage::StatePart(endpoint_part),
            r"SGH1PH\x00\x03irc\x00\x03s-1\x00\x03a:1\x00\x01z\x00\x00\x00\x02\x01?\xf8\x00\x00\x00\x00\x00\x00\x01\x00\x00\x00\x00\x00\x00\x00\x0b\x01@\x12\x00\x00\x00\x00\x00\x00\x01\x00\x00\x00\x00\x00\x00\x00\x07\x00\x00\x00\x03\x00\x00\x00\x00\x00\x00\x00\x00\x08\x00\x00\x00\x00\x00\x00\x00\t\x01\x00\x00\x00\x00\x00\x00\x00\n",
        ),
    ] {
        let bytes = encode(&message).expect("fits a datagram");
        assert_eq!(bytes.escape_ascii().to_string(), expected, "{message:?}");
    }
}
