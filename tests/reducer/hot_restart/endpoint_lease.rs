//! The lease on the endpoint list that a successor continues.

use connection_balancer::routing::*;
use connection_balancer::{EndpointLeaseState, ListContinuity, Micros, RefusalReason, WatchFailure};

use super::export_state;
use crate::reducer_harness::{connection_request, pool_config, ReducerHarness, RESOURCE_LIMITS};

/// Returns a reducer that does not listen yet, and whose pool watches its list at discovery.
fn with_discovery() -> ReducerHarness {
    let mut harness = ReducerHarness::without_endpoints(RESOURCE_LIMITS);
    let discovery = Some("127.0.0.1:9".parse().expect("an address"));
    let pools = vec![PoolConfig { discovery, ..pool_config() }];
    harness.state = State::new(pools, ReplicationConfig::default(), RESOURCE_LIMITS, harness.now);
    harness
}

/// Returns a predecessor whose list discovery has just sent.
fn predecessor() -> ReducerHarness {
    let mut predecessor = with_discovery();
    let endpoints = predecessor.endpoints();
    predecessor.feed(Input::EndpointsUpdated { pool: PoolId(0), is_snapshot: true, endpoints });
    predecessor.feed(Input::Listening);
    predecessor
}

fn successor_of(predecessor: &ReducerHarness, state: Box<HandoverState>) -> ReducerHarness {
    let mut successor = with_discovery();
    successor.now = predecessor.now;
    successor.feed(Input::ImportState(state));
    successor.feed(Input::Listening);
    successor
}

fn fail_call(harness: &mut ReducerHarness, failure: WatchFailure) {
    let polled_ago = Micros::ZERO;
    harness.feed(Input::EndpointWatchLost { pool: PoolId(0), failure, polled_ago });
}

/// Returns whether a new request is refused because the list has expired.
fn is_list_expired(harness: &mut ReducerHarness) -> bool {
    let connection = harness.connect_client();
    let effects = harness.feed(Input::ConnectionRequested { connection, request: connection_request() });
    let refused = LogEvent::RequestRefused { connection, reason: RefusalReason::EndpointListExpired };
    effects.contains(&Effect::Log(refused))
}

/// Guards against a successor that forgets the age of the list, or that changes may be missing from it.
#[test]
fn a_successor_continues_the_lease_and_its_evidence() {
    let mut predecessor = predecessor();
    predecessor.advance(Micros::from_secs(5));
    fail_call(&mut predecessor, WatchFailure::Rejected);
    let state = export_state(&mut predecessor);
    assert_eq!(
        state.pools["platform"].endpoint_lease,
        Some(EndpointLeaseState {
            expires_at: predecessor.now.plus(Micros::from_secs(1)),
            continuity: ListContinuity::Interrupted
        })
    );

    let mut successor = successor_of(&predecessor, state);
    fail_call(&mut successor, WatchFailure::Unreachable);
    successor.advance(Micros::from_millis(900));
    assert!(!is_list_expired(&mut successor));
    successor.advance(Micros::from_millis(100));
    assert!(is_list_expired(&mut successor), "an outage must not extend the lease after missed changes");
}

/// Guards against a list that is used for over 2 s by a successor, also of a process of an earlier version,
/// which does not hand over the lease.
#[test]
fn a_successor_uses_the_list_for_two_seconds_without_an_answer_or_an_outage() {
    for hands_over_lease in [true, false] {
        let mut predecessor = predecessor();
        let mut state = export_state(&mut predecessor);
        if !hands_over_lease {
            state.pools.get_mut("platform").expect("the pool is exported").endpoint_lease = None;
        }
        for failure in [None, Some(WatchFailure::Unreachable)] {
            let mut successor = successor_of(&predecessor, state.clone());
            successor.advance(Micros::from_millis(1_900));
            assert!(!is_list_expired(&mut successor));
            failure.into_iter().for_each(|failure| fail_call(&mut successor, failure));
            successor.advance(Micros::from_millis(100));
            assert_eq!(is_list_expired(&mut successor), failure.is_none(), "{hands_over_lease} {failure:?}");
        }
    }
}
