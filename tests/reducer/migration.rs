//! Established connections that are migrated: from lost servers, and in graceful shutdown.

use connection_balancer::routing::*;
use connection_balancer::Micros;

use crate::reducer_harness::{connection_request, ReducerHarness};

/// A server that vanished closes nothing, and a connection counts as lost after 7 s of silence.
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

/// A server that is gone answers no client.
#[test]
fn migrates_clients_of_a_server_that_is_gone_at_once() {
    let mut harness = ReducerHarness::new();
    let (connection, server) = harness.forward_request();
    harness.feed(Input::AttemptAccepted { connection, attempt: 0 });
    let effects = harness.update_endpoint(server, Lifecycle::Gone);
    let migrated = Effect::Answer { connection, answer: Answer::Migrated };
    assert_eq!(effects, [migrated, Effect::CloseAttempt { connection }]);
}

/// SIGTERM begins a graceful shutdown.
#[test]
fn migrates_established_and_rejects_new_connections_during_graceful_shutdown() {
    let mut harness = ReducerHarness::new();
    let established = harness.establish_connection();
    harness.feed(Input::ShutdownRequested);
    let late = harness.connect_client();
    let effects =
        harness.feed(Input::ConnectionRequested { connection: late, request: connection_request() });
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

/// SIGKILL comes 3.7 s after SIGTERM, where the longest wait is 3 s or more. Until then a client is served
/// here as well as anywhere, and better than by a balancer that has just started.
#[test]
fn spreads_migrations_over_the_graceful_shutdown_and_exits_in_time() {
    let mut harness = ReducerHarness::new();
    for _ in 0..30 {
        harness.establish_connection();
    }
    harness.feed(Input::ShutdownRequested);
    let (mut migrated, mut late, mut exit) = (0, 0, None);
    for tenth in 1..=37 {
        harness.advance(Micros::from_millis(100));
        for effect in harness.feed(Input::TimerFired) {
            let migrates = matches!(effect, Effect::Answer { answer: Answer::Migrated, .. });
            migrated += usize::from(migrates);
            late += usize::from(migrates && tenth > 15);
            exit = exit.or((effect == Effect::Exit).then_some(tenth));
        }
    }
    assert_eq!(migrated, 30);
    assert!((10..20).contains(&late), "{late} of 30 in the second half");
    assert!(exit.is_some_and(|tenth| (30..35).contains(&tenth)), "{exit:?}");
}

/// The front goes on sending clients for 0.4 s, and those have to be answered.
#[test]
fn stays_a_second_in_graceful_shutdown_without_connections() {
    let mut harness = ReducerHarness::new();
    assert!(!harness.feed(Input::ShutdownRequested).contains(&Effect::Exit));
    harness.advance(Micros::from_millis(400));
    assert!(!harness.feed(Input::TimerFired).contains(&Effect::Exit));
    harness.advance(Micros::from_millis(600));
    assert_eq!(harness.feed(Input::TimerFired).last(), Some(&Effect::Exit));
}
