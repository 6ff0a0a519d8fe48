//! Tests of the preferences for servers with a connection's group and for servers of the local zone.

use connection_balancer::*;

use crate::harness::{endpoint, endpoints, settings, Harness, OVERLOADED};

#[test]
fn prefers_the_local_zone_if_crossing_zones_has_a_cost() {
    let list = [EndpointEntry { zone: ZoneId(1), ..endpoint(1) }, endpoint(2)];
    let mut harness = Harness::new(Settings { cross_zone_cost: 0.05, ..settings() }, &list);
    let selected: Vec<_> = (0..5)
        .map(|_| {
            harness.arrive();
            harness.attempted_server()
        })
        .collect();
    assert_eq!(selected, [Some(2), Some(2), Some(2), Some(2), Some(1)]);
}

/// Guards against a balancer that has just started and places half of the returning clients on the only
/// server of its zone, which would drop most of them.
#[test]
fn clients_that_reconnect_after_a_restart_are_spread_over_all_zones() {
    let settings = Settings { cross_zone_cost: 0.03, ..settings() };
    let list: Vec<EndpointEntry> =
        (1..=4).map(|id| EndpointEntry { zone: ZoneId(u16::from(id > 1)), ..endpoint(id) }).collect();
    let mut harness = Harness::new(settings, &list);
    let local = (0..64).filter(|_| harness.place().1 == 1).count();
    assert!((8..=28).contains(&local), "{local} of 64 connections in the local zone, 8 to 28 expected");
}

#[test]
fn prefers_servers_with_connections_of_the_group() {
    let mut harness = Harness::new(settings(), &endpoints(9));
    let established: Vec<_> = (0..6).map(|_| harness.restore(5, Some(77))).collect();
    for request in &established[..3] {
        harness.end_attempt(*request, 0, Outcome::Ok, true);
    }
    for _ in 0..3 {
        harness.arrive_in_group(Some(77));
        assert_eq!(harness.attempted_server(), Some(5));
    }
    harness.arrive_in_group(Some(77));
    assert_ne!(harness.attempted_server(), Some(5), "the group's server was selected above its ceiling");
}

/// Guards against balancers with few connections each that spread every group over every server.
#[test]
fn balancers_choose_the_same_server_for_a_group_without_gossip() {
    let mut groups_by_server = std::collections::BTreeMap::new();
    for group in 0..200 {
        let selected_with_seed = |seed| {
            let mut harness = Harness::seeded(settings(), &endpoints(10), seed);
            harness.arrive_in_group(Some(group));
            harness.attempted_server()
        };
        let server = selected_with_seed(1);
        assert_eq!(server, selected_with_seed(2));
        *groups_by_server.entry(server).or_insert(0) += 1;
    }
    // Different groups are spread evenly over the servers.
    assert!(
        groups_by_server.len() == 10 && groups_by_server.values().all(|&n| (8..=36).contains(&n)),
        "8 to 36 groups expected at each of 10 servers: {groups_by_server:?}"
    );
}

#[test]
fn the_first_connection_of_a_group_occupies_more_slots() {
    // A group that is spread over most servers would use up their slots.
    let mut harness = Harness::new(settings(), &endpoints(1));
    let first = harness.restore(1, Some(1));
    let slots_of_first = harness.occupied_slots(1);
    let second = harness.restore(1, Some(1));
    assert!(slots_of_first > 1.0 && harness.occupied_slots(1) == slots_of_first + 1.0);
    harness.end_attempt(first, 0, Outcome::Ok, true);
    assert_eq!(
        harness.occupied_slots(1),
        slots_of_first,
        "the slots of the group are occupied while any connection of it is established"
    );
    harness.end_attempt(second, 0, Outcome::Ok, true);
    assert_eq!(harness.occupied_slots(1), 0.0);
}

#[test]
fn migrates_the_last_connection_of_a_group_first() {
    let mut harness = Harness::new(settings(), &endpoints(2));
    let last_of_group = harness.restore(1, Some(1));
    let other = harness.restore(1, Some(2));
    harness.restore(1, Some(2));
    harness.measure(other, OVERLOADED);
    assert!(harness.actions.contains(&Action::Migrate { request: last_of_group }));
}
