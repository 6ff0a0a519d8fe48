//! Tests of holds for conditions elsewhere in the balancer.

use connection_balancer::rebalance::{HoldReason, HoldTransition, RebalanceEvent, SystemConditions};
use connection_balancer::ConnectionId;

use crate::harness::{RebalanceHarness, SLOW_MESSAGE_TIME};

/// Applies a change to a harness that migrates clients, and checks that no client is migrated afterwards.
/// Returns the reason of the hold.
fn hold_reason_after(apply_change: impl FnOnce(&mut RebalanceHarness)) -> Option<HoldReason> {
    let mut harness = RebalanceHarness::unbalanced();
    harness.run_seconds(3, Some(SLOW_MESSAGE_TIME));
    apply_change(&mut harness);
    assert_eq!(harness.run_seconds(1, Some(SLOW_MESSAGE_TIME)), [], "no client is migrated during a hold");
    harness.hold_reason()
}

#[test]
fn holds_all_migrations_under_each_system_condition() {
    let normal = SystemConditions::default();
    for (conditions, reason) in [
        (SystemConditions { shutting_down: true, ..normal }, HoldReason::ShuttingDown),
        (SystemConditions { hot_restart: true, ..normal }, HoldReason::HotRestart),
        (SystemConditions { draining_connections: 1, ..normal }, HoldReason::Draining),
    ] {
        let found = hold_reason_after(|harness| harness.conditions = conditions);
        assert_eq!(found, Some(reason), "{conditions:?}");
    }
}

#[test]
fn holds_all_migrations_after_each_change_of_configuration_or_endpoint_list() {
    for (event, reason) in [
        (RebalanceEvent::ConfigurationReloaded, HoldReason::ConfigurationReloaded),
        (RebalanceEvent::EndpointListLost, HoldReason::EndpointListUnavailable),
        (RebalanceEvent::EndpointListChanged { ready_servers: 2 }, HoldReason::EndpointListShrank),
        (RebalanceEvent::EndpointListChanged { ready_servers: 0 }, HoldReason::EndpointListShrank),
    ] {
        let found = hold_reason_after(|harness| harness.notify(event));
        assert_eq!(found, Some(reason), "{event:?}");
    }
}

#[test]
fn holds_all_migrations_in_an_arrival_storm() {
    let found = hold_reason_after(|harness| {
        for n in 0..60 {
            harness.notify(RebalanceEvent::ConnectionRequested {
                connection: ConnectionId(80_000 + n),
                key: None,
                reports_reconnection: false,
            });
        }
    });
    assert_eq!(found, Some(HoldReason::ArrivalStorm));
}

#[test]
fn holds_all_migrations_with_a_single_ready_server() {
    let found = hold_reason_after(|harness| {
        harness.servers.iter_mut().skip(1).for_each(|server| server.is_ready = false);
    });
    assert_eq!(found, Some(HoldReason::TooFewServers));
}

#[test]
fn logs_a_hold_and_its_end_once_connections_were_migrated() {
    let mut harness = RebalanceHarness::unbalanced();
    harness.conditions.hot_restart = true;
    assert_eq!(
        harness.evaluate_after_half_second(None).hold_transition,
        None,
        "no client has been migrated yet"
    );
    harness.conditions.hot_restart = false;
    harness.run_seconds(5, Some(SLOW_MESSAGE_TIME));
    harness.conditions.hot_restart = true;
    let held = harness.evaluate_after_half_second(None).hold_transition;
    assert_eq!(held, Some(HoldTransition::Held(HoldReason::HotRestart)));
    assert_eq!(HoldReason::HotRestart.to_string(), "a hot restart is under way");
    assert_eq!(harness.evaluate_after_half_second(None).hold_transition, None, "the reason has not changed");
    harness.conditions.hot_restart = false;
    assert_eq!(harness.evaluate_after_half_second(None).hold_transition, Some(HoldTransition::Resumed));
}

/// A hold ends with its cause. A server that drains for hours must not hold migrations indefinitely.
#[test]
fn ends_holds_without_intervention() {
    let mut harness = RebalanceHarness::unbalanced();
    harness.notify(RebalanceEvent::ConfigurationReloaded);
    harness.notify(RebalanceEvent::EndpointListLost);
    harness.conditions.draining_connections = 3;
    harness.notify(RebalanceEvent::EndpointListReceived);
    harness.run_seconds(29, None);
    assert_eq!(harness.hold_reason(), Some(HoldReason::Draining));
    harness.run_seconds(3, None);
    assert_eq!(harness.hold_reason(), None);
}
