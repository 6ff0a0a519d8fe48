//! Cold servers, which are filled as they warm up.

use connection_balancer::*;

use crate::harness::{endpoint, endpoints, settings, Harness, MS, SECOND, START};

/// A wait that was drawn before the balancer had any connection is too long once it has some: it kept a cold server
/// without requests for twenty seconds.
#[test]
fn shortens_a_slow_start_wait_once_more_is_known() {
    let cold = EndpointEntry { started: Some(START), ..endpoint(2) };
    let settings = Settings { slow_start_duration: 24 * SECOND, ..settings() };
    let mut harness = Harness::new(settings, &[cold]);
    harness.handle(Event::EndpointsChanged(&endpoints(1)));
    (0..24).for_each(|_| _ = harness.restore(1, None));
    let sent = (0..60).filter(|_| {
        harness.advance(50 * MS);
        harness.arrive_and_end() == Some(2)
    });
    assert!(sent.count() > 0, "nothing went to the cold server in three seconds");
}

/// With most servers excluded, drained or faulty, few slots are occupied. The cold servers that replace them must still
/// be filled by what a server can carry.
#[test]
fn a_cold_server_is_filled_by_past_occupancy_not_by_what_is_left() {
    let settings = Settings { slow_start_overload_factor: 8.0, ..settings() };
    let sent_when_left = |left: usize| {
        let mut harness = Harness::new(settings.clone(), &endpoints(4));
        let established: Vec<_> = (0..40).map(|n| harness.restore(1 + n % 4, None)).collect();
        harness.arrive_and_end();
        for &id in &established[left..] {
            harness.end_attempt(id, 0, Outcome::Ok, true);
        }
        let cold = EndpointEntry { started: Some(harness.now), ..endpoint(5) };
        harness.handle(Event::EndpointsReplaced(&[cold]));
        let mut sent = 0;
        for _ in 0..50 {
            harness.advance(100 * MS);
            let request = harness.arrive();
            sent += u32::from(harness.attempted_server() == Some(5));
            harness.establish(request, 0);
        }
        sent
    };
    let (all, few) = (sent_when_left(40), sent_when_left(4));
    assert!(few >= 3 && few + 1 >= all, "{few} sent with 4 left, {all} with 40");
}

/// A balancer with three connections at each server would otherwise send a cold server one connection in nine seconds,
/// while load reports show that twenty-eight fill one.
#[test]
fn a_cold_server_is_filled_by_the_capacity_that_reports_show() {
    let settings = Settings { slow_start_overload_factor: 3.0, ..settings() };
    let sends = |reported: bool| {
        let mut harness = Harness::new(settings.clone(), &endpoints(4));
        for n in 0..12 {
            harness.restore(1 + n % 4, None);
        }
        for server in 1..=4 {
            // Three connections make an eighth of what it can do: twenty-four fill it.
            let report = reported.then_some(LoadReport { utilisation: 0.125, connections: None });
            harness.handle(Event::ProbeCompleted { server: ServerId(server), outcome: Outcome::Ok, report });
        }
        harness.arrive_and_end();
        let draining =
            endpoints(4).into_iter().map(|s| EndpointEntry { state: EndpointState::Draining, ..s });
        let cold = EndpointEntry { started: Some(START), ..endpoint(5) };
        harness.handle(Event::EndpointsChanged(&draining.chain([cold]).collect::<Vec<_>>()));
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
    let (with_reports, without) = (sends(true), sends(false));
    let (many, few) = (with_reports.len(), without.len());
    assert!(many > 3 * few, "{many} sent with reports, {few} without");
    for first in &with_reports {
        let window = settings.slow_start_window;
        let sent = with_reports.iter().filter(|at| *at >= first && at.since(*first) < window).count();
        let age = first.plus(window).since(START).as_f64() / settings.slow_start_duration.as_f64();
        let warmth = (settings.slow_start_share + (1.0 - settings.slow_start_share) * age).min(1.0);
        let bears = settings.slow_start_overload_factor * warmth * 24.0 * window.as_f64()
            / settings.slow_start_duration.as_f64();
        // Half of the slack that the rule leaves to chance, which is three roots and three.
        let most = bears + 1.5 * bears.sqrt() + 3.0;
        assert!(sent as f64 <= most, "{sent} in a window in which it bears {bears:.1}");
    }
}

#[test]
fn fills_a_cold_server_no_faster_than_it_warms_up() {
    // All balancers restarted with it: each sends at most its part, whatever the others hold.
    let settings = Settings { balancers: 5, ..settings() };
    let cold = EndpointEntry { started: Some(START), ..endpoint(1) };
    let mut harness = Harness::new(settings.clone(), &[cold]);
    let mut sends = 0.0;
    let end = START.plus(settings.slow_start_window);
    while harness.now < end {
        let request = harness.arrive();
        if harness.attempted_server().is_some() {
            sends += 1.0;
            harness.establish(request, 0);
            harness.end_attempt(request, 0, Outcome::Ok, true);
        }
        harness.advance(5 * MS);
    }
    let part = settings.slow_start_window.as_f64() / settings.slow_start_duration.as_f64();
    assert!(sends <= 1.0 + settings.slow_start_overload_factor * part, "{sends}");
}

/// Ninety balancers that learn of a new server together must not each send it a connection at once.
#[test]
fn many_balancers_do_not_start_on_a_cold_server_together() {
    let settings = Settings { balancers: 100, ..settings() };
    let mut sends = 0;
    for seed in 0..100 {
        let mut harness = Harness::seeded(settings.clone(), &endpoints(2), seed);
        harness.restore(2, None);
        harness.handle(Event::EndpointsChanged(&[EndpointEntry { started: Some(START), ..endpoint(1) }]));
        harness.handle(Event::EndpointsChanged(&[EndpointEntry {
            state: EndpointState::Draining,
            ..endpoint(2)
        }]));
        harness.arrive();
        sends += u32::from(harness.attempted_server() == Some(1));
    }
    assert!(sends <= 5, "{sends} of 100 at once");
}
