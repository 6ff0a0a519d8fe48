//! Tests of attempts, retries and answers.

use connection_balancer::*;

use crate::harness::{endpoints, settings, Harness, SECOND};

#[test]
fn retries_a_failed_attempt_at_another_server() {
    let mut harness = Harness::new(settings(), &endpoints(2));
    let request = harness.arrive();
    let first = harness.attempted_server();
    harness.end_attempt(request, 0, Outcome::ConnectFailed, false);
    assert!(harness.attempted_server().is_some() && harness.attempted_server() != first);
}

#[test]
fn the_timeout_of_an_attempt_is_nearly_all_of_its_clients_time() {
    let mut harness = Harness::new(settings(), &endpoints(2));
    harness.arrive();
    let timeout = harness.actions.iter().find_map(|action| match action {
        Action::StartAttempt { acceptance_timeout, .. } => Some(*acceptance_timeout),
        _ => None,
    });
    assert!(timeout.is_some_and(|t| t > 3 * SECOND * 9 / 10 && t < 3 * SECOND));
}

#[test]
fn rejects_at_once_if_the_endpoint_list_is_empty() {
    let mut harness = Harness::new(settings(), &[]);
    harness.arrive();
    assert!(harness.rejection().is_some());
}

#[test]
fn answers_in_time_when_a_server_does_not_answer() {
    let mut harness = Harness::new(settings(), &endpoints(1));
    let request = harness.arrive();
    let timer = harness.actions.iter().find_map(|action| match action {
        Action::SetTimer(wait) => Some(*wait),
        _ => None,
    });
    let wait = timer.expect("a timer should be requested for the deadline");
    assert!(wait < 3 * SECOND);
    harness.advance(wait);
    harness.handle(Event::TimerFired);
    assert!(
        harness.rejection().is_some()
            && harness.actions.contains(&Action::CancelAttempt { request, attempt: 0 })
    );
    harness.end_attempt(request, 0, Outcome::Cancelled, true);
    assert_eq!(harness.occupied_slots(1), 0.0);
}

#[test]
fn late_and_repeated_outcomes_do_not_release_a_slot_twice() {
    let mut harness = Harness::new(settings(), &endpoints(1));
    let (first, _) = harness.place();
    harness.place();
    for _ in 0..3 {
        harness.end_attempt(first, 0, Outcome::Ok, true);
        harness.handle(Event::ClientLeft { request: first });
        harness.establish(first, 0);
    }
    assert_eq!(harness.occupied_slots(1), 1.0);
}
