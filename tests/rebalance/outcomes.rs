//! Tests of holds after unsuccessful migrations, and while connection setups are slow.

use connection_balancer::rebalance::{ConnectionProperties, HoldReason, RebalanceContext, RebalanceEvent};
use connection_balancer::{ConnectionId, Micros, ServerId, Time};

use crate::harness::{config, context, RebalanceHarness, SECOND, SETUP_TIME, SLOW_MESSAGE_TIME};

/// The session store becomes five times slower after a time of normal setups, and recovers. In a second run
/// it is slow from the start.
#[test]
fn holds_migrations_while_setups_are_slow_and_resumes_afterwards() {
    let mut harness = RebalanceHarness::unbalanced();
    let complete_setups = |harness: &mut RebalanceHarness, setup_micros: u64, server: u32| {
        for _ in 0..20 {
            let connection = harness.establish_one(server, None);
            let properties = ConnectionProperties {
                server: ServerId(server),
                class: 0,
                group: None,
                load: None,
                key: None,
            };
            harness.notify(RebalanceEvent::ConnectionEstablished {
                connection,
                properties,
                setup_time: Some(Micros(setup_micros)),
            });
            harness.notify(RebalanceEvent::ConnectionEnded { connection, ended_by_client: true });
            harness.servers[server as usize].occupied_slots -= 1.0;
        }
    };
    complete_setups(&mut harness, 40_000, 1);
    assert!(!harness.run_seconds(8, Some(SLOW_MESSAGE_TIME)).is_empty());
    complete_setups(&mut harness, 200_000, 1);
    assert!(harness.run_seconds(1, Some(SLOW_MESSAGE_TIME)).is_empty());
    assert_eq!(harness.hold_reason(), Some(HoldReason::SlowSetups));
    assert_eq!(harness.rebalancer.metrics().allowed_migrations_per_second, 0.0);
    complete_setups(&mut harness, 40_000, 1);
    harness.run_seconds(8, Some(SLOW_MESSAGE_TIME));
    assert_eq!(harness.hold_reason(), None);
    // Without earlier setups there is no usual time, so that only the objective shows that setups are slow.
    let mut harness = RebalanceHarness::unbalanced();
    complete_setups(&mut harness, 200_000, 1);
    assert!(harness.run_seconds(1, Some(SLOW_MESSAGE_TIME)).is_empty());
    assert_eq!(harness.hold_reason(), Some(HoldReason::SlowSetups));
}

/// A setup at a slow server is slow because of the server, not because of the session store.
#[test]
fn ignores_slow_setups_at_a_slow_server() {
    let mut harness = RebalanceHarness::unbalanced();
    harness.run_seconds(4, Some(SLOW_MESSAGE_TIME));
    for _ in 0..20 {
        let connection = harness.establish_one(0, None);
        let properties =
            ConnectionProperties { server: ServerId(0), class: 0, group: None, load: None, key: None };
        harness.notify(RebalanceEvent::ConnectionEstablished {
            connection,
            properties,
            setup_time: Some(Micros::from_millis(400)),
        });
    }
    harness.run_seconds(1, Some(SLOW_MESSAGE_TIME));
    assert_eq!(harness.hold_reason(), None);
}

#[test]
fn holds_migrations_when_migrated_clients_do_not_reconnect() {
    let mut harness = RebalanceHarness::unbalanced();
    harness.establish(0, 100, None);
    let mut was_held = false;
    for _ in 0..40 {
        harness.run_seconds(1, Some(SLOW_MESSAGE_TIME));
        harness.servers[3].started_at = Some(harness.now);
        was_held |= harness.hold_reason() == Some(HoldReason::ClientsNotReconnecting);
    }
    assert!(was_held, "{:?}", harness.rebalancer.metrics());
    let migrated = harness.rebalancer.metrics().migrated;
    assert!(migrated <= 16, "{migrated} clients migrated, at most 16 allowed: none of them reconnected");
}

