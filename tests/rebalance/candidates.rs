//! Tests which connections of an overloaded server are migrated.

use connection_balancer::rebalance::RebalanceEvent;
use connection_balancer::{ConnectionId, Micros, ServerId};

use crate::harness::{
    config, context, RebalanceHarness, RECONNECTED_ID_OFFSET, SECOND, SETUP_TIME, SLOW_MESSAGE_TIME,
};

#[test]
fn migrates_a_group_completely_or_not_at_all() {
    for size in [2, 5, 20, 60] {
        let mut harness = RebalanceHarness::new(config(), context(), 4);
        let groups: Vec<Vec<ConnectionId>> =
            (0..120 / size).map(|n| harness.establish(0, size, Some(n as u64))).collect();
        harness.establish(1, 20, None);
        harness.establish(2, 20, None);
        harness.servers[3].started_at = Some(harness.now);
        for second in 0..60 {
            harness.run_seconds(1, Some(SLOW_MESSAGE_TIME));
            harness.servers[3].started_at = Some(harness.now);
            let was_migrated = |connection: &&ConnectionId| {
                harness.rebalancer.metrics().migrated > 0 && !harness.is_established(**connection)
            };
            for group in &groups {
                let migrated = group.iter().filter(was_migrated).count();
                assert!(
                    migrated == 0 || migrated == size,
                    "{migrated} of {size} members of a group were migrated by second {second}"
                );
            }
        }
        // Larger groups need more tokens than can be saved up at a low rate, or are within their own
        // placement noise.
        assert!(
            size > 2 || harness.rebalancer.metrics().migrated > 0,
            "no group of {size} connections was migrated"
        );
    }
}

/// A group is one unit of random placement, regardless of the number of its members.
#[test]
fn ignores_the_imbalance_of_a_single_large_group() {
    let mut harness = RebalanceHarness::new(config(), context(), 4);
    for server in 0..3 {
        harness.establish(server, 20, None);
    }
    harness.establish(0, 30, Some(9));
    harness.servers[3].started_at = Some(harness.now);
    assert!(harness.run_seconds(20, Some(SLOW_MESSAGE_TIME)).is_empty());
}

/// The larger part of a split group is not migrated, so that the smaller part can join it.
#[test]
fn migrates_the_smaller_part_of_a_split_group_first() {
    let mut harness = RebalanceHarness::unbalanced();
    let smaller_part = harness.establish(0, 2, Some(5));
    harness.establish(1, 6, Some(5));
    let larger_part = harness.establish(0, 3, Some(6));
    harness.establish(2, 1, Some(6));
    let migrated = harness.run_seconds(6, Some(SLOW_MESSAGE_TIME));
    assert!(
        migrated.len() >= 2 && migrated[..2] == smaller_part[..],
        "the smaller part {smaller_part:?} should be migrated first: {migrated:?}"
    );
    assert!(
        migrated.iter().all(|connection| !larger_part.contains(connection)),
        "no connection of the larger part {larger_part:?} should be migrated: {migrated:?}"
    );
}

/// A client must not be migrated repeatedly from server to server.
#[test]
fn does_not_migrate_a_reconnected_client_again() {
    let mut harness = RebalanceHarness::unbalanced();
    let mut reconnected = Vec::new();
    for _ in 0..8 {
        for connection in harness.run_seconds(1, Some(SLOW_MESSAGE_TIME)) {
            harness.reconnect_client(connection, SETUP_TIME);
            reconnected.push(ConnectionId(harness.last_connection_id + RECONNECTED_ID_OFFSET));
        }
    }
    let metrics = harness.rebalancer.metrics();
    assert!(metrics.migrated > 0 && metrics.reconnected == metrics.migrated, "{metrics:?}");
    // The last server is now the overloaded one.
    harness.servers[3].occupied_slots = 60.0;
    for _ in 0..40 {
        harness.now = harness.now.plus(SECOND / 2);
        harness.notify(RebalanceEvent::MessageTimeReported {
            server: ServerId(3),
            message_time: Micros::from_millis(90),
        });
        let decision = harness.rebalancer.evaluate(harness.now, harness.conditions, &harness.servers);
        assert!(decision.migrations.iter().all(|migration| !reconnected.contains(&migration.connection)));
    }
}
