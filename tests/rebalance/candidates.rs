//! Which connections of an overloaded server are migrated.

use connection_balancer::rebalance::RebalanceEvent;
use connection_balancer::{ConnectionId, Micros, ServerId};

use crate::harness::{
    config, context, RebalanceHarness, RETURNED_CONNECTIONS, SECOND, SETUP_TIME, SLOW_MESSAGE_TIME,
};

#[test]
fn migrates_a_group_whole_or_not_at_all() {
    for size in [2, 5, 20, 60] {
        let mut harness = RebalanceHarness::new(config(), context(), 4);
        let groups: Vec<Vec<ConnectionId>> =
            (0..120 / size).map(|n| harness.establish(0, size, Some(n as u64))).collect();
        harness.establish(1, 20, None);
        harness.establish(2, 20, None);
        harness.servers[3].started = Some(harness.now);
        for second in 0..60 {
            harness.run_seconds(1, Some(SLOW_MESSAGE_TIME));
            harness.servers[3].started = Some(harness.now);
            let migrated = |connection: &&ConnectionId| {
                harness.rebalance.metrics().migrated > 0 && !harness.is_established(**connection)
            };
            for group in &groups {
                let migrated = group.iter().filter(migrated).count();
                assert!(
                    migrated == 0 || migrated == size,
                    "{migrated} of {size} migrated in second {second}"
                );
            }
        }
        // Larger ones take more tokens than a low rate saves, or are within their own placement noise.
        assert!(size > 2 || harness.rebalance.metrics().migrated > 0, "no group of {size} was ever migrated");
    }
}

/// A group is one unit of random placement, however many members it has.
#[test]
fn ignores_the_imbalance_of_a_single_large_group() {
    let mut harness = RebalanceHarness::new(config(), context(), 4);
    for server in 0..3 {
        harness.establish(server, 20, None);
    }
    harness.establish(0, 30, Some(9));
    harness.servers[3].started = Some(harness.now);
    assert!(harness.run_seconds(20, Some(SLOW_MESSAGE_TIME)).is_empty());
}

/// The larger part stays, the smaller one goes to it.
#[test]
fn migrates_the_smaller_part_of_a_split_group_first() {
    let mut harness = RebalanceHarness::unbalanced();
    let small = harness.establish(0, 2, Some(5));
    harness.establish(1, 6, Some(5));
    let large = harness.establish(0, 3, Some(6));
    harness.establish(2, 1, Some(6));
    let moved = harness.run_seconds(6, Some(SLOW_MESSAGE_TIME));
    assert!(moved.len() >= 2 && moved[..2] == small[..], "{moved:?}");
    assert!(moved.iter().all(|connection| !large.contains(connection)), "{moved:?}");
}

/// A client must not be migrated from server to server.
#[test]
fn does_not_migrate_a_returned_client_again() {
    let mut harness = RebalanceHarness::unbalanced();
    let mut returned = Vec::new();
    for _ in 0..8 {
        for connection in harness.run_seconds(1, Some(SLOW_MESSAGE_TIME)) {
            harness.return_client(connection, SETUP_TIME);
            returned.push(ConnectionId(harness.next + RETURNED_CONNECTIONS));
        }
    }
    let metrics = harness.rebalance.metrics();
    assert!(metrics.migrated > 0 && metrics.returned == metrics.migrated, "{metrics:?}");
    // Now the last server is the one that is full.
    harness.servers[3].occupied_slots = 60.0;
    for _ in 0..40 {
        harness.now = harness.now.plus(SECOND / 2);
        harness.notify(RebalanceEvent::MessageTimeReported {
            server: ServerId(3),
            took: Micros::from_millis(90),
        });
        let decision = harness.rebalance.evaluate(harness.now, harness.conditions, &harness.servers);
        assert!(decision.migrations.iter().all(|migration| !returned.contains(&migration.connection)));
    }
}
