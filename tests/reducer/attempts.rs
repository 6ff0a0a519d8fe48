//! Attempts: at which server, how often, until when, and what the client is answered.

use connection_balancer::peers::{GossipMessage, Observation};
use connection_balancer::routing::*;
use connection_balancer::{Micros, RefusalReason, WatchFailure};

use crate::harness::reload;
use crate::reducer_harness::{connection_request, pool_config, ReducerHarness, SERVERS, WAIT};

/// An attempt that waits for its connection must not write to a server that drains meanwhile.
#[test]
fn retries_an_unwritten_attempt_elsewhere_when_its_server_drains() {
    let mut harness = ReducerHarness::new();
    let connection = harness.connect_client();
    let effects = harness.feed(Input::ConnectionRequested { connection, request: connection_request() });
    let Some(Effect::OpenAttempt { address, .. }) = effects.first() else {
        panic!("no attempt: {effects:?}")
    };
    let server = harness.server_at(address);
    let effects = harness.drain_server(server);
    assert!(matches!(effects[0], Effect::CloseAttempt { .. }), "{effects:?}");
    let Effect::OpenAttempt { address: next, attempt: 1, .. } = &effects[1] else { panic!("{effects:?}") };
    assert_ne!(next, address);
}

/// The server may have received the request already, and there are never two attempts in flight.
#[test]
fn keeps_a_written_attempt_when_its_server_drains() {
    let mut harness = ReducerHarness::new();
    let (connection, server) = harness.forward_request();
    assert_eq!(harness.drain_server(server), []);
    assert_eq!(harness.feed(Input::AttemptAccepted { connection, attempt: 0 }), []);
}

/// An acceptance that arrives together with the deadline counts first: the policy must not reject the request as overdue.
#[test]
fn serves_a_connection_established_at_the_last_moment() {
    let mut harness = ReducerHarness::new();
    let (connection, _) = harness.forward_request();
    harness.advance(WAIT);
    assert_eq!(harness.feed(Input::AttemptAccepted { connection, attempt: 0 }), []);
    assert_eq!(harness.feed(Input::TimerFired), []);
}

/// A server that drops an established connection is gossiped about once, and one that drains is not. A balancer that
/// receives that gossip uses half of the free slots there.
#[test]
fn gossips_a_dropped_connection_and_sends_less_to_its_server() {
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
        gossip(&sender.feed(Input::AttemptEnded { connection, attempt: 0, end: AttemptOutcome::Reset }));
    let [message] = sent[..] else { panic!("{sent:?}") };
    assert_eq!(message.observation, Observation::Dropped(server_id(SERVERS[server])));
    receiver.feed(Input::GossipReceived { pool: 0, message });
    // Each of the five has four slots at first, and that one half of them now.
    let placed_there = (0..18).filter(|_| receiver.forward_request().1 == server).count();
    assert_eq!(placed_there, 2, "of 18 after gossip on {server}");
    let (connection, server) = receiver.forward_request();
    receiver.feed(Input::AttemptAccepted { connection, attempt: 0 });
    receiver.drain_server(server);
    assert_eq!(
        gossip(&receiver.feed(Input::AttemptEnded { connection, attempt: 0, end: AttemptOutcome::Reset })),
        [],
        "it drains"
    );
}

/// Late reports must not be taken for reports of the next attempt.
#[test]
fn ignores_late_reports_of_an_ended_attempt() {
    let mut harness = ReducerHarness::new();
    let (connection, _) = harness.forward_request();
    let effects = harness.feed(Input::AttemptEnded { connection, attempt: 0, end: AttemptOutcome::Rejected });
    assert!(matches!(effects[..], [Effect::OpenAttempt { attempt: 1, .. }]), "{effects:?}");
    assert_eq!(harness.feed(Input::AttemptEnded { connection, attempt: 0, end: AttemptOutcome::Reset }), []);
    assert_eq!(harness.feed(Input::AttemptAccepted { connection, attempt: 0 }), []);
    assert_eq!(harness.feed(Input::AttemptAccepted { connection, attempt: 1 }), []);
}

/// A connection from before the start is tried again while its server does not accept it.
#[test]
fn retries_a_restored_connection_at_its_own_server() {
    let mut harness = ReducerHarness::new();
    let connection = harness.connect_client();
    let request = ConnectionRequest { established_at: Some(SERVERS[1].to_owned()), ..connection_request() };
    let effects = harness.feed(Input::ConnectionRequested { connection, request });
    let Effect::OpenAttempt { address, attempt: 0, .. } = &effects[0] else { panic!("{effects:?}") };
    assert_eq!(*address, harness.address(SERVERS[1]));
    harness.feed(Input::AttemptEnded { connection, attempt: 0, end: AttemptOutcome::ConnectFailed });
    harness.advance(Micros::from_millis(600));
    let effects = harness.feed(Input::TimerFired);
    assert!(
        matches!(&effects[..], [Effect::OpenAttempt { address: second, attempt: 1, .. }] if second == address),
        "{effects:?}"
    );
    assert_eq!(harness.feed(Input::AttemptAccepted { connection, attempt: 1 }), []);
}

