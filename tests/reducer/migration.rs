//! Migration of established connections from lost servers and during a graceful shutdown.

use connection_balancer::routing::*;
use connection_balancer::Micros;

use crate::reducer_harness::{connection_request, ReducerHarness};

/// A server that disappears does not close its connections. The platform expects their clients to be migrated
/// within 7 s of silence.
#[test]
fn migrates_clients_of_a_silent_server_but_not_of_an_idle_one() {
    let mut harness = ReducerHarness::new();
    let (idle, waiting) = (harness.establish_connection(), harness.establish_connection());
    harness.feed(Input::LineForwarded { connection: waiting });
    harness.advance(Micros(5_000_001));
    let effects = harness.feed(Input::TimerFired);
    let migrated = Effect::Answer { connection: waiting, answer: Answer::Migrated };
    assert!(effects.contains(&migrated), "{effects:?}");
    assert!(!effects.contains(&Effect::Answer { connection: idle, answer: Answer::Migrated }), "{effects:?}");
}

/// A server that is removed from the endpoint list does not answer its clients any more.
#[test]
fn migrates_clients_at_once_when_their_server_is_removed_from_the_list() {
    let mut harness = ReducerHarness::new();
    let (connection, server) = harness.forward_request();
    harness.feed(Input::AttemptAccepted { connection, attempt: 0 });
    let effects = harness.update_endpoint(server, Lifecycle::Gone);
    let migrated = Effect::Answer { connection, answer: Answer::Migrated };
    assert_eq!(effects, [migrated, Effect::CloseAttempt { connection }]);
}

/// SIGTERM starts a graceful shutdown.
#[test]
fn migrates_established_and_rejects_new_connections_during_graceful_shutdown() {
    let mut harness = ReducerHarness::new();
    let established = harness.establish_connection();
    harness.feed(Input::ShutdownRequested);
    let new_client = harness.connect_client();
    let effects =
        harness.feed(Input::ConnectionRequested { connection: new_client, request: connection_request() });
    assert!(
        matches!(effects[..], [Effect::Answer { answer: Answer::Rejected(Micros(1..)), .. }]),
        "{effects:?}"
    );
    harness.advance(Micros::from_millis(3_400));
    let effects = harness.feed(Input::TimerFired);
    assert!(
        effects.contains(&Effect::Answer { connection: established, answer: Answer::Migrated }),
        "{effects:?}"
    );
    assert_eq!(effects.last(), Some(&Effect::Exit));
}

/// SIGKILL follows SIGTERM after 3.7 s if the longest wait of a client is 3 s or more. Until then, this
/// process serves clients as well as any other balancer, and better than a balancer that has just started.
#[test]
fn spreads_migrations_over_the_graceful_shutdown_and_exits_in_time() {
    let mut harness = ReducerHarness::new();
    for _ in 0..30 {
        harness.establish_connection();
    }
    harness.feed(Input::ShutdownRequested);
    let (mut migrated, mut in_second_half, mut exit_tenth) = (0, 0, None);
    for tenth in 1..=37 {
        harness.advance(Micros::from_millis(100));
        for effect in harness.feed(Input::TimerFired) {
            let migrates = matches!(effect, Effect::Answer { answer: Answer::Migrated, .. });
            migrated += usize::from(migrates);
            in_second_half += usize::from(migrates && tenth > 15);
            exit_tenth = exit_tenth.or((effect == Effect::Exit).then_some(tenth));
        }
    }
    assert_eq!(migrated, 30);
    assert!((10..20).contains(&in_second_half), "{in_second_half} of 30 migrated after 1.5 s");
    assert!(exit_tenth.is_some_and(|tenth| (30..35).contains(&tenth)), "exit in tenth {exit_tenth:?}");
}

/// The front continues to direct new clients to this process for 0.4 s, and they have to be answered.
#[test]
fn graceful_shutdown_without_connections_lasts_one_second() {
    let mut harness = ReducerHarness::new();
    assert!(!harness.feed(Input::ShutdownRequested).contains(&Effect::Exit));
    harness.advance(Micros::from_millis(400));
    assert!(!harness.feed(Input::TimerFired).contains(&Effect::Exit));
    harness.advance(Micros::from_millis(600));
    assert_eq!(harness.feed(Input::TimerFired).last(), Some(&Effect::Exit));
}
