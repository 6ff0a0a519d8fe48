//! Tests of slow start: cold servers are filled as they warm up.

use connection_balancer::*;

use crate::harness::{endpoint, endpoints, settings, Harness, MS, SECOND, START};

/// Guards against a cold server that receives no requests for twenty seconds. A wait that was drawn before
/// the balancer had any connection is too long once it has some.
#[test]
fn shortens_a_slow_start_wait_once_more_is_known() {
    let cold = EndpointEntry { started_at: Some(START), ..endpoint(2) };
    let settings = Settings { slow_start_duration: 24 * SECOND, ..settings() };
    let mut harness = Harness::new(settings, &[cold]);
    harness.handle(Event::EndpointListChanged(&endpoints(1)));
    (0..24).for_each(|_| _ = harness.restore(1, None));
    let sent_to_cold = (0..60).filter(|_| {
        harness.advance(50 * MS);
        harness.arrive_and_end() == Some(2)
    });
    assert!(sent_to_cold.count() > 0, "no request was sent to the cold server in three seconds");
}

/// Guards against slow starts that are paced by the current occupancy. With most servers excluded, drained or
/// faulty, few slots are occupied. The cold servers that replace them must still be filled by the load that a
/// server can handle.
#[test]
fn a_cold_server_is_filled_by_peak_occupancy_not_by_current_occupancy() {
    let settings = Settings { slow_start_overload_factor: 8.0, ..settings() };
    let sent_with_remaining = |remaining: usize| {
        let mut harness = Harness::new(settings.clone(), &endpoints(4));
        let established: Vec<_> = (0..40).map(|n| harness.restore(1 + n % 4, None)).collect();
        harness.arrive_and_end();
        for &id in &established[remaining..] {
            harness.end_attempt(id, 0, Outcome::Ok, true);
        }
        let cold = EndpointEntry { started_at: Some(harness.now), ..endpoint(5) };
        harness.handle(Event::EndpointListReplaced(&[cold]));
        let mut sent = 0;
        for _ in 0..50 {
            harness.advance(100 * MS);
            let request = harness.arrive();
            sent += u32::from(harness.attempted_server() == Some(5));
            harness.establish(request, 0);
        }
        sent
    };
    let (with_40, with_4) = (sent_with_remaining(40), sent_with_remaining(4));
    assert!(
        with_4 >= 3 && with_4 + 1 >= with_40,
        "{with_4} requests sent with 4 remaining connections, {with_40} with 40"
    );
}

/// Guards against a cold server that is filled too slowly. A balancer with three connections at each server
/// would otherwise send it one connection in nine seconds, while load reports show that twenty-eight fill a
/// server.
#[test]
fn a_cold_server_is_filled_by_the_capacity_that_reports_show() {
    let settings = Settings { slow_start_overload_factor: 3.0, ..settings() };
    let send_times = |has_reports: bool| {
        let mut harness = Harness::new(settings.clone(), &endpoints(4));
        for n in 0..12 {
            harness.restore(1 + n % 4, None);
        }
        for server in 1..=4 {
            // Three connections are an eighth of the server's capacity: twenty-four fill it.
            let report = has_reports.then_some(LoadReport { utilisation: 0.125, connections: None });
            harness.handle(Event::ProbeCompleted { server: ServerId(server), outcome: Outcome::Ok, report });
        }
        harness.arrive_and_end();
        let draining =
            endpoints(4).into_iter().map(|s| EndpointEntry { state: EndpointState::Draining, ..s });
        let cold = EndpointEntry { started_at: Some(START), ..endpoint(5) };
        harness.handle(Event::EndpointListChanged(&draining.chain([cold]).collect::<Vec<_>>()));
        let mut sent = Vec::new();
        while harness.now.since(START) < settings.slow_start_duration {
            harness.advance(50 * MS);
            let request = harness.arrive();
            if harness.attempted_server() == Some(5) {
                sent.push(harness.now);
            }
            harness.end_attempt(request, 0, Outcome::Ok, true);
        }
        sent
    };
    let (with_reports, without_reports) = (send_times(true), send_times(false));
    let (sent_with, sent_without) = (with_reports.len(), without_reports.len());
    assert!(
        sent_with > 3 * sent_without,
        "{sent_with} requests sent with load reports, {sent_without} without"
    );
    for first in &with_reports {
        let window = settings.slow_start_window;
        let sent = with_reports.iter().filter(|at| *at >= first && at.since(*first) < window).count();
        let age = first.plus(window).since(START).as_f64() / settings.slow_start_duration.as_f64();
        let warmth = (settings.slow_start_share + (1.0 - settings.slow_start_share) * age).min(1.0);
        let expected = settings.slow_start_overload_factor * warmth * 24.0 * window.as_f64()
            / settings.slow_start_duration.as_f64();
        // The server tolerates three square roots of the expected number plus three connections above it.
        // Half of the roots may be used.
        let limit = expected + 1.5 * expected.sqrt() + 3.0;
        assert!(sent as f64 <= limit, "{sent} requests sent in a window, limit {limit:.1}");
    }
}

#[test]
fn fills_a_cold_server_no_faster_than_it_warms_up() {
    // All balancers restarted together with the server. Each sends at most its part, whatever the occupancy
    // of the others is.
    let settings = Settings { balancers: 5, ..settings() };
    let cold = EndpointEntry { started_at: Some(START), ..endpoint(1) };
    let mut harness = Harness::new(settings.clone(), &[cold]);
    let mut sent = 0.0;
    let end = START.plus(settings.slow_start_window);
    while harness.now < end {
        let request = harness.arrive();
        if harness.attempted_server().is_some() {
            sent += 1.0;
            harness.establish(request, 0);
            harness.end_attempt(request, 0, Outcome::Ok, true);
        }
        harness.advance(5 * MS);
    }
    let window_share = settings.slow_start_window.as_f64() / settings.slow_start_duration.as_f64();
    let limit = 1.0 + settings.slow_start_overload_factor * window_share;
    assert!(sent <= limit, "{sent} requests sent in a window, limit {limit}");
}

/// Guards against ninety balancers that learn of a new server at the same time and each send it a connection
/// at once.
#[test]
fn many_balancers_do_not_send_to_a_cold_server_at_the_same_time() {
    let settings = Settings { balancers: 100, ..settings() };
    let mut sent = 0;
    for seed in 0..100 {
        let mut harness = Harness::seeded(settings.clone(), &endpoints(2), seed);
        harness.restore(2, None);
        harness
            .handle(Event::EndpointListChanged(&[EndpointEntry { started_at: Some(START), ..endpoint(1) }]));
        harness.handle(Event::EndpointListChanged(&[EndpointEntry {
            state: EndpointState::Draining,
            ..endpoint(2)
        }]));
        harness.arrive();
        sent += u32::from(harness.attempted_server() == Some(1));
    }
    assert!(sent <= 5, "{sent} of 100 balancers sent a connection at once, limit 5");
}
