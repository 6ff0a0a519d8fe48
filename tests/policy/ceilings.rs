//! Ceilings of servers and the slots that are free below them.

use connection_balancer::*;

use crate::harness::{endpoint, endpoints, settings, Harness, MS, SECOND, SLOW};

#[test]
fn draws_servers_in_proportion_to_their_free_slots() {
    // Weights 1 and 3 make rooms of 2 and 6 slots. Over 4,000 seeds the share of the smaller is within 0.03
    // of a quarter: more than four standard deviations.
    let list = [EndpointEntry { weight: 1.0, ..endpoint(1) }, EndpointEntry { weight: 3.0, ..endpoint(2) }];
    let small = (0..4_000)
        .filter(|&seed| {
            let mut harness = Harness::seeded(settings(), &list, seed);
            harness.arrive();
            harness.attempted_server() == Some(1)
        })
        .count();
    assert!((small as f64 / 4_000.0 - 0.25).abs() < 0.03, "{small} of 4000");
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
fn overflows_by_one_and_then_rejects_at_once() {
    let mut harness = Harness::new(settings(), &endpoints(1));
    for _ in 0..5 {
        harness.arrive();
        assert_eq!(harness.attempted_server(), Some(1));
    }
    harness.arrive();
    assert_eq!(harness.attempted_server(), None);
    let retry_after = harness.rejection().expect("a rejection");
    assert!(retry_after > Micros::ZERO && retry_after <= Micros::from_secs(1));
}

#[test]
fn a_ceiling_rises_by_one_when_its_last_slot_is_accepted() {
    let mut harness = Harness::new(settings(), &endpoints(1));
    for _ in 0..3 {
        harness.place();
        assert_eq!(harness.ceiling(1), 4.0);
    }
    harness.place();
    assert_eq!(harness.ceiling(1), 5.0);
}

#[test]
fn rejections_and_drops_cut_a_ceiling_and_bar_overflow() {
    for drop in [false, true] {
        let mut harness = Harness::new(settings(), &endpoints(1));
        let mut last = RequestId(0);
        for _ in 0..4 {
            last = harness.restore(1, None);
        }
        match drop {
            true => harness.end_attempt(last, 0, Outcome::Reset, true),
            false => {
                let request = harness.arrive();
                harness.end_attempt(request, 0, Outcome::Rejected, false);
            }
        }
        assert!(harness.ceiling(1) < 4.0);
        harness.arrive();
        assert_eq!(harness.attempted_server(), None, "no overflow at a server with a recent fault");
    }
}

#[test]
fn reports_set_the_ceiling_by_free_capacity() {
    let mut harness = Harness::new(settings(), &endpoints(1));
    for _ in 0..4 {
        harness.restore(1, None);
    }
    let mut ceiling = |utilisation: f64| {
        harness.report_load(1, utilisation);
        harness.ceiling(1)
    };
    let (idle, busy, full) = (ceiling(0.2), ceiling(0.6), ceiling(1.0));
    assert!(idle > busy && busy > 4.0 && full <= 4.0, "{idle} {busy} {full}");
}

/// A load report is up to a second old. A repeated report must not raise the ceiling above the slots that were occupied
/// when it was made: a server at 0.61 would be sent ten more connections within 1.2 s.
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
    assert!(first > 8.0 + 0.3 * 16.0 && first < 8.0 + 0.4 * 16.0, "sixteen fill it: {first}");
    (0..4).for_each(|_| _ = harness.restore(1, None));
    assert_eq!(report(&mut harness, 0.5), first, "the same report again");
    // It has grown, but by how many of the four is not known.
    let next = report(&mut harness, 0.51);
    assert!(next < first + 3.0, "{next} after {first}");
}

/// A balancer's share of the free capacity may be a tenth of a slot. A reported server must still not lose nearly all
/// requests to one that has never reported and shows a few slots.
#[test]
fn one_of_many_balancers_sees_free_slots_on_a_reported_server() {
    let mut harness = Harness::new(Settings { balancers: 600, ..settings() }, &endpoints(2));
    harness.report_load(1, 0.2);
    assert!(harness.ceiling(1) > harness.ceiling(2) / 2.0, "{}", harness.ceiling(1));
}

#[test]
fn slow_messages_take_all_free_slots_away() {
    let mut harness = Harness::new(settings(), &endpoints(1));
    let request = harness.restore(1, None);
    harness.measure(request, SLOW);
    harness.arrive();
    assert_eq!(harness.attempted_server(), None);
    assert!(harness.ceiling(1) < 1.0);
}

/// A server that has just dropped this balancer's last connection must not show a free slot at once.
#[test]
fn a_server_that_dropped_the_last_connection_shows_less_than_a_slot() {
    let mut harness = Harness::new(settings(), &endpoints(1));
    let mut after_drop = || {
        let request = harness.restore(1, None);
        harness.end_attempt(request, 0, Outcome::Reset, true);
        harness.ceiling(1)
    };
    let (first, second) = (after_drop(), after_drop());
    assert!(first < 1.0 && second < 1.0, "{first} {second}");
    for _ in 0..3 {
        harness.advance(10 * SECOND);
        harness.arrive();
    }
    assert!(harness.ceiling(1) >= 1.0, "it gets its slot back");
}

/// A ceiling that each late message time cut anew would stay at a small part of what the server carries once its messages
/// are fast again.
#[test]
fn each_message_time_measures_the_slots_that_are_occupied_now() {
    let mut harness = Harness::new(settings(), &endpoints(1));
    let established: Vec<_> = (0..12).map(|_| harness.restore(1, None)).collect();
    for late in [900, 400, 150, 60] {
        harness.measure(established[0], Measurement::MessageTime(late * MS));
        let wanted = 12.0 / (1.0 + late as f64 / 100.0);
        assert!((harness.ceiling(1) - wanted).abs() < 1e-9, "{} at {late} ms", harness.ceiling(1));
        harness.advance(SECOND);
    }
    // Fast again with all that it holds: it carries that well, and after a while one more.
    harness.measure(established[0], Measurement::MessageTime(9 * MS));
    assert_eq!(harness.ceiling(1), 12.0);
    harness.arrive();
    assert_eq!(harness.attempted_server(), None, "a moment ago it was slow");
    harness.advance(2 * SECOND);
    harness.arrive();
    assert_eq!(harness.attempted_server(), Some(1));
}

/// Loads of connections may outgrow the ceilings of sound servers. If none took a connection above its ceiling, no
/// ceiling could rise, and most clients would be rejected.
#[test]
fn a_server_without_faults_goes_over_its_ceiling_one_connection_at_a_time() {
    let mut harness = Harness::new(settings(), &endpoints(1));
    // The first of a group takes three slots where no more than two of four are free.
    harness.restore(1, None);
    let established: Vec<_> = (0..2).map(|_| harness.restore(1, None)).collect();
    let request = harness.arrive_in_group(Some(9));
    assert_eq!(harness.attempted_server(), Some(1));
    harness.establish(request, 0);
    // Loads that grow past the ceiling are no fault of the server.
    for (n, &id) in established.iter().enumerate() {
        harness.measure(id, Measurement::Load(1.0 + 9.0 * n as f64));
    }
    harness.arrive();
    assert_eq!(harness.attempted_server(), Some(1));
    // But the next has to wait until that one has been taken, and after a fault the server keeps what it has.
    harness.arrive();
    assert_eq!(harness.attempted_server(), None);
    harness.measure(established[0], SLOW);
    harness.advance(2 * SECOND);
    harness.arrive();
    assert_eq!(harness.attempted_server(), None);
}
