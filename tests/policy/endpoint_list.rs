//! Tests of the endpoint list: states of servers, when the list is requested again, and when it expires.

use connection_balancer::*;

use crate::harness::{
    count_probes, endpoint, endpoints, has_migration, settings, Harness, MS, OVERLOADED, SECOND,
};

#[test]
fn starts_no_attempt_at_a_draining_or_removed_server() {
    for state in [EndpointState::Draining, EndpointState::Gone] {
        let mut harness = Harness::new(settings(), &endpoints(1));
        harness.handle(Event::EndpointListChanged(&[EndpointEntry { state, ..endpoint(1) }]));
        harness.arrive();
        assert_eq!(harness.attempted_server(), None);
    }
    let mut harness = Harness::new(settings(), &endpoints(2));
    harness.handle(Event::EndpointListReplaced(&[endpoint(2)]));
    harness.arrive();
    assert_eq!(harness.attempted_server(), Some(2), "attempt at a server that the new list does not name");
}

#[test]
fn a_restarted_server_starts_without_learned_state() {
    let mut harness = Harness::new(settings(), &endpoints(1));
    let (request, _) = harness.place();
    let restarted = EndpointEntry { started_at: Some(harness.now), ..endpoint(1) };
    harness.handle(Event::EndpointListChanged(&[restarted]));
    assert_eq!(harness.occupied_slots(1), 0.0);
    harness.end_attempt(request, 0, Outcome::Reset, true);
    assert_eq!(
        (harness.occupied_slots(1), harness.ceiling(1)),
        (0.0, 4.0),
        "a late outcome at the previous process changed the occupied slots or the ceiling"
    );
}

#[test]
fn polls_the_endpoint_list_again_after_failures() {
    let settings = Settings { poll_required: true, poll_interval: 8 * SECOND, ..settings() };
    let mut harness = Harness::new(settings, &endpoints(1));
    assert!(harness.actions.contains(&Action::WatchEndpoints));
    for _ in 0..10 {
        harness.fail_endpoint_watch(WatchFailure::Rejected);
        let wait = harness.actions.iter().find_map(|action| match action {
            Action::SetTimer(wait) => Some(*wait),
            _ => None,
        });
        let wait = wait.expect("the list should be requested again");
        assert!(wait > Micros::ZERO && wait <= 12 * SECOND, "{wait:?}, limit 12 s");
        harness.advance(wait);
        harness.handle(Event::TimerFired);
        assert!(harness.actions.contains(&Action::WatchEndpoints));
    }
}

/// Guards against a wait for the next call that grows too long during an outage. A change that discovery
/// lists counts as notified 6 s after discovery can be reached again, and an answer may take 2 s of these.
#[test]
fn polls_the_endpoint_list_in_time_however_long_discovery_was_down() {
    const LONGEST_WAIT: Micros = Micros::from_secs(4);
    for (balancers, poll_interval) in [(1, 10_000), (4, 10_000), (40, 300), (300, 10_000), (900, 60_000)] {
        let poll_interval = poll_interval * MS;
        let longest_wait = LONGEST_WAIT.min(poll_interval * 3 / 2);
        let settings = Settings { balancers, poll_required: true, poll_interval, ..settings() };
        let mut harness = Harness::new(settings, &endpoints(1));
        for failures in 1..=40 {
            harness.fail_endpoint_watch(WatchFailure::Rejected);
            let wait = harness.actions.iter().find_map(|action| match action {
                Action::SetTimer(wait) => Some(*wait),
                _ => None,
            });
            let wait = wait.expect("the list should be requested again");
            assert!(
                wait <= longest_wait,
                "{balancers} balancers, {failures} failures: wait of {wait:?}, limit {longest_wait:?}"
            );
            harness.advance(wait);
            harness.handle(Event::TimerFired);
            assert!(harness.actions.contains(&Action::WatchEndpoints));
        }
    }
}

/// Guards against migrations and probes while the list is expired. No request is forwarded then, so that a
/// migrated client would be rejected, and a probe would have no use.
#[test]
fn does_not_migrate_or_probe_while_the_list_is_expired() {
    let settings =
        Settings { probes_allowed: true, probes_report_load: true, probe_cost: 0.01, ..settings() };
    let [with_confirmed, with_expired] = [true, false].map(|is_confirmed| {
        let mut harness = Harness::new(settings.clone(), &endpoints(4));
        let established: Vec<_> = (0..14).map(|_| harness.restore(1, None)).collect();
        let called_at = harness.now;
        harness.advance(6 * SECOND - 100 * MS);
        let requests: Vec<_> = (0..6).map(|_| harness.arrive()).collect();
        harness.advance(100 * MS);
        harness.handle(match is_confirmed {
            true => Event::EndpointListConfirmed,
            false => Event::EndpointWatchSilent { called_at },
        });
        let mut probes = 0;
        for request in requests {
            harness.establish(request, 0);
            probes += count_probes(&harness);
        }
        harness.arrive();
        let has_attempt = harness.attempted_server().is_some();
        harness.measure(established[0], OVERLOADED);
        (probes > 0, has_attempt, has_migration(&harness))
    });
    assert_eq!(with_confirmed, (true, true, true));
    assert_eq!(with_expired, (false, false, false));
}

#[test]
fn invalid_weights_count_as_unknown() {
    for weight in [0.0, -3.0, f64::NAN, f64::INFINITY, 1e308] {
        let mut harness = Harness::new(settings(), &[EndpointEntry { weight, ..endpoint(1) }, endpoint(2)]);
        harness.arrive();
        assert_eq!((harness.ceiling(1), harness.ceiling(2)), (4.0, 4.0));
    }
}
