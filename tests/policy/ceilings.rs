//! Tests of the ceilings of servers, and of the free slots below them.

use connection_balancer::*;

use crate::harness::{endpoint, endpoints, settings, Harness, MS, SECOND, SLOW};

#[test]
fn draws_servers_in_proportion_to_their_free_slots() {
    // Weights 1 and 3 give 2 and 6 free slots. Over 4,000 seeds, the share of the smaller server has to be
    // within 0.03 of a quarter, which is more than four standard deviations.
    let list = [EndpointEntry { weight: 1.0, ..endpoint(1) }, EndpointEntry { weight: 3.0, ..endpoint(2) }];
    let to_smaller = (0..4_000)
        .filter(|&seed| {
            let mut harness = Harness::seeded(settings(), &list, seed);
            harness.arrive();
            harness.attempted_server() == Some(1)
        })
        .count();
    assert!(
        (to_smaller as f64 / 4_000.0 - 0.25).abs() < 0.03,
        "{to_smaller} of 4000 requests sent to the smaller server; expected a quarter"
    );
}

#[test]
fn avoids_a_full_server_while_another_has_free_slots() {
    let mut harness = Harness::new(settings(), &endpoints(2));
    for _ in 0..4 {
        harness.restore(1, None);
    }
    for _ in 0..4 {
        harness.arrive();
        assert_eq!(harness.attempted_server(), Some(2));
    }
}

#[test]
fn exceeds_the_ceiling_by_one_slot_and_then_rejects_at_once() {
    let mut harness = Harness::new(settings(), &endpoints(1));
    for _ in 0..5 {
        harness.arrive();
        assert_eq!(harness.attempted_server(), Some(1));
    }
    harness.arrive();
    assert_eq!(harness.attempted_server(), None);
    let retry_after = harness.rejection().expect("the request should be rejected");
    assert!(retry_after > Micros::ZERO && retry_after <= Micros::from_secs(1));
}

#[test]
fn a_ceiling_rises_by_one_when_the_connection_in_its_last_slot_is_established() {
    let mut harness = Harness::new(settings(), &endpoints(1));
    for _ in 0..3 {
        harness.place();
        assert_eq!(harness.ceiling(1), 4.0);
    }
    harness.place();
    assert_eq!(harness.ceiling(1), 5.0);
}

#[test]
fn rejections_and_drops_lower_the_ceiling_and_prevent_overflow() {
    for is_drop in [false, true] {
        let mut harness = Harness::new(settings(), &endpoints(1));
        let mut last_restored = RequestId(0);
        for _ in 0..4 {
            last_restored = harness.restore(1, None);
        }
        match is_drop {
            true => harness.end_attempt(last_restored, 0, Outcome::Reset, true),
            false => {
                let request = harness.arrive();
                harness.end_attempt(request, 0, Outcome::Rejected, false);
            }
        }
        assert!(harness.ceiling(1) < 4.0);
        harness.arrive();
        assert_eq!(harness.attempted_server(), None, "overflow at a server with a recent fault");
    }
}

#[test]
fn load_reports_set_the_ceiling_by_free_capacity() {
    let mut harness = Harness::new(settings(), &endpoints(1));
    for _ in 0..4 {
        harness.restore(1, None);
    }
    let mut ceiling_after_report = |utilisation: f64| {
        harness.report_load(1, utilisation);
        harness.ceiling(1)
    };
    let (idle, busy, full) =
        (ceiling_after_report(0.2), ceiling_after_report(0.6), ceiling_after_report(1.0));
    assert!(
        idle > busy && busy > 4.0 && full <= 4.0,
        "ceiling {idle} at a utilisation of 0.2, {busy} at 0.6, {full} at 1; 4 slots are occupied"
    );
}

/// Guards against a repeated load report that raises the ceiling again. A load report is up to a second old
/// and counts from the slots that were occupied when it was made. Otherwise a server at a utilisation of 0.61
/// is sent ten more connections within 1.2 s.
#[test]
fn a_report_counts_the_slots_that_were_occupied_when_it_was_made() {
    let mut harness = Harness::new(settings(), &endpoints(1));
    (0..8).for_each(|_| _ = harness.restore(1, None));
    let report = |harness: &mut Harness, utilisation: f64| {
        let report = Some(LoadReport { utilisation, connections: None });
        harness.handle(Event::ProbeCompleted { server: ServerId(1), outcome: Outcome::Ok, report });
        harness.ceiling(1)
    };
    report(&mut harness, 0.4);
    let first = report(&mut harness, 0.5);
    assert!(
        first > 8.0 + 0.3 * 16.0 && first < 8.0 + 0.4 * 16.0,
        "ceiling {first}; 8 slots are half of the server's capacity of 16"
    );
    (0..4).for_each(|_| _ = harness.restore(1, None));
    assert_eq!(report(&mut harness, 0.5), first, "a repeated report changed the ceiling");
    // The utilisation has increased, but it is unknown how many of the four new connections it includes.
    let next = report(&mut harness, 0.51);
    assert!(next < first + 3.0, "ceiling {next} after a ceiling of {first}");
}

