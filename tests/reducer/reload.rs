//! Reload of the configuration while connections are open.

use connection_balancer::routing::*;
use connection_balancer::{Class, Idempotency, Micros};

use crate::harness::reload;
use crate::reducer_harness::{pool_config, ReducerHarness};

/// Established connections and attempts in flight continue, classes keep their numbers in whichever order the
/// file lists them, and the endpoint list is watched at the new address.
#[test]
fn reload_keeps_connections_and_moves_the_watch() {
    let mut harness = ReducerHarness::new();
    let (established, (connecting, server)) = (harness.establish_connection(), harness.forward_request());
    let mut config = pool_config();
    let added_class = Class {
        priority_weight: 9.0,
        setup_objective: Micros(1),
        message_objective: Micros(7),
        idempotency: Idempotency::NotIdempotent,
    };
    config.settings.classes.insert(0, added_class);
    config.classes.insert(0, "alerts".to_owned());
    config.discovery = Some("127.0.0.1:9".parse().expect("an address"));
    let effects = reload(&mut harness, config.clone());
    let discovery = config.discovery.expect("set above");
    assert_eq!(effects, [Effect::WatchEndpointsAt { pool: PoolId(0), discovery }]);
    let effects = reload(&mut harness, config);
    assert_eq!(effects, [], "the same address needs no new watch");
    // The request would fail here if it were assigned to the class that is now first, which must not be
    // retried.
    let effects = harness.feed(Input::AttemptEnded {
        connection: connecting,
        attempt: 0,
        outcome: AttemptOutcome::Reset,
    });
    assert!(matches!(effects[..], [Effect::OpenAttempt { attempt: 1, .. }]), "{effects:?}");
    assert_eq!(
        harness.drain_server(server),
        [],
        "its connections are established, or already retried at another server"
    );
    assert_eq!(harness.feed(Input::ServerActivity { connection: established }), []);
}
