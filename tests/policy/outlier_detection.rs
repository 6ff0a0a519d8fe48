//! Tests of servers that fail: faults, ejection and readmission.

use connection_balancer::*;

use crate::harness::{endpoints, settings, Harness, MS, SECOND, SLOW};

/// Guards against many balancers that each forget a fault early: together they would try a full server
/// without a pause.
#[test]
fn a_balancer_with_few_connections_remembers_faults_for_longer() {
    let has_recovered = |connections: u32| {
        let mut harness = Harness::new(settings(), &endpoints(8));
        for i in 0..connections {
            harness.restore(2 + i % 7, None);
        }
        let request = harness.restore(1, None);
        harness.measure(request, SLOW);
        harness.arrive_and_end();
        harness.advance(2 * settings().max_retry_after);
        let before = harness.ceiling(1);
        harness.arrive();
        harness.ceiling(1) > before
    };
    assert!(has_recovered(28) && !has_recovered(0));
}

#[test]
fn a_server_that_accepts_and_drops_does_not_attract_every_connection() {
    // Guards against a cycle in which each drop frees a slot, and the slot attracts the next connection,
    // which is dropped, too.
    let mut harness = Harness::new(settings(), &endpoints(2));
    for _ in 0..4 {
        harness.restore(2, None);
    }
    let mut sent = 0;
    for _ in 0..200 {
        let request = harness.arrive();
        let server = harness.attempted_server();
        harness.establish(request, 0);
        harness.advance(100 * MS);
        match server {
            Some(1) => {
                sent += 1;
                harness.end_attempt(request, 0, Outcome::Reset, true);
            }
            _ => harness.end_attempt(request, 0, Outcome::Ok, true),
        }
    }
    assert!(sent < 12, "{sent} connections in 20 s sent to a server that drops each, fewer than 12 expected");
}

#[test]
fn an_ejected_server_is_readmitted_by_single_trials() {
    // The other server has no failures but is overloaded, so that only the first server can be selected.
    let mut harness = Harness::new(settings(), &endpoints(2));
    let established: Vec<_> = (0..4).map(|_| harness.restore(2, None)).collect();
    let overload = |harness: &mut Harness| {
        for &request in &established {
            harness.measure(request, SLOW);
        }
    };
    overload(&mut harness);
    let request = harness.arrive();
    harness.end_attempt(request, 0, Outcome::ConnectFailed, false);
    assert_eq!(harness.attempted_server(), None, "retry at the server of the failed attempt");
    harness.advance(20 * SECOND);
    overload(&mut harness);
    let trial = harness.arrive();
    assert_eq!(harness.attempted_server(), Some(1));
    harness.arrive();
    assert_eq!(harness.attempted_server(), None, "a second trial at the same time");
    harness.establish(trial, 0);
    harness.advance(20 * SECOND);
    overload(&mut harness);
    assert_eq!(harness.place().1, 1);
    harness.advance(20 * SECOND);
    overload(&mut harness);
    assert_eq!(
        (harness.place().1, harness.place().1),
        (1, 1),
        "a server whose trials were established should be selected normally"
    );
}

#[test]
fn tries_ejected_servers_when_the_whole_fleet_fails() {
    let mut harness = Harness::new(settings(), &endpoints(3));
    for _ in 0..3 {
        let request = harness.arrive();
        for attempt in 0..4 {
            harness.end_attempt(request, attempt, Outcome::ConnectFailed, false);
        }
    }
    harness.arrive();
    assert!(harness.attempted_server().is_some());
}

#[test]
fn does_not_try_ejected_servers_early_in_a_fleet_that_drops() {
    // Guards against trials before the end of the ejection, which keep an overloaded fleet from recovering.
    let mut harness = Harness::new(settings(), &endpoints(2));
    let established: Vec<_> = (0..8).map(|i| harness.restore(1 + i % 2, None)).collect();
    for request in established {
        harness.end_attempt(request, 0, Outcome::Reset, true);
    }
    harness.arrive();
    assert!(harness.attempted_server().is_none() && harness.rejection().is_some());
}
