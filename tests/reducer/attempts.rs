//! Attempts: choice of the server, retries, deadlines, and the client's answer.

use connection_balancer::peers::{GossipMessage, Observation};
use connection_balancer::routing::*;
use connection_balancer::{Micros, RefusalReason, WatchFailure};

use crate::harness::reload;
use crate::reducer_harness::{connection_request, pool_config, ReducerHarness, CLIENT_TIMEOUT, SERVERS};

/// While an attempt is connecting, its server may start to drain. The request must then not be written to it.
#[test]
fn retries_an_unwritten_attempt_at_another_server_when_its_server_drains() {
    let mut harness = ReducerHarness::new();
    let connection = harness.connect_client();
    let effects = harness.feed(Input::ConnectionRequested { connection, request: connection_request() });
    let Some(Effect::OpenAttempt { address, .. }) = effects.first() else {
        panic!("no attempt was opened: {effects:?}")
    };
    let server = harness.server_index(address);
    let effects = harness.drain_server(server);
    assert!(matches!(effects[0], Effect::CloseAttempt { .. }), "{effects:?}");
    let Effect::OpenAttempt { address: retry_address, attempt: 1, .. } = &effects[1] else {
        panic!("{effects:?}")
    };
    assert_ne!(retry_address, address);
}

/// The server may already have received the request, and a retry would put two attempts in flight.
#[test]
fn keeps_a_written_attempt_when_its_server_drains() {
    let mut harness = ReducerHarness::new();
    let (connection, server) = harness.forward_request();
    assert_eq!(harness.drain_server(server), []);
    assert_eq!(harness.feed(Input::AttemptAccepted { connection, attempt: 0 }), []);
}

/// If the server's acceptance and the deadline arrive at the same time, the acceptance is handled first. The
/// policy must not reject the request as timed out.
#[test]
fn keeps_a_connection_that_is_established_exactly_at_its_deadline() {
    let mut harness = ReducerHarness::new();
    let (connection, _) = harness.forward_request();
    harness.advance(CLIENT_TIMEOUT);
    assert_eq!(harness.feed(Input::AttemptAccepted { connection, attempt: 0 }), []);
    assert_eq!(harness.feed(Input::TimerFired), []);
}

/// A balancer sends gossip once when a server drops an established connection, and none if that server
/// drains. A balancer that receives this gossip uses half of the server's free slots.
#[test]
fn gossips_a_dropped_connection_and_places_fewer_at_its_server() {
    let gossip = |effects: &[Effect]| -> Vec<GossipMessage> {
        let message = |effect: &Effect| {
            if let Effect::BroadcastGossip(message) = effect {
                Some(*message)
            } else {
                None
            }
        };
        effects.iter().filter_map(message).collect()
    };
    let tier_member = || {
        let mut harness = ReducerHarness::new();
        let mut config = pool_config();
        (config.settings.balancers, config.gossip_price) = (300, Some(0.0));
        reload(&mut harness, config);
        harness
    };
    let (mut sender, mut receiver) = (tier_member(), tier_member());
    let (connection, server) = sender.forward_request();
    sender.feed(Input::AttemptAccepted { connection, attempt: 0 });
    let sent =
        gossip(&sender.feed(Input::AttemptEnded { connection, attempt: 0, outcome: AttemptOutcome::Reset }));
    let [message] = sent[..] else { panic!("{sent:?}") };
    assert_eq!(message.observation, Observation::Dropped(server_id(SERVERS[server])));
    receiver.feed(Input::GossipReceived { pool: PoolId(0), message });
    // Each of the five servers has four slots at first. After the gossip, this server has half of them.
    let placed_at_server = (0..18).filter(|_| receiver.forward_request().1 == server).count();
    assert_eq!(placed_at_server, 2, "of 18 connections placed at server {server} after gossip about it");
    let (connection, server) = receiver.forward_request();
    receiver.feed(Input::AttemptAccepted { connection, attempt: 0 });
    receiver.drain_server(server);
    assert_eq!(
        gossip(&receiver.feed(Input::AttemptEnded {
            connection,
            attempt: 0,
            outcome: AttemptOutcome::Reset
        })),
        [],
        "gossip about a server that drains"
    );
}

/// Reports of an ended attempt that arrive late must not be applied to the next attempt.
#[test]
fn ignores_late_reports_of_an_ended_attempt() {
    let mut harness = ReducerHarness::new();
    let (connection, _) = harness.forward_request();
    let effects =
        harness.feed(Input::AttemptEnded { connection, attempt: 0, outcome: AttemptOutcome::Rejected });
    assert!(matches!(effects[..], [Effect::OpenAttempt { attempt: 1, .. }]), "{effects:?}");
    assert_eq!(
        harness.feed(Input::AttemptEnded { connection, attempt: 0, outcome: AttemptOutcome::Reset }),
        []
    );
    assert_eq!(harness.feed(Input::AttemptAccepted { connection, attempt: 0 }), []);
    assert_eq!(harness.feed(Input::AttemptAccepted { connection, attempt: 1 }), []);
}

