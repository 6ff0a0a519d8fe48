//! Servers that hold a connection's group, and servers of the local zone.

use connection_balancer::*;

use crate::harness::{endpoint, endpoints, settings, Harness, OVERLOADED};

#[test]
fn prefers_the_local_zone_where_crossing_costs() {
    let list = [EndpointEntry { zone: ZoneId(1), ..endpoint(1) }, endpoint(2)];
    let mut harness = Harness::new(Settings { cross_zone_cost: 0.05, ..settings() }, &list);
    let picks: Vec<_> = (0..5)
        .map(|_| {
            harness.arrive();
            harness.attempted_server()
        })
        .collect();
    assert_eq!(picks, [Some(2), Some(2), Some(2), Some(2), Some(1)]);
}

/// A balancer that has just started must not place half of the returning clients at the one server of its zone, which
/// would drop most of them.
#[test]
fn a_wave_after_a_restart_spreads_over_all_zones() {
    let settings = Settings { cross_zone_cost: 0.03, ..settings() };
    let list: Vec<EndpointEntry> =
        (1..=4).map(|id| EndpointEntry { zone: ZoneId(u16::from(id > 1)), ..endpoint(id) }).collect();
    let mut harness = Harness::new(settings, &list);
    let own = (0..64).filter(|_| harness.place().1 == 1).count();
    assert!((8..=28).contains(&own), "{own} of 64 in the own zone");
}

#[test]
fn prefers_servers_that_hold_the_group() {
    let mut harness = Harness::new(settings(), &endpoints(9));
    let open: Vec<_> = (0..6).map(|_| harness.restore(5, Some(77))).collect();
    for request in &open[..3] {
        harness.end_attempt(*request, 0, Outcome::Ok, true);
    }
    for _ in 0..3 {
        harness.arrive_in_group(Some(77));
        assert_eq!(harness.attempted_server(), Some(5));
    }
    harness.arrive_in_group(Some(77));
    assert_ne!(harness.attempted_server(), Some(5), "but not over their ceiling");
}

/// Balancers with few connections each would otherwise spread every group over every server.
#[test]
fn balancers_choose_the_same_server_for_a_group_without_gossip() {
    let mut homes = std::collections::BTreeMap::new();
    for group in 0..200 {
        let first = |seed| {
            let mut harness = Harness::seeded(settings(), &endpoints(10), seed);
            harness.arrive_in_group(Some(group));
            harness.attempted_server()
        };
        let home = first(1);
        assert_eq!(home, first(2));
        *homes.entry(home).or_insert(0) += 1;
    }
    // Groups themselves are spread evenly.
    assert!(homes.len() == 10 && homes.values().all(|&n| (8..=36).contains(&n)), "{homes:?}");
}

#[test]
fn the_first_of_a_group_takes_more_slots() {
    // A group that is spread over most servers would use up their slots.
    let mut harness = Harness::new(settings(), &endpoints(1));
    let alone = harness.restore(1, Some(1));
    let with_group = harness.occupied_slots(1);
    let second = harness.restore(1, Some(1));
    assert!(with_group > 1.0 && harness.occupied_slots(1) == with_group + 1.0);
    harness.end_attempt(alone, 0, Outcome::Ok, true);
    assert_eq!(
        harness.occupied_slots(1),
        with_group,
        "the slots of the group are occupied while any connection of it is established"
    );
    harness.end_attempt(second, 0, Outcome::Ok, true);
    assert_eq!(harness.occupied_slots(1), 0.0);
}

#[test]
fn migrates_the_last_of_a_group_first() {
    let mut harness = Harness::new(settings(), &endpoints(2));
    let alone = harness.restore(1, Some(1));
    let other = harness.restore(1, Some(2));
    harness.restore(1, Some(2));
    harness.measure(other, OVERLOADED);
    assert!(harness.actions.contains(&Action::Migrate { request: alone }));
}
