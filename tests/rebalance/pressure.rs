//! Which servers count as overloaded, and what is done about it.

use connection_balancer::rebalance::{RebalanceConfig, RebalanceContext};
use connection_balancer::Micros;

use crate::harness::{config, context, RebalanceHarness, SLOW_MESSAGE_TIME};

#[test]
fn migrates_connections_from_a_pressured_server_to_a_restarted_empty_one() {
    let mut harness = RebalanceHarness::unbalanced();
    let moved = harness.run_seconds(10, Some(SLOW_MESSAGE_TIME));
    assert!(!moved.is_empty(), "nobody moved");
    assert!(moved.len() <= 10, "{} moved in ten seconds, from a rate that begins low", moved.len());
    assert!(
        moved.iter().all(|connection| connection.0 <= 40),
        "only those of the pressured server: {moved:?}"
    );
}

#[test]
fn migrates_nobody_while_disabled() {
    let mut harness = RebalanceHarness::unbalanced();
    harness.rebalance.configure(harness.now, RebalanceConfig { enabled: false, ..config() }, context());
    assert_eq!(harness.rebalance.next_evaluation(), None);
    assert!(harness.run_seconds(10, Some(SLOW_MESSAGE_TIME)).is_empty());
}

#[test]
fn ignores_a_short_period_of_slow_messages() {
    let mut harness = RebalanceHarness::unbalanced();
    assert!(harness.run_seconds(2, Some(SLOW_MESSAGE_TIME)).is_empty());
    assert!(harness.run_seconds(20, None).is_empty());
}

/// Random placement deviates by about the square root of what a server holds; that is no cause to move anybody.
#[test]
fn ignores_imbalance_that_random_placement_explains() {
    for reports_message_time in [true, false] {
        let context = RebalanceContext {
            reports_message_time,
            message_objective: if reports_message_time { Micros::from_millis(100) } else { Micros::ZERO },
            ..context()
        };
        let mut harness = RebalanceHarness::new(config(), context, 4);
        for (server, count) in [(0, 24), (1, 16), (2, 20), (3, 20)] {
            harness.establish(server, count, None);
        }
        assert!(harness.run_seconds(60, None).is_empty());
    }
}

#[test]
fn migrates_beyond_placement_noise_where_servers_report_no_message_times() {
    let mut harness = RebalanceHarness::new(
        config(),
        RebalanceContext { reports_message_time: false, message_objective: Micros::ZERO, ..context() },
        4,
    );
    for server in 0..3 {
        harness.establish(server, 200, None);
    }
    harness.servers[3].started = Some(harness.now);
    assert!(!harness.run_seconds(10, None).is_empty());
}

/// A reload may bring another objective, by which message times are then judged.
#[test]
fn applies_another_message_objective_from_the_reload_on() {
    let mut harness = RebalanceHarness::new(
        config(),
        RebalanceContext { message_objective: Micros::from_secs(1), ..context() },
        4,
    );
    (0..3).for_each(|server| drop(harness.establish(server, if server == 0 { 40 } else { 20 }, None)));
    harness.servers[3].started = Some(harness.now);
    assert!(
        harness.run_seconds(10, Some(SLOW_MESSAGE_TIME)).is_empty(),
        "80 ms are fast where 1 s is wanted"
    );
    harness.rebalance.configure(harness.now, config(), context());
    assert!(!harness.run_seconds(10, Some(SLOW_MESSAGE_TIME)).is_empty(), "and slow where 100 ms are");
}
