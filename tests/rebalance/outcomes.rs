//! Holds after migrations that turn out badly, and while connection setups are slow.

use connection_balancer::rebalance::{ConnectionProperties, HoldReason, RebalanceContext, RebalanceEvent};
use connection_balancer::{ConnectionId, Micros, ServerId, Time};

use crate::harness::{config, context, RebalanceHarness, SECOND, SETUP_TIME, SLOW_MESSAGE_TIME};

/// The session store five times slower: from the start, beginning midway, and over again.
#[test]
fn holds_moves_while_setups_are_slow_and_resumes_afterwards() {
    let mut harness = RebalanceHarness::unbalanced();
    let complete_setups = |harness: &mut RebalanceHarness, took: u64, server: u32| {
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
                setup: Some(Micros(took)),
            });
            harness.notify(RebalanceEvent::ConnectionEnded { connection, natural: true });
            harness.servers[server as usize].occupied_slots -= 1.0;
        }
    };
    complete_setups(&mut harness, 40_000, 1);
    assert!(!harness.run_seconds(8, Some(SLOW_MESSAGE_TIME)).is_empty());
    complete_setups(&mut harness, 200_000, 1);
    assert!(harness.run_seconds(1, Some(SLOW_MESSAGE_TIME)).is_empty());
    assert_eq!(harness.hold_reason(), Some(HoldReason::SlowSetups));
    assert_eq!(harness.rebalance.metrics().migrations_per_second, 0.0);
    complete_setups(&mut harness, 40_000, 1);
    harness.run_seconds(8, Some(SLOW_MESSAGE_TIME));
    assert_eq!(harness.hold_reason(), None);
    // From the start there is no usual time: the objective decides.
    let mut harness = RebalanceHarness::unbalanced();
    complete_setups(&mut harness, 200_000, 1);
    assert!(harness.run_seconds(1, Some(SLOW_MESSAGE_TIME)).is_empty());
    assert_eq!(harness.hold_reason(), Some(HoldReason::SlowSetups));
}

/// At a slow server a setup is slow, too; the session store has no part in that.
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
            setup: Some(Micros::from_millis(400)),
        });
    }
    harness.run_seconds(1, Some(SLOW_MESSAGE_TIME));
    assert_eq!(harness.hold_reason(), None);
}

#[test]
fn holds_moves_when_migrated_clients_do_not_return() {
    let mut harness = RebalanceHarness::unbalanced();
    harness.establish(0, 100, None);
    let mut held = false;
    for _ in 0..40 {
        harness.run_seconds(1, Some(SLOW_MESSAGE_TIME));
        harness.servers[3].started = Some(harness.now);
        held |= harness.hold_reason() == Some(HoldReason::ClientsNotReturning);
    }
    assert!(held, "{:?}", harness.rebalance.metrics());
    let moved = harness.rebalance.metrics().migrated;
    assert!(moved <= 16, "{moved} moved, though none came back");
}

/// Of three balancers' clients two thirds come back to another one: that is no reason to stop.
#[test]
fn tolerates_clients_that_return_to_another_balancer() {
    let mut harness = RebalanceHarness::unbalanced();
    harness.rebalance.configure(harness.now, config(), RebalanceContext { balancers: 3, ..context() });
    let mut count = 0;
    for _ in 0..40 {
        for connection in harness.run_seconds(1, Some(SLOW_MESSAGE_TIME)) {
            count += 1;
            if count % 3 == 0 {
                harness.return_client(connection, SETUP_TIME);
            }
            // As many of the others' clients come here.
            if count % 3 == 1 {
                harness.notify(RebalanceEvent::ConnectionRequested {
                    connection: ConnectionId(50_000 + connection.0),
                    key: Some(90_000 + connection.0),
                    reconnecting: true,
                });
            }
        }
        assert_ne!(harness.hold_reason(), Some(HoldReason::ClientsNotReturning));
    }
    assert!(count > 3);
}

#[test]
fn holds_moves_longer_after_each_rejected_migrated_client() {
    let mut harness = RebalanceHarness::unbalanced();
    let mut waits = Vec::new();
    for _ in 0..3 {
        let mut moved = Vec::new();
        while moved.is_empty() {
            moved = harness.run_seconds(1, Some(SLOW_MESSAGE_TIME));
            assert!(harness.now < Time(2_000_000_000), "nobody moved");
        }
        harness.servers[3].started = Some(harness.now);
        for (n, connection) in moved.into_iter().enumerate() {
            if n > 0 {
                harness.return_client(connection, SETUP_TIME);
                continue;
            }
            let reconnected = ConnectionId(70_000 + connection.0);
            harness.notify(RebalanceEvent::ConnectionRequested {
                connection: reconnected,
                key: Some(connection.0),
                reconnecting: true,
            });
            harness.notify(RebalanceEvent::ConnectionRejected { connection: reconnected });
            harness.notify(RebalanceEvent::ConnectionEnded { connection: reconnected, natural: false });
        }
        let since = harness.now;
        harness.evaluate_after_half_second(Some(SLOW_MESSAGE_TIME));
        assert_eq!(harness.hold_reason(), Some(HoldReason::ClientsRejected));
        while harness.hold_reason() == Some(HoldReason::ClientsRejected) {
            harness.evaluate_after_half_second(Some(SLOW_MESSAGE_TIME));
        }
        waits.push(harness.now.since(since));
    }
    assert_eq!(harness.rebalance.metrics().rejected, 3);
    assert!(waits[0] >= 2 * SECOND && waits[1] > waits[0] && waits[2] > waits[1], "{waits:?}");
}

#[test]
fn holds_moves_that_have_no_effect() {
    let mut harness = RebalanceHarness::unbalanced();
    harness.establish(0, 100, None);
    let mut held = false;
    for _ in 0..60 {
        harness.servers[3].started = Some(harness.now);
        for connection in harness.run_seconds(1, Some(SLOW_MESSAGE_TIME)) {
            harness.return_client(connection, SETUP_TIME);
            // As many connect to the pressured server as leave it, and none to the empty one.
            harness.servers[3].occupied_slots -= 1.0;
            harness.establish_one(0, None);
        }
        held |= harness.hold_reason() == Some(HoldReason::ExcessNotFalling);
    }
    assert!(held, "{:?}", harness.rebalance.metrics());
}