/// The client may name a server that never existed, for which there is no address to attempt.
#[test]
fn fails_a_restored_connection_of_an_unlisted_server_within_three_seconds() {
    let mut harness = ReducerHarness::new();
    let connection = harness.connect_client();
    let request = ConnectionRequest { established_at: Some("s-0000dead".to_owned()), ..connection_request() };
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

/// Hundreds of connections without a request, or not closed after their answer, would use up the descriptors. The oldest
/// is aborted, but none whose request may still be on its way.
#[test]
fn aborts_the_oldest_connections_without_an_attempt_at_the_limit() {
    let mut harness = ReducerHarness::with_budget(Budget { pending: 3, admitted: 2, buffer: 8192 });
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
        "all may still send a request: the next have to wait"
    );
    harness.advance(Micros::from_millis(100));
    let effects = harness.feed(Input::TimerFired);
    assert_eq!(
        effects,
        [Effect::AbortConnection { connection: silent }, Effect::SetAccepting { open: true }]
    );
    let (_, effects) = harness.connect_client_with_effects();
    assert_eq!(effects, [Effect::AbortConnection { connection: answered }]);
    // With an attempt a connection is not counted here, and closed ones free their place by themselves.
    harness.feed(Input::ConnectionRequested { connection: third, request: connection_request() });
    assert_eq!(harness.connect_client_with_effects().1, []);
    let (last, effects) = harness.connect_client_with_effects();
    assert_eq!(effects, [Effect::SetAccepting { open: false }]);
    harness.feed(Input::ClientDisconnected { connection: last });
    assert_eq!(
        harness.feed(Input::SocketsClosed { connection: last }),
        [Effect::SetAccepting { open: true }]
    );
    // Attempts use descriptors, too: requests over their budget are rejected.
    let next = harness.connect_client();
    harness.feed(Input::ConnectionRequested { connection: next, request: connection_request() });
    let over = harness.connect_client();
    let effects =
        harness.feed(Input::ConnectionRequested { connection: over, request: connection_request() });
    assert!(
        matches!(effects[..], [Effect::Answer { answer: Answer::Rejected(Micros(1..)), .. }]),
        "{effects:?}"
    );
}

#[test]
fn fails_requests_with_an_unknown_name_or_an_open_id() {
    let mut harness = ReducerHarness::new();
    let named = |id: &str| ConnectionRequest { id: Some(id.to_owned()), ..connection_request() };
    let first = harness.connect_client();
    harness.feed(Input::ConnectionRequested { connection: first, request: named("a") });
    let failed = |harness: &mut ReducerHarness, ask| {
        let connection = harness.connect_client();
        let effects = harness.feed(Input::ConnectionRequested { connection, request: ask });
        effects == [Effect::Answer { connection, answer: Answer::Failed }]
    };
    assert!(failed(&mut harness, named("a")), "the id of an open connection");
    assert!(failed(&mut harness, ConnectionRequest { class: "unknown".to_owned(), ..named("b") }));
    assert!(failed(&mut harness, ConnectionRequest { class: String::new(), ..named("b") }));
    assert!(!failed(&mut harness, named("b")));
    harness.feed(Input::ClientDisconnected { connection: first });
    assert!(!failed(&mut harness, named("a")), "free again");
}

/// A machine out of descriptors would take every server to be down.
#[test]
fn does_not_count_missing_sockets_against_the_server() {
    let mut harness = ReducerHarness::new();
    for _ in 0..20 {
        let (connection, _) = harness.forward_request();
        for attempt in 0..6 {
            harness.feed(Input::AttemptEnded { connection, attempt, end: AttemptOutcome::OutOfSockets });
        }
    }
    let connection = harness.connect_client();
    let effects = harness.feed(Input::ConnectionRequested { connection, request: connection_request() });
    assert!(matches!(effects[..], [Effect::OpenAttempt { .. }]), "{effects:?}");
}

/// A silent watch, then no discovery at all: the list stays in use. Once discovery is there again and has only errors, what
/// it listed before counts: a request that is not written yet goes nowhere.
#[test]
fn takes_back_unwritten_requests_when_an_unreachable_discovery_is_back_and_overloaded() {
    let mut harness = ReducerHarness::new();
    harness.advance(Micros::from_millis(3_500));
    harness.feed(Input::EndpointWatchSilent { pool: 0, called_ago: Micros::from_millis(3_500) });
    harness.feed(Input::EndpointWatchLost { pool: 0, failure: WatchFailure::Unreachable });
    harness.advance(Micros::from_secs(4));
    let (forwarded, _) = harness.forward_request();
    let connection = harness.connect_client();
    let effects = harness.feed(Input::ConnectionRequested { connection, request: connection_request() });
    assert!(matches!(effects[..], [Effect::OpenAttempt { attempt: 0, .. }]), "{effects:?}");

    harness.feed(Input::EndpointWatchLost { pool: 0, failure: WatchFailure::Rejected });
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
        "it goes on"
    );
}
