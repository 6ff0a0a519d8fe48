//! Rebalancing as a part of the reducer.

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

/// A reducer that rebalances, with most connections at the first server and an empty, restarted last one.
fn unbalanced_reducer() -> (ReducerHarness, Vec<ConnectionId>) {
    let mut harness = ReducerHarness::new();
    harness.feed(Input::ConfigurationChanged {
        pools: vec![rebalancing_pool()],
        peers: Vec::new(),
        budget: reducer_harness::BUDGET,
    });
    let mut connections = Vec::new();
    for n in 0..40 {
        let connection = harness.connect_client();
        let at = SERVERS[if n < 25 { 0 } else { 1 + n % 3 }].to_owned();
        let request =
            ConnectionRequest { established_at: Some(at), key: Some(connection.0), ..connection_request() };
        harness.feed(Input::ConnectionRequested { connection, request });
        harness.feed(Input::RequestForwarded { connection, attempt: 0 });
        harness.feed(Input::AttemptAccepted { connection, attempt: 0 });
        harness.feed(Input::LoadReported { connection, load: 60_000.0 });
        connections.push(connection);
    }
    // The last server has restarted: by the endpoint list it started just now.
    harness.restart_server(4);
    (harness, connections)
}

fn run_and_collect_migrated(
    harness: &mut ReducerHarness,
    connections: &[ConnectionId],
    seconds: u32,
) -> Vec<ConnectionId> {
    let mut moved = Vec::new();
    for _ in 0..seconds {
        for tenth in 0..10 {
            harness.advance(Micros::from_millis(100));
            let mut effects = harness.feed(Input::TimerFired);
            if let (0, Some(&connection)) =
                (tenth, connections.iter().find(|connection| !moved.contains(*connection)))
            {
                // A third of the objective: no cause for the decision module to migrate anybody by itself.
                effects.extend(harness.feed(Input::LoadReported { connection, load: 45.0 }));
            }
            moved.extend(effects.iter().filter_map(|effect| match effect {
                Effect::Answer { connection, answer: Answer::Migrated } => Some(*connection),
                _ => None,
            }));
        }
    }
    moved
}

#[test]
fn reducer_migrates_clients_of_a_pressured_server_and_counts_them() {
    let (mut harness, connections) = unbalanced_reducer();
    let migrated = run_and_collect_migrated(&mut harness, &connections, 15);
    assert!(!migrated.is_empty(), "nobody moved");
    assert!(migrated.iter().all(|connection| connections[..25].contains(connection)));
    let reply =
        harness.feed(Input::AdminRequest { admin_client: AdminClientId(1), call: AdminCall::Metrics });
    let Some(Effect::AdminReply { reply: AdminResponse::Metrics(metrics), .. }) = reply.last() else {
        panic!("{reply:?}")
    };
    assert_eq!(metrics.rebalance["platform"].migrated as usize, migrated.len());
    // One comes back and is recognised by its key.
    let connection = harness.connect_client();
    harness.feed(Input::ConnectionRequested {
        connection,
        request: ConnectionRequest {
            key: migrated.last().map(|connection| connection.0),
            reconnecting: true,
            ..connection_request()
        },
    });
    assert_eq!(harness.state.rebalancing(0).map(|metrics| metrics.returned), Some(1));
}

#[test]
fn reducer_migrates_nobody_for_balance_during_shutdown_or_hot_restart() {
    let (mut harness, connections) = unbalanced_reducer();
    harness.feed(Input::SuccessorStarted);
    assert!(run_and_collect_migrated(&mut harness, &connections, 15).is_empty());
    let (mut harness, connections) = unbalanced_reducer();
    harness.feed(Input::ShutdownRequested);
    run_and_collect_migrated(&mut harness, &connections, 3);
    assert_eq!(harness.state.rebalancing(0).map(|metrics| metrics.migrated), Some(0));
}

#[test]
fn gives_draining_precedence_over_balance() {
    let (mut harness, connections) = unbalanced_reducer();
    harness.drain_server(1);
    assert!(run_and_collect_migrated(&mut harness, &connections, 15).is_empty());
}

#[test]
fn stops_when_a_reload_disables_it() {
    let (mut harness, connections) = unbalanced_reducer();
    harness.feed(Input::ConfigurationChanged {
        pools: vec![reducer_harness::pool_config()],
        peers: Vec::new(),
        budget: reducer_harness::BUDGET,
    });
    assert!(run_and_collect_migrated(&mut harness, &connections, 15).is_empty());
    assert_eq!(harness.state.rebalancing(0), None);
}