/// Guards against a server with a load report losing nearly all requests to a server without one. With many
/// balancers, the part of one balancer in the free capacity may be a tenth of a slot, while a server that has
/// never reported has a few initial slots.
#[test]
fn one_of_many_balancers_has_free_slots_at_a_server_with_a_load_report() {
    let mut harness = Harness::new(Settings { balancers: 600, ..settings() }, &endpoints(2));
    harness.report_load(1, 0.2);
    assert!(
        harness.ceiling(1) > harness.ceiling(2) / 2.0,
        "ceiling {} with a load report, {} without",
        harness.ceiling(1),
        harness.ceiling(2)
    );
}

#[test]
fn slow_messages_remove_all_free_slots() {
    let mut harness = Harness::new(settings(), &endpoints(1));
    let request = harness.restore(1, None);
    harness.measure(request, SLOW);
    harness.arrive();
    assert_eq!(harness.attempted_server(), None);
    assert!(harness.ceiling(1) < 1.0);
}

/// Guards against a free slot directly after a server has dropped this balancer's last connection. Such a
/// slot would attract the next connection, which would be dropped, too.
#[test]
fn a_server_that_dropped_the_last_connection_has_a_ceiling_below_one_slot() {
    let mut harness = Harness::new(settings(), &endpoints(1));
    let mut ceiling_after_drop = || {
        let request = harness.restore(1, None);
        harness.end_attempt(request, 0, Outcome::Reset, true);
        harness.ceiling(1)
    };
    let (first, second) = (ceiling_after_drop(), ceiling_after_drop());
    assert!(first < 1.0 && second < 1.0, "ceilings of {first} and {second} after drops");
    for _ in 0..3 {
        harness.advance(10 * SECOND);
        harness.arrive();
    }
    assert!(harness.ceiling(1) >= 1.0, "the ceiling of {} has not recovered to one slot", harness.ceiling(1));
}

/// Guards against a ceiling that each slow message time reduces again. Once messages are fast, such a ceiling
/// would still be a small part of the load that the server can handle.
#[test]
fn each_message_time_measures_the_slots_that_are_occupied_now() {
    let mut harness = Harness::new(settings(), &endpoints(1));
    let established: Vec<_> = (0..12).map(|_| harness.restore(1, None)).collect();
    for message_ms in [900, 400, 150, 60] {
        harness.measure(established[0], Measurement::MessageTime(message_ms * MS));
        let expected = 12.0 / (1.0 + message_ms as f64 / 100.0);
        let ceiling = harness.ceiling(1);
        assert!((ceiling - expected).abs() < 1e-9, "ceiling {ceiling} at {message_ms} ms, not {expected}");
        harness.advance(SECOND);
    }
    // Messages are fast again with all connections: the server handles these and, after a time, one more.
    harness.measure(established[0], Measurement::MessageTime(9 * MS));
    assert_eq!(harness.ceiling(1), 12.0);
    harness.arrive();
    assert_eq!(harness.attempted_server(), None, "overflow directly after slow messages");
    harness.advance(2 * SECOND);
    harness.arrive();
    assert_eq!(harness.attempted_server(), Some(1));
}

/// Guards against ceilings that cannot rise. The loads of connections may grow above the ceilings of healthy
/// servers. If no server accepted a connection above its ceiling, most clients would be rejected.
#[test]
fn a_server_without_faults_exceeds_its_ceiling_by_one_connection_at_a_time() {
    let mut harness = Harness::new(settings(), &endpoints(1));
    // The first connection of a group takes three slots, but only one of four slots is free.
    harness.restore(1, None);
    let established: Vec<_> = (0..2).map(|_| harness.restore(1, None)).collect();
    let request = harness.arrive_in_group(Some(9));
    assert_eq!(harness.attempted_server(), Some(1));
    harness.establish(request, 0);
    // Loads that grow above the ceiling are not a fault of the server.
    for (n, &id) in established.iter().enumerate() {
        harness.measure(id, Measurement::Load(1.0 + 9.0 * n as f64));
    }
    harness.arrive();
    assert_eq!(harness.attempted_server(), Some(1));
    // The next connection has to wait until this one is established, and is not accepted after a fault.
    harness.arrive();
    assert_eq!(harness.attempted_server(), None);
    harness.measure(established[0], SLOW);
    harness.advance(2 * SECOND);
    harness.arrive();
    assert_eq!(harness.attempted_server(), None);
}
