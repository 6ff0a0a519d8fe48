//! Tests of rebalancing by the reducer.

use connection_balancer::rebalance::RebalanceConfig;
use connection_balancer::routing::*;
use connection_balancer::Micros;

use crate::reducer_harness::{self, connection_request, ReducerHarness, SERVERS};

fn rebalancing_pool() -> PoolConfig {
    PoolConfig {
        rebalance: RebalanceConfig {
            enabled: true,
            max_migrations_per_second: 20.0,
            ..RebalanceConfig::default()
        },
        ..reducer_harness::pool_config()
    }
}

/// Creates a reducer with rebalancing enabled, with most connections at the first server. The last server has
/// just restarted and has no connections.
fn unbalanced_reducer() -> (ReducerHarness, Vec<ConnectionId>) {
    let mut harness = ReducerHarness::new();
    harness.feed(Input::ConfigurationChanged {
        pools: vec![rebalancing_pool()],
        other_replicas: Vec::new(),
        resource_limits: reducer_harness::RESOURCE_LIMITS,
    });
    let mut connections = Vec::new();
    for n in 0..40 {
        let connection = harness.connect_client();
        let server = SERVERS[if n < 25 { 0 } else { 1 + n % 3 }].to_owned();
        let request = ConnectionRequest {
            established_server: Some(server),
            key: Some(connection.0),
            ..connection_request()
        };
        harness.feed(Input::ConnectionRequested { connection, request });
        harness.feed(Input::RequestForwarded { connection, attempt: 0 });
        harness.feed(Input::AttemptAccepted { connection, attempt: 0 });
        harness.feed(Input::LoadReported { connection, value: 60_000.0 });
        connections.push(connection);
    }
    // The last server has restarted: its start time in the endpoint list is now.
    harness.restart_server(4);
    (harness, connections)
}

fn run_and_collect_migrated(
    harness: &mut ReducerHarness,
    connections: &[ConnectionId],
    seconds: u32,
) -> Vec<ConnectionId> {
    let mut migrated = Vec::new();
    for _ in 0..seconds {
        for tenth in 0..10 {
            harness.advance(Micros::from_millis(100));
            let mut effects = harness.feed(Input::TimerFired);
            if let (0, Some(&connection)) =
                (tenth, connections.iter().find(|connection| !migrated.contains(*connection)))
            {
                // A third of the objective: the decision module migrates no client for such a message time.
                effects.extend(harness.feed(Input::LoadReported { connection, value: 45.0 }));
            }
            migrated.extend(effects.iter().filter_map(|effect| match effect {
                Effect::Answer { connection, answer: Answer::Migrated } => Some(*connection),
                _ => None,
            }));
        }
    }
    migrated
}

#[test]
fn reducer_migrates_clients_of_a_server_under_pressure_and_counts_them() {
    let (mut harness, connections) = unbalanced_reducer();
    let migrated = run_and_collect_migrated(&mut harness, &connections, 15);
    assert!(!migrated.is_empty(), "no client was migrated");
    assert!(migrated.iter().all(|connection| connections[..25].contains(connection)));
    let reply = harness.feed(Input::AdminRequest { admin_call: AdminCallId(1), call: AdminCall::Metrics });
    let Some(Effect::AdminReply { reply: AdminResponse::Metrics(metrics), .. }) = reply.last() else {
        panic!("{reply:?}")
    };
    assert_eq!(metrics.rebalance["platform"].migrated as usize, migrated.len());
    // A migrated client reconnects and is recognised by its key.
    let connection = harness.connect_client();
    harness.feed(Input::ConnectionRequested {
        connection,
        request: ConnectionRequest {
            key: migrated.last().map(|connection| connection.0),
            reconnecting: true,
            ..connection_request()
        },
    });
    assert_eq!(harness.state.rebalance_metrics(PoolId(0)).map(|metrics| metrics.reconnected), Some(1));
}

#[test]
fn reducer_migrates_no_client_for_balance_during_shutdown_or_hot_restart() {
    let (mut harness, connections) = unbalanced_reducer();
    harness.feed(Input::SuccessorStarted);
    assert!(run_and_collect_migrated(&mut harness, &connections, 15).is_empty());
    let (mut harness, connections) = unbalanced_reducer();
    harness.feed(Input::ShutdownRequested);
    run_and_collect_migrated(&mut harness, &connections, 3);
    assert_eq!(harness.state.rebalance_metrics(PoolId(0)).map(|metrics| metrics.migrated), Some(0));
}

#[test]
fn does_not_rebalance_while_a_server_drains() {
    let (mut harness, connections) = unbalanced_reducer();
    harness.drain_server(1);
    assert!(run_and_collect_migrated(&mut harness, &connections, 15).is_empty());
}

#[test]
fn stops_rebalancing_when_a_reload_disables_it() {
    let (mut harness, connections) = unbalanced_reducer();
    harness.feed(Input::ConfigurationChanged {
        pools: vec![reducer_harness::pool_config()],
        other_replicas: Vec::new(),
        resource_limits: reducer_harness::RESOURCE_LIMITS,
    });
    assert!(run_and_collect_migrated(&mut harness, &connections, 15).is_empty());
    assert_eq!(harness.state.rebalance_metrics(PoolId(0)), None);
}
