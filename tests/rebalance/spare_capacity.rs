//! Which servers can take migrated clients, and whose ceilings are changed.

use connection_balancer::rebalance::CeilingIncrease;
use connection_balancer::ServerId;

use crate::harness::{RebalanceHarness, SECOND, SLOW_MESSAGE_TIME};

#[test]
fn migrates_nobody_where_no_server_has_room() {
    let mut harness = RebalanceHarness::unbalanced();
    // As full as the others, and none has started recently.
    harness.establish(3, 25, None);
    harness.servers[3].started = None;
    assert!(harness.run_seconds(20, Some(SLOW_MESSAGE_TIME)).is_empty());
}

/// A slow server shows few connections because that is all it can hold.
#[test]
fn does_not_fill_a_slow_server_that_holds_less_than_its_share() {
    let mut harness = RebalanceHarness::unbalanced();
    harness.establish(3, 8, None);
    harness.servers[3].started = None;
    harness.servers[3].last_fault = Some(harness.now);
    harness.servers[3].ceiling = 8.0;
    harness.now = harness.now.plus(30 * SECOND);
    assert!(harness.run_seconds(20, Some(SLOW_MESSAGE_TIME)).is_empty());
    // And its ceiling stays as its fault has cut it.
    assert!(harness.evaluate_after_half_second(None).ceiling_increases.is_empty());
}

/// Ceilings change before anybody is migrated: new connections are placed elsewhere at no cost.
#[test]
fn lowers_the_ceiling_of_a_server_over_its_share_and_raises_an_unknown_one() {
    let mut harness = RebalanceHarness::unbalanced();
    let decision = harness.evaluate_after_half_second(None);
    assert_eq!(decision.ceilings_to_lower, [ServerId(0)]);
    let [CeilingIncrease { server, ceiling }] = decision.ceiling_increases[..] else {
        panic!("{decision:?}")
    };
    assert_eq!(server, ServerId(3));
    assert!((ceiling - 18.0).abs() < 1e-9, "0.9 of its share of 20: {ceiling}");
    assert!(decision.migrations.is_empty());
}

#[test]
fn limits_moves_to_what_a_warming_server_can_take() {
    let mut harness = RebalanceHarness::unbalanced();
    harness.servers[3].warmth = 0.34;
    let moved = harness.run_seconds(4, Some(SLOW_MESSAGE_TIME)).len();
    // 20 slots over 8.8 s: at most four and a half in two seconds, and half of that at a time.
    assert!(moved <= 4, "{moved}");
}

/// A server that comes back and dies again while it is being filled has no spare capacity any more.
#[test]
fn sends_nobody_to_a_server_that_is_gone_again() {
    let mut harness = RebalanceHarness::unbalanced();
    assert!(!harness.run_seconds(8, Some(SLOW_MESSAGE_TIME)).is_empty());
    harness.servers[3].ready = false;
    assert!(harness.run_seconds(20, Some(SLOW_MESSAGE_TIME)).is_empty());
}
