//! A discovery that is down: it lists no changes, so the list stays in use and no request is refused.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::drain_scenario::{in_parallel, DrainScenario};
use super::{request_until, NOTIFIED_AFTER};
use crate::fake_servers::discovery::{Discovery, Reply};
use crate::fake_servers::{wait_until, ManualServer};

/// Duration of an outage: two leases of the list, and the longest wait between two calls.
const OUTAGE: Duration = Duration::from_secs(2 * NOTIFIED_AFTER.as_secs() + 4);
const UNAVAILABLE: Reply = Reply::Status(503);
const IMMEDIATE_RESET: Reply = Reply::LateReset(Duration::ZERO);

/// Starts a daemon and begins an outage while discovery holds its call, some time after the call was made.
fn begin_during_call(begin_outage: fn(&DrainScenario)) -> DrainScenario {
    let scenario = DrainScenario::start();
    std::thread::sleep(Duration::from_secs(1));
    begin_outage(&scenario);
    scenario
}

/// Replaces the configuration by one that names another discovery, which sends this reply.
fn move_to(reply: Reply) -> DrainScenario {
    let mut scenario = DrainScenario::start();
    scenario.move_discovery(reply);
    scenario
}

/// Replaces the configuration by one that names this address of discovery.
fn move_to_address(address: SocketAddr) -> DrainScenario {
    let scenario = DrainScenario::start();
    scenario.name_discovery(address);
    scenario
}

fn refused_address() -> SocketAddr {
    let closed = Discovery::manual();
    closed.stop_listening();
    closed.address
}

/// Returns an address at which no connection is established or refused.
fn unreachable_address() -> SocketAddr {
    let unreachable = ManualServer::start_with_full_queue();
    let address = unreachable.address;
    // The queue of the listener is full for as long as the server exists.
    std::mem::forget(unreachable);
    address
}

fn refuse_connections(scenario: &DrainScenario) {
    scenario.discovery.stop_listening();
    scenario.discovery.reset_open_calls(Reply::Silence);
}

/// Starts a daemon whose list has the generation of the cached one, so that a call for changes is held, and replaces the
/// daemon by a successor after `begin_outage`.
fn restart_after(begin_outage: fn(&DrainScenario)) -> DrainScenario {
    let mut scenario = DrainScenario::start_with_reply(Reply::EndpointList);
    wait_until("the first call is held", || scenario.discovery.open_calls() == 1);
    begin_outage(&scenario);
    scenario.restart();
    scenario
}

/// Guards against a lease that the failures of an outage do not renew, or that SIGHUP, a hot restart or a start ends
/// during an outage: all requests would be refused. A hot restart without an outage must not cost requests either.
#[test]
fn serves_through_an_outage_that_is_longer_than_the_lease() {
    type Start = fn() -> DrainScenario;
    let cases: [(&str, Start); 12] = [
        ("503 at once", || begin_during_call(|scenario| scenario.discovery.reset_open_calls(UNAVAILABLE))),
        ("a reset at once", || {
            begin_during_call(|scenario| scenario.discovery.reset_open_calls(IMMEDIATE_RESET))
        }),
        ("refused connections", || begin_during_call(refuse_connections)),
        ("a watch that ends in 503, then 503 at once", || {
            begin_during_call(|scenario| scenario.discovery.answer_open_calls(503, UNAVAILABLE))
        }),
        ("503 at once at a new address", || move_to(UNAVAILABLE)),
        ("refused connections at a new address", || move_to_address(refused_address())),
        ("no connection at a new address", || move_to_address(unreachable_address())),
        ("503 at once since the start", || DrainScenario::start_with_reply(UNAVAILABLE)),
        ("a reset at once since the start", || DrainScenario::start_with_reply(IMMEDIATE_RESET)),
        ("a hot restart, and a list without changes", || restart_after(|_| {})),
        ("a hot restart, and 503 at once", || {
            restart_after(|scenario| scenario.discovery.reset_open_calls(UNAVAILABLE))
        }),
        ("a hot restart, and refused connections", || restart_after(refuse_connections)),
    ];
    in_parallel(cases, |(case, start)| {
        let scenario = start();
        let served = request_until(&scenario.daemon.platform_address, Instant::now() + OUTAGE);
        let refused = served.iter().filter(|served| !**served).count();
        assert_eq!(refused, 0, "{case}: of {} requests", served.len());
    });
}
