//! Tests which servers count as overloaded, and when connections are migrated away from them.

use connection_balancer::rebalance::{RebalanceConfig, RebalanceContext};
use connection_balancer::Micros;

use crate::harness::{config, context, RebalanceHarness, SLOW_MESSAGE_TIME};

#[test]
fn migrates_connections_from_a_server_under_pressure_to_a_restarted_empty_one() {
    let mut harness = RebalanceHarness::unbalanced();
    let migrated = harness.run_seconds(10, Some(SLOW_MESSAGE_TIME));
    assert!(!migrated.is_empty(), "no client was migrated");
    assert!(
        migrated.len() <= 10,
        "{} clients migrated in ten seconds; at most 10 allowed, because the initial rate is low",
        migrated.len()
    );
    assert!(
        migrated.iter().all(|connection| connection.0 <= 40),
        "only connections 1 to 40 of the server under pressure may be migrated: {migrated:?}"
    );
}

#[test]
fn migrates_no_client_while_disabled() {
    let mut harness = RebalanceHarness::unbalanced();
    harness.rebalancer.configure(harness.now, RebalanceConfig { enabled: false, ..config() }, context());
    assert_eq!(harness.rebalancer.next_evaluation(), None);
    assert!(harness.run_seconds(10, Some(SLOW_MESSAGE_TIME)).is_empty());
}

#[test]
fn ignores_a_short_period_of_slow_messages() {
    let mut harness = RebalanceHarness::unbalanced();
    assert!(harness.run_seconds(2, Some(SLOW_MESSAGE_TIME)).is_empty());
    assert!(harness.run_seconds(20, None).is_empty());
}

/// Random placement deviates by about the square root of the number of connections at a server. Such a
/// deviation is no reason for a migration.
#[test]
fn ignores_imbalance_explained_by_random_placement() {
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
    harness.servers[3].started_at = Some(harness.now);
    assert!(!harness.run_seconds(10, None).is_empty());
}

/// A reload may change the message objective. Message times are then compared with the new objective.
#[test]
fn applies_a_changed_message_objective_after_a_reload() {
    let mut harness = RebalanceHarness::new(
        config(),
        RebalanceContext { message_objective: Micros::from_secs(1), ..context() },
        4,
    );
    (0..3).for_each(|server| drop(harness.establish(server, if server == 0 { 40 } else { 20 }, None)));
    harness.servers[3].started_at = Some(harness.now);
    assert!(
        harness.run_seconds(10, Some(SLOW_MESSAGE_TIME)).is_empty(),
        "message times of 80 ms are fast with an objective of 1 s"
    );
    harness.rebalancer.configure(harness.now, config(), context());
    assert!(
        !harness.run_seconds(10, Some(SLOW_MESSAGE_TIME)).is_empty(),
        "message times of 80 ms are slow with an objective of 100 ms"
    );
}