/// With three balancers, two thirds of the migrated clients reconnect to another balancer. This must not
/// cause a hold.
#[test]
fn tolerates_clients_that_reconnect_to_another_balancer() {
    let mut harness = RebalanceHarness::unbalanced();
    harness.rebalancer.configure(harness.now, config(), RebalanceContext { balancers: 3, ..context() });
    let mut migrated_count = 0;
    for _ in 0..40 {
        for connection in harness.run_seconds(1, Some(SLOW_MESSAGE_TIME)) {
            migrated_count += 1;
            if migrated_count % 3 == 0 {
                harness.reconnect_client(connection, SETUP_TIME);
            }
            // The same number of other balancers' clients reconnects to this balancer.
            if migrated_count % 3 == 1 {
                harness.notify(RebalanceEvent::ConnectionRequested {
                    connection: ConnectionId(50_000 + connection.0),
                    key: Some(90_000 + connection.0),
                    reports_reconnection: true,
                });
            }
        }
        assert_ne!(harness.hold_reason(), Some(HoldReason::ClientsNotReconnecting));
    }
    assert!(migrated_count > 3, "{migrated_count} clients migrated; more than 3 are needed for the test");
}

#[test]
fn holds_migrations_longer_after_each_rejected_migrated_client() {
    let mut harness = RebalanceHarness::unbalanced();
    let mut hold_durations = Vec::new();
    for _ in 0..3 {
        let mut migrated = Vec::new();
        while migrated.is_empty() {
            migrated = harness.run_seconds(1, Some(SLOW_MESSAGE_TIME));
            assert!(harness.now < Time(2_000_000_000), "no client was migrated within 1000 s");
        }
        harness.servers[3].started_at = Some(harness.now);
        for (n, connection) in migrated.into_iter().enumerate() {
            if n > 0 {
                harness.reconnect_client(connection, SETUP_TIME);
                continue;
            }
            let reconnected = ConnectionId(70_000 + connection.0);
            harness.notify(RebalanceEvent::ConnectionRequested {
                connection: reconnected,
                key: Some(connection.0),
                reports_reconnection: true,
            });
            harness.notify(RebalanceEvent::ConnectionRejected { connection: reconnected });
            harness
                .notify(RebalanceEvent::ConnectionEnded { connection: reconnected, ended_by_client: false });
        }
        let hold_start = harness.now;
        harness.evaluate_after_half_second(Some(SLOW_MESSAGE_TIME));
        assert_eq!(harness.hold_reason(), Some(HoldReason::ClientsRejected));
        while harness.hold_reason() == Some(HoldReason::ClientsRejected) {
            harness.evaluate_after_half_second(Some(SLOW_MESSAGE_TIME));
        }
        hold_durations.push(harness.now.since(hold_start));
    }
    assert_eq!(harness.rebalancer.metrics().rejected, 3);
    assert!(
        hold_durations[0] >= 2 * SECOND
            && hold_durations[1] > hold_durations[0]
            && hold_durations[2] > hold_durations[1],
        "{hold_durations:?}"
    );
}

#[test]
fn holds_migrations_that_have_no_effect() {
    let mut harness = RebalanceHarness::unbalanced();
    harness.establish(0, 100, None);
    let mut was_held = false;
    for _ in 0..60 {
        harness.servers[3].started_at = Some(harness.now);
        for connection in harness.run_seconds(1, Some(SLOW_MESSAGE_TIME)) {
            harness.reconnect_client(connection, SETUP_TIME);
            // For each client that leaves the overloaded server, another client connects to it. No client
            // connects to the empty server.
            harness.servers[3].occupied_slots -= 1.0;
            harness.establish_one(0, None);
        }
        was_held |= harness.hold_reason() == Some(HoldReason::ExcessNotFalling);
    }
    assert!(was_held, "{:?}", harness.rebalancer.metrics());
}