/// A connection that was established before the start is retried at its server until the server accepts it.
#[test]
fn retries_a_restored_connection_at_its_own_server() {
    let mut harness = ReducerHarness::new();
    let connection = harness.connect_client();
    let request =
        ConnectionRequest { established_server: Some(SERVERS[1].to_owned()), ..connection_request() };
    let effects = harness.feed(Input::ConnectionRequested { connection, request });
    let Effect::OpenAttempt { address, attempt: 0, .. } = &effects[0] else { panic!("{effects:?}") };
    assert_eq!(*address, harness.address(SERVERS[1]));
    harness.feed(Input::AttemptEnded { connection, attempt: 0, outcome: AttemptOutcome::ConnectFailed });
    harness.advance(Micros::from_millis(600));
    let effects = harness.feed(Input::TimerFired);
    assert!(
        matches!(&effects[..], [Effect::OpenAttempt { address: retry, attempt: 1, .. }] if retry == address),
        "{effects:?}"
    );
    assert_eq!(harness.feed(Input::AttemptAccepted { connection, attempt: 1 }), []);
}

/// A client may name a server that never existed. There is no address at which to attempt it.
#[test]
fn fails_a_restored_connection_of_an_unlisted_server_within_three_seconds() {
    let mut harness = ReducerHarness::new();
    let connection = harness.connect_client();
    let request =
        ConnectionRequest { established_server: Some("s-0000dead".to_owned()), ..connection_request() };
    let mut effects = harness.feed(Input::ConnectionRequested { connection, request });
    for _ in 0..28 {
        harness.advance(Micros::from_millis(100));
        effects.extend(harness.feed(Input::TimerFired));
    }
    assert_eq!(effects.first(), Some(&Effect::Answer { connection, answer: Answer::Failed }));
}

#[test]
fn rejects_at_once_with_retry_after_when_no_server_is_ready() {
    let mut harness = ReducerHarness::new();
    for server in 0..SERVERS.len() {
        harness.drain_server(server);
    }
    let connection = harness.connect_client();
    let effects = harness.feed(Input::ConnectionRequested { connection, request: connection_request() });
    let [Effect::Answer { answer: Answer::Rejected(Micros(1..)), .. }, Effect::Log(event)] = &effects[..]
    else {
        panic!("{effects:?}");
    };
    assert_eq!(event, &LogEvent::RequestRefused { connection, reason: RefusalReason::NoServer });
}

/// Hundreds of connections without a request, or with open sockets after their answer, would use up the
/// descriptors. The oldest one is aborted, unless its request may still be on the way.
#[test]
fn aborts_the_oldest_connections_without_an_attempt_at_the_limit() {
    let mut harness = ReducerHarness::with_resource_limits(ResourceLimits {
        max_pending_connections: 3,
        max_admitted_connections: 2,
        buffer_bytes: 8192,
        max_response_bytes: 4 << 20,
    });
    let silent = harness.connect_client();
    let answered = harness.connect_client();
    harness.feed(Input::ConnectionRequested {
        connection: answered,
        request: ConnectionRequest { class: "none".to_owned(), ..connection_request() },
    });
    let (third, effects) = harness.connect_client_with_effects();
    assert_eq!(
        effects,
        [Effect::SetAccepting { open: false }],
        "any of the three may still send a request, so the next clients have to wait"
    );
    harness.advance(Micros::from_millis(100));
    let effects = harness.feed(Input::TimerFired);
    assert_eq!(
        effects,
        [Effect::AbortConnection { connection: silent }, Effect::SetAccepting { open: true }]
    );
    let (_, effects) = harness.connect_client_with_effects();
    assert_eq!(effects, [Effect::AbortConnection { connection: answered }]);
    // A connection with an attempt is not pending, and a pending connection whose sockets are closed makes
    // room.
    harness.feed(Input::ConnectionRequested { connection: third, request: connection_request() });
    assert_eq!(harness.connect_client_with_effects().1, []);
    let (last, effects) = harness.connect_client_with_effects();
    assert_eq!(effects, [Effect::SetAccepting { open: false }]);
    harness.feed(Input::ClientDisconnected { connection: last });
    assert_eq!(
        harness.feed(Input::SocketsClosed { connection: last }),
        [Effect::SetAccepting { open: true }]
    );
    // Attempts also use descriptors: requests above the limit of admitted connections are rejected.
    let second_admitted = harness.connect_client();
    harness.feed(Input::ConnectionRequested { connection: second_admitted, request: connection_request() });
    let above_limit = harness.connect_client();
    let effects =
        harness.feed(Input::ConnectionRequested { connection: above_limit, request: connection_request() });
    assert!(
        matches!(effects[..], [Effect::Answer { answer: Answer::Rejected(Micros(1..)), .. }]),
        "{effects:?}"
    );
}

