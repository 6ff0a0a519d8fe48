//! Catch-up of a replica that starts: when the process is ready, and which writes are repeated.

use std::net::SocketAddr;

use connection_balancer::routing::store::{Digest, Entry, ReplicaMessage, ReplicatedMap};
use connection_balancer::routing::*;
use connection_balancer::Micros;

use crate::reducer_harness::{pool_config, ReducerHarness, RESOURCE_LIMITS};

const ADMIN_CALL: AdminCallId = AdminCallId(3);
const KEY: &str = "limit/connections";

fn replicas() -> [SocketAddr; 2] {
    [2, 3].map(|host| SocketAddr::from(([127, 0, 0, host], 7946)))
}

/// Returns a reducer that listens, has its endpoints, and has two other replicas that it has not heard.
fn start() -> ReducerHarness {
    let mut harness = ReducerHarness::without_endpoints(RESOURCE_LIMITS);
    let replication = ReplicationConfig { node: "n1".to_owned(), other_replicas: replicas().to_vec() };
    harness.state = State::new(vec![pool_config()], replication, RESOURCE_LIMITS, harness.now);
    let endpoints = harness.endpoints();
    harness.feed(Input::EndpointsUpdated { pool: PoolId(0), is_snapshot: true, endpoints });
    harness.feed(Input::Listening);
    harness
}

fn is_ready(harness: &mut ReducerHarness) -> bool {
    harness.feed(Input::TimerFired);
    let effects = harness.feed(Input::AdminRequest { admin_call: ADMIN_CALL, call: AdminCall::Readiness });
    let reply = |reply| Effect::AdminReply { admin_call: ADMIN_CALL, reply };
    let no = AdminResponse::No(AdminRejection::CatchingUp);
    assert!(effects == [reply(AdminResponse::Yes)] || effects == [reply(no)], "{effects:?}");
    effects == [reply(AdminResponse::Yes)]
}

fn receive_digest(harness: &mut ReducerHarness, from: SocketAddr, digest: Digest) -> Vec<Effect> {
    let message = ReplicaMessage::Digest { digest_requested: false, digest };
    harness.feed(Input::ReplicaMessage { from, message })
}

fn receive_entry(harness: &mut ReducerHarness, from: SocketAddr, counter: u64, value: &str) {
    let entry = Entry { counter, node: "n9".to_owned(), value: Some(value.to_owned()) };
    let message = ReplicaMessage::Entry { key: KEY.to_owned(), entry };
    harness.feed(Input::ReplicaMessage { from, message });
}

fn write(harness: &mut ReducerHarness, value: &str) {
    let message = ReplicaMessage::Write { key: KEY.to_owned(), value: Some(value.to_owned()) };
    let from = SocketAddr::from(([127, 0, 0, 1], 40_000));
    harness.feed(Input::ReplicaMessage { from, message });
}

fn value(harness: &ReducerHarness) -> Option<&str> {
    harness.state.replicated_map().get(KEY)
}

fn local_digest(harness: &ReducerHarness) -> Digest {
    harness.state.replicated_map().digest()
}

/// Returns a digest that differs from those of the other tests' maps.
fn other_digest() -> Digest {
    let mut map = ReplicatedMap::new("n9");
    map.write("note/other", Some("value")).expect("the entry fits");
    map.digest()
}

/// A process must be ready as soon as it has the entries of all replicas, and must not wait for silent ones
/// for longer than the timeout.
#[test]
fn is_ready_when_all_digests_are_equal_or_a_replica_is_silent() {
    let mut harness = start();
    assert!(!is_ready(&mut harness));
    let digest = local_digest(&harness);
    receive_digest(&mut harness, replicas()[0], digest);
    assert!(!is_ready(&mut harness), "one replica of two is not heard");
    receive_digest(&mut harness, replicas()[1], digest);
    assert!(is_ready(&mut harness));

    let mut harness = start();
    harness.advance(Micros::from_millis(999));
    assert!(!is_ready(&mut harness));
    harness.advance(Micros::from_millis(1));
    assert!(is_ready(&mut harness), "all replicas are silent");
    receive_digest(&mut harness, replicas()[0], other_digest());
    assert!(is_ready(&mut harness), "a process that is ready stays ready");
}

/// A replica whose map cannot become equal must not keep the process from getting ready forever, and a
/// difference must be answered by a request at once.
#[test]
fn requests_entries_until_the_exchange_times_out() {
    let mut harness = start();
    let digest = local_digest(&harness);
    receive_digest(&mut harness, replicas()[1], digest);

    let effects = receive_digest(&mut harness, replicas()[0], other_digest());
    let requests_digest = |effect: &Effect| {
        matches!(effect, Effect::SendReplicaMessage(sent) if sent.to == replicas()[0]
            && matches!(sent.message, ReplicaMessage::Digest { digest_requested: true, .. }))
    };
    assert!(effects.iter().any(requests_digest), "{effects:?}");
    // The request or its answer may be lost.
    harness.advance(Micros::from_millis(100));
    let effects = harness.feed(Input::TimerFired);
    assert!(effects.iter().any(requests_digest), "{effects:?}");
    harness.advance(Micros::from_millis(2_899));
    assert!(!is_ready(&mut harness));
    harness.advance(Micros::from_millis(1));
    assert!(is_ready(&mut harness));
}

/// An older entry must not replace a write of a replica that has not caught up. A later entry must, also if
/// another replica is still silent.
#[test]
fn repeats_a_write_over_older_entries_only() {
    let mut harness = start();
    write(&mut harness, "500");
    receive_digest(&mut harness, replicas()[0], other_digest());
    receive_entry(&mut harness, replicas()[0], 90, "100");
    assert_eq!(value(&harness), Some("500"), "the entry is older than the write");

    write(&mut harness, "600");
    let digest = local_digest(&harness);
    receive_digest(&mut harness, replicas()[0], digest);
    receive_entry(&mut harness, replicas()[0], 95, "700");
    assert_eq!(value(&harness), Some("700"), "the sender had the write");
}
