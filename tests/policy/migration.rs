//! Tests of migration away from overloaded servers.

use connection_balancer::*;

use crate::harness::{
    endpoint, endpoints, has_migration, settings, Harness, MS, OVERLOADED, SECOND, SLOW, START,
};

/// Guards against migrated clients that are rejected. If only cold servers have free slots, these accept one
/// connection every few seconds.
#[test]
fn does_not_migrate_to_free_slots_that_slow_start_withholds() {
    let migrations = |is_cold: bool| {
        let started_at = is_cold.then_some(START);
        let mut harness =
            Harness::new(settings(), &[endpoint(1), EndpointEntry { started_at, ..endpoint(2) }]);
        let established: Vec<_> = (0..16).map(|_| harness.restore(1, None)).collect();
        harness.arrive_and_end();
        let message_time = 90 * MS;
        (0..10)
            .map(|_| {
                harness.advance(SECOND / 2);
                harness.measure(established[0], Measurement::MessageTime(message_time));
                usize::from(has_migration(&harness))
            })
            .sum::<usize>()
    };
    assert!(
        migrations(false) > migrations(true),
        "{} connections migrated to a warm server, {} to a cold one",
        migrations(false),
        migrations(true)
    );
}

#[test]
fn connections_migrate_from_an_overloaded_server_only_if_others_have_free_slots() {
    let migrates_with_other_at = |connections: u32, measurement: Option<Measurement>| {
        let mut harness = Harness::new(settings(), &endpoints(2));
        let established: Vec<_> = (0..8).map(|_| harness.restore(1, None)).collect();
        for _ in 0..connections {
            let other = harness.restore(2, None);
            measurement.into_iter().for_each(|measurement| harness.measure(other, measurement));
        }
        harness.measure(established[0], OVERLOADED);
        has_migration(&harness)
    };
    assert!(migrates_with_other_at(2, None));
    // The other server is at its ceiling but has no fault: the ceiling may be exceeded by one connection.
    assert!(migrates_with_other_at(4, None));
    // No server has capacity, and migrations would only add work to a full fleet.
    assert!(!migrates_with_other_at(4, Some(SLOW)));
}

/// Guards against clients that migrate one by one, every other second. The message times of a healthy server
/// may rise to 5 to 18 times the objective at once.
#[test]
fn most_connections_migrate_within_seconds_from_a_server_whose_messages_are_all_late() {
    let remaining_after = |seconds: u64, healthy_others: u32| {
        let mut harness = Harness::new(settings(), &endpoints(4));
        let established: Vec<_> = (0..14).map(|_| harness.restore(1, None)).collect();
        // A client that is asked to migrate disconnects at once.
        let mut remaining = established.clone();
        for other in (2..=4).skip(healthy_others as usize) {
            let id = harness.restore(other, None);
            harness.measure(id, OVERLOADED);
        }
        for _ in 0..seconds {
            harness.advance(SECOND);
            harness.measure(remaining[0], Measurement::MessageTime(900 * MS));
            let migrating: Vec<_> = harness
                .actions
                .iter()
                .filter_map(|action| match action {
                    Action::Migrate { request } => Some(*request),
                    _ => None,
                })
                .collect();
            for id in migrating {
                remaining.retain(|request| *request != id);
                harness.end_attempt(id, 0, Outcome::Cancelled, true);
            }
            if remaining.is_empty() {
                break;
            }
        }
        remaining.len()
    };
    assert!(remaining_after(4, 3) <= 3);
    // If the other servers are overloaded, too, mass migration would only cause many reconnections. One
    // connection migrates at a time, so that messages on the remaining connections become useful.
    let remaining = remaining_after(1, 0);
    assert!((12..=13).contains(&remaining), "{remaining} of 14 connections remain, 12 or 13 expected");
}

#[test]
fn balancers_with_few_connections_migrate_in_proportion() {
    // Guards against eighteen balancers with one connection each that empty every overloaded server. An
    // eighth of the connections migrates at each message time. Over 2,000 seeds, the share has to be within
    // 0.04 of an eighth, which is five standard deviations.
    let migrations = (0..2_000)
        .filter(|&seed| {
            let mut harness = Harness::seeded(settings(), &endpoints(2), seed);
            let request = harness.restore(1, None);
            harness.measure(request, OVERLOADED);
            has_migration(&harness)
        })
        .count();
    assert!(
        (migrations as f64 / 2_000.0 - 0.125).abs() < 0.04,
        "{migrations} of 2000 connections migrated, about an eighth expected"
    );
}
