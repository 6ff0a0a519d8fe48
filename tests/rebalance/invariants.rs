//! Property tests of the guarantees that hold for any sequence of events.

use connection_balancer::rebalance::{
    CeilingIncrease, ConnectionProperties, Decision, Migration, RebalanceEvent,
};
use connection_balancer::{ConnectionId, Micros, ServerId};
use proptest::prelude::*;
use proptest::test_runner::FileFailurePersistence;

use crate::harness::{config, context, RebalanceHarness, SECOND};

proptest! {
    // Each run uses the same steps.
    #![proptest_config(ProptestConfig {
        // Failed cases are saved in a file in the same directory.
        failure_persistence: Some(Box::new(FileFailurePersistence::WithSource("proptest-regressions"))),
        rng_seed: proptest::test_runner::RngSeed::Fixed(9),
        ..ProptestConfig::default()
    })]

    /// For any sequence of events, the rate of migrations is bounded, migrations do not exceed the tokens,
    /// each migration is of an established connection at a ready server, and no connection is migrated twice.
    /// The same events yield the same decisions.
    #[test]
    fn keeps_its_guarantees_under_arbitrary_events(
        steps in prop::collection::vec((0u8..14, 0u64..40, 0u32..5), 1..400)
    ) {
        prop_assert_eq!(replay(&steps)?, replay(&steps)?);
    }
}

/// Kind of event, number from which the details of the event are derived, and server.
type Step = (u8, u64, u32);

/// Applies the steps to a new harness and checks the guarantees after each step. Returns the decisions.
fn replay(steps: &[Step]) -> Result<Vec<Decision>, TestCaseError> {
    let mut harness = RebalanceHarness::new(config(), context(), 5);
    let mut decisions = Vec::new();
    for &step in steps {
        let (kind, number, server) = step;
        harness.now = harness.now.plus(Micros(number * 10_000));
        match kind {
            0..=9 => harness.notify(arbitrary_event(step)),
            10 => harness.servers[server as usize].is_ready ^= true,
            11 => harness.servers[server as usize].started_at = Some(harness.now),
            _ => decisions.push(evaluate_checked(&mut harness, number, server)?),
        }
        if kind <= 3 {
            harness.servers[server as usize].occupied_slots += 1.0;
        }
        let metrics = harness.rebalancer.metrics();
        prop_assert!(
            metrics.allowed_migrations_per_second.is_finite()
                && (0.0..=20.0).contains(&metrics.allowed_migrations_per_second)
        );
        prop_assert!(metrics.reconnected <= metrics.migrated && metrics.rejected <= metrics.reconnected);
    }
    Ok(decisions)
}

fn arbitrary_event((kind, number, server): Step) -> RebalanceEvent {
    let connection = ConnectionId(number);
    let properties = ConnectionProperties {
        server: ServerId(server),
        class: (number % 3) as u16,
        group: (number % 4 == 0).then_some(number % 3),
        load: (number % 2 == 0).then_some(number as f64 * 10_000.0),
        key: (number % 5 > 0).then_some(number),
    };
    match kind {
        0..=3 => RebalanceEvent::ConnectionEstablished {
            connection,
            properties,
            setup_time: Some(Micros(number * 5_000)),
        },
        4 => RebalanceEvent::ConnectionEnded { connection, ended_by_client: server > 2 },
        5 => RebalanceEvent::ConnectionRequested {
            connection,
            key: Some(number),
            reports_reconnection: server > 2,
        },
        6 => RebalanceEvent::ConnectionRejected { connection },
        7 => RebalanceEvent::LoadReported { connection, load: number as f64 * 5_000.0 },
        8 => RebalanceEvent::EndpointListChanged { ready_servers: server as usize },
        _ if server > 2 => RebalanceEvent::EndpointListLost,
        _ => RebalanceEvent::EndpointListReceived,
    }
}

/// Reports message times of a server for three seconds, evaluates, and checks the decision.
fn evaluate_checked(
    harness: &mut RebalanceHarness,
    number: u64,
    slow_server: u32,
) -> Result<Decision, TestCaseError> {
    for _ in 0..3 {
        harness.now = harness.now.plus(SECOND);
        let server = ServerId(slow_server);
        harness.notify(RebalanceEvent::MessageTimeReported { server, message_time: Micros(number * 10_000) });
    }
    let established_count = (0..40).filter_map(|n| harness.rebalancer.connection(ConnectionId(n))).count();
    let decision = harness.rebalancer.evaluate(harness.now, harness.conditions, &harness.servers);
    let mut migrated = std::collections::BTreeSet::new();
    for &Migration { connection, from } in &decision.migrations {
        prop_assert!(migrated.insert(connection), "{connection:?} is migrated twice in one decision");
        prop_assert!(harness.servers[from.0 as usize].is_ready);
        let server =
            harness.rebalancer.connection(connection).map(|established| established.properties.server);
        prop_assert_eq!(server, Some(from));
        harness.notify(RebalanceEvent::ConnectionEnded { connection, ended_by_client: false });
    }
    prop_assert!(decision.migrations.len() <= established_count);
    let is_valid = |increase: &CeilingIncrease| increase.ceiling.is_finite() && increase.ceiling > 0.0;
    prop_assert!(decision.ceiling_increases.iter().all(is_valid));
    Ok(decision)
}
