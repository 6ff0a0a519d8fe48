//! Probes of servers for their load.

use connection_balancer::routing::*;
use connection_balancer::{LoadReport, Micros, ServerId};

use crate::harness::reload;
use crate::reducer_harness::{pool_config, ReducerHarness};

/// Returns a reducer whose servers may be probed.
fn probing_harness() -> ReducerHarness {
    let mut harness = ReducerHarness::new();
    let mut config = pool_config();
    config.settings.probes_allowed = true;
    config.settings.probes_report_load = true;
    config.load_report_fields = vec!["x0"];
    reload(&mut harness, config);
    harness
}

fn probed_servers(effects: &[Effect]) -> Vec<ServerId> {
    let server =
        |effect: &Effect| if let Effect::ProbeServer { server, .. } = effect { Some(*server) } else { None };
    effects.iter().filter_map(server).collect()
}

fn load_report(utilisation: f64) -> ProbeOutcome {
    ProbeOutcome::Answered(Some(LoadReport { utilisation, connections: None }))
}

/// Establishes connections one minute apart, and returns the servers that are probed meanwhile.
fn probed_while_connecting(harness: &mut ReducerHarness, connections: usize) -> Vec<ServerId> {
    let mut servers = Vec::new();
    for _ in 0..connections {
        let (connection, _) = harness.forward_request();
        servers.extend(probed_servers(&harness.feed(Input::AttemptAccepted { connection, attempt: 0 })));
        harness.advance(Micros::from_secs(60));
    }
    servers
}

/// A server that has not answered a probe is busy, and a draining server must not receive new requests.
#[test]
fn probes_a_server_once_at_a_time_and_not_while_it_drains() {
    let mut harness = probing_harness();
    let mut first = probed_while_connecting(&mut harness, 30);
    first.sort();
    assert_eq!(first, [1, 2, 3, 4, 5].map(ServerId), "each is probed once, because none has answered");
    harness.feed(Input::ProbeCompleted {
        pool: PoolId(0),
        server: ServerId(2),
        outcome: ProbeOutcome::NoAnswer,
    });
    harness.feed(Input::ProbeCompleted {
        pool: PoolId(0),
        server: ServerId(3),
        outcome: ProbeOutcome::NoAnswer,
    });
    harness.drain_server(1);
    let probed = probed_while_connecting(&mut harness, 10);
    assert!(
        probed.contains(&ServerId(3)) && probed.iter().all(|server| *server == ServerId(3)),
        "{probed:?}"
    );
}

#[test]
fn does_not_probe_a_server_that_declined_until_it_restarts() {
    let mut harness = probing_harness();
    for server in probed_while_connecting(&mut harness, 10) {
        harness.feed(Input::ProbeCompleted {
            pool: PoolId(0),
            server,
            outcome: ProbeOutcome::ProbingRefused,
        });
    }
    assert_eq!(probed_while_connecting(&mut harness, 10), []);
    harness.restart_server(0);
    assert_eq!(probed_while_connecting(&mut harness, 10), [ServerId(1)]);
}

/// A load report from before a server's restart does not apply to the new incarnation, which is cold. A
/// server that reports more load than its capacity gets no new connections.
#[test]
fn ignores_a_load_report_of_an_earlier_incarnation() {
    let placed_at_server = |restarts: bool| {
        let mut harness = probing_harness();
        probed_while_connecting(&mut harness, 10);
        if restarts {
            harness.restart_server(0);
        }
        harness.advance(Micros::from_secs(60));
        harness.feed(Input::ProbeCompleted {
            pool: PoolId(0),
            server: ServerId(1),
            outcome: load_report(3.0),
        });
        (0..10).filter(|_| harness.forward_request().1 == 0).count()
    };
    assert_eq!(placed_at_server(false), 0, "the server reported three times its capacity");
    assert!(placed_at_server(true) > 0, "the report came from the earlier incarnation");
}