#[test]
fn fails_requests_with_an_unknown_name_or_the_id_of_an_open_connection() {
    let mut harness = ReducerHarness::new();
    let request_with_id = |id: &str| ConnectionRequest { id: Some(id.to_owned()), ..connection_request() };
    let first = harness.connect_client();
    harness.feed(Input::ConnectionRequested { connection: first, request: request_with_id("a") });
    let fails = |harness: &mut ReducerHarness, request| {
        let connection = harness.connect_client();
        let effects = harness.feed(Input::ConnectionRequested { connection, request });
        effects == [Effect::Answer { connection, answer: Answer::Failed }]
    };
    assert!(fails(&mut harness, request_with_id("a")), "the id of an open connection");
    assert!(fails(&mut harness, ConnectionRequest { class: "unknown".to_owned(), ..request_with_id("b") }));
    assert!(fails(&mut harness, ConnectionRequest { class: String::new(), ..request_with_id("b") }));
    assert!(!fails(&mut harness, request_with_id("b")));
    harness.feed(Input::ClientDisconnected { connection: first });
    assert!(!fails(&mut harness, request_with_id("a")), "the id of a connection that has ended");
}

/// A balancer on a machine without free descriptors must not conclude that every server is down.
#[test]
fn does_not_count_missing_sockets_against_the_server() {
    let mut harness = ReducerHarness::new();
    for _ in 0..20 {
        let (connection, _) = harness.forward_request();
        for attempt in 0..6 {
            harness.feed(Input::AttemptEnded { connection, attempt, outcome: AttemptOutcome::OutOfSockets });
        }
    }
    let connection = harness.connect_client();
    let effects = harness.feed(Input::ConnectionRequested { connection, request: connection_request() });
    assert!(matches!(effects[..], [Effect::OpenAttempt { .. }]), "{effects:?}");
}

/// Guards against a lease on a list that nothing renews, such as the settings file of the IRC front: it is not
/// watched at discovery.
#[test]
fn a_list_that_is_not_watched_does_not_expire() {
    let mut harness = ReducerHarness::new();
    harness.advance(Micros::from_secs(24 * 3600));
    let connection = harness.connect_client();
    let effects = harness.feed(Input::ConnectionRequested { connection, request: connection_request() });
    assert!(matches!(effects[..], [Effect::OpenAttempt { .. }]), "{effects:?}");
}

/// The watch becomes silent, and then discovery is unreachable: the list remains in use. When discovery is
/// reachable again and answers only errors, the changes that it listed before count as notified, so the list
/// has expired. A request that is not written yet must then not be sent to any server.
#[test]
fn rejects_unwritten_requests_when_discovery_is_reachable_again_but_overloaded() {
    let mut harness = ReducerHarness::new();
    harness.advance(Micros::from_millis(3_500));
    harness.feed(Input::EndpointWatchSilent { pool: PoolId(0), polled_ago: Micros::from_millis(3_500) });
    harness.feed(Input::EndpointWatchLost {
        pool: PoolId(0),
        failure: WatchFailure::Unreachable,
        polled_ago: Micros::ZERO,
    });
    harness.advance(Micros::from_secs(4));
    let (forwarded, _) = harness.forward_request();
    let connection = harness.connect_client();
    let effects = harness.feed(Input::ConnectionRequested { connection, request: connection_request() });
    assert!(matches!(effects[..], [Effect::OpenAttempt { attempt: 0, .. }]), "{effects:?}");

    harness.feed(Input::EndpointWatchLost {
        pool: PoolId(0),
        failure: WatchFailure::Rejected,
        polled_ago: Micros::ZERO,
    });
    let effects = harness.feed(Input::TimerFired);

    let expired = LogEvent::RequestRefused { connection, reason: RefusalReason::EndpointListExpired };
    assert_eq!(effects[0], Effect::CloseAttempt { connection });
    assert!(
        matches!(effects[1], Effect::Answer { answer: Answer::Rejected(Micros(1..)), .. }),
        "{effects:?}"
    );
    assert_eq!(
        effects[2..],
        [Effect::Log(expired), Effect::Log(LogEvent::EndpointListExpired { pool: "platform" })]
    );
    assert!(
        harness.feed(Input::AttemptAccepted { connection: forwarded, attempt: 0 }).is_empty(),
        "the attempt whose request is written must continue"
    );
}
