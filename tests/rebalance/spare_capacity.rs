//! Tests which servers can accept migrated clients, and which ceilings are changed.

use connection_balancer::rebalance::CeilingIncrease;
use connection_balancer::ServerId;

use crate::harness::{RebalanceHarness, SECOND, SLOW_MESSAGE_TIME};

#[test]
fn migrates_no_client_without_spare_capacity() {
    let mut harness = RebalanceHarness::unbalanced();
    // The last server has about as many connections as the others, and no server has started recently.
    harness.establish(3, 25, None);
    harness.servers[3].started_at = None;
    assert!(harness.run_seconds(20, Some(SLOW_MESSAGE_TIME)).is_empty());
}

/// A slow server has few connections because it cannot handle more.
#[test]
fn does_not_migrate_to_a_slow_server_below_its_fair_share() {
    let mut harness = RebalanceHarness::unbalanced();
    harness.establish(3, 8, None);
    harness.servers[3].started_at = None;
    harness.servers[3].last_fault_at = Some(harness.now);
    harness.servers[3].ceiling = 8.0;
    harness.now = harness.now.plus(30 * SECOND);
    assert!(harness.run_seconds(20, Some(SLOW_MESSAGE_TIME)).is_empty());
    // The ceiling, which was lowered for the fault, is not raised.
    assert!(harness.evaluate_after_half_second(None).ceiling_increases.is_empty());
}

/// Ceilings are changed before any client is migrated, because placing new connections at other servers costs
/// nothing.
#[test]
fn lowers_the_ceiling_of_a_server_over_its_share_and_raises_that_of_a_restarted_one() {
    let mut harness = RebalanceHarness::unbalanced();
    let decision = harness.evaluate_after_half_second(None);
    assert_eq!(decision.ceilings_to_lower, [ServerId(0)]);
    let [CeilingIncrease { server, ceiling }] = decision.ceiling_increases[..] else {
        panic!("{decision:?}")
    };
    assert_eq!(server, ServerId(3));
    assert!(
        (ceiling - 18.0).abs() < 1e-9,
        "the ceiling is {ceiling}, expected 18: 0.9 of the fair share of 20"
    );
    assert!(decision.migrations.is_empty());
}

#[test]
fn limits_migrations_to_the_capacity_of_a_warming_server() {
    let mut harness = RebalanceHarness::unbalanced();
    harness.servers[3].warmth = 0.34;
    let migrated = harness.run_seconds(4, Some(SLOW_MESSAGE_TIME)).len();
    // The capacity of 20 slots grows over 8.8 s: by at most four and a half slots in two seconds, and half of
    // that is migrated at a time.
    assert!(migrated <= 4, "{migrated} clients migrated; at most 4 allowed");
}

/// A server that restarts and fails again while clients are migrated to it has no spare capacity.
#[test]
fn migrates_no_client_to_a_server_that_is_gone_again() {
    let mut harness = RebalanceHarness::unbalanced();
    assert!(!harness.run_seconds(8, Some(SLOW_MESSAGE_TIME)).is_empty());
    harness.servers[3].is_ready = false;
    assert!(harness.run_seconds(20, Some(SLOW_MESSAGE_TIME)).is_empty());
}
