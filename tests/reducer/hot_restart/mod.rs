//! Hot restart: the reducers of a predecessor and a successor, and the messages between them.

mod endpoint_lease;
mod messages;
mod random_steps;
mod state;

use connection_balancer::protocol::hot_restart::{add_part, decode, encode, split_state, HandoverMessage};
use connection_balancer::routing::*;

use crate::reducer_harness::ReducerHarness;

const ADMIN_CALL: AdminCallId = AdminCallId(7);

fn call(harness: &mut ReducerHarness, call: AdminCall) -> Vec<Effect> {
    harness.feed(Input::AdminRequest { admin_call: ADMIN_CALL, call })
}

fn metrics(harness: &mut ReducerHarness) -> Metrics {
    match call(harness, AdminCall::Metrics).pop() {
        Some(Effect::AdminReply { reply: AdminResponse::Metrics(metrics), .. }) => metrics,
        other => panic!("last effect of a call for metrics is {other:?}"),
    }
}

/// Has a process export its state, and returns the state that the successor decodes from the messages.
fn export_state(predecessor: &mut ReducerHarness) -> Box<HandoverState> {
    let effects = predecessor.feed(Input::SuccessorStarted);
    let Some(Effect::ExportState(exported)) = effects.last() else {
        panic!("no state exported: {effects:?}")
    };
    assert!(effects.contains(&Effect::SetAccepting { open: false }), "predecessor still accepts connections");
    let mut received = HandoverState::default();
    for part in split_state((**exported).clone()) {
        let bytes = encode(&HandoverMessage::StatePart(part)).expect("a part fits a message");
        let Some(HandoverMessage::StatePart(part)) = decode(&bytes) else {
            panic!("cannot decode the encoded part {bytes:?}")
        };
        add_part(&mut received, part);
    }
    assert_eq!(received, **exported);
    Box::new(received)
}

/// Starts a successor that serves, and returns it with the effects at the predecessor.
fn start_successor_with_effects(predecessor: &mut ReducerHarness) -> (ReducerHarness, Vec<Effect>) {
    let mut successor = ReducerHarness::new();
    successor.now = predecessor.now;
    let exported = export_state(predecessor);
    successor.feed(Input::ImportState(exported));
    (successor, predecessor.feed(Input::SuccessorReady))
}

/// Starts a successor that serves, and returns it with the connections that the predecessor transfers.
fn start_successor(
    predecessor: &mut ReducerHarness,
) -> (ReducerHarness, Vec<(ConnectionId, TransferredConnection)>) {
    let (successor, effects) = start_successor_with_effects(predecessor);
    (successor, transferred(&effects))
}

/// Returns the connections that these effects transfer to the successor.
fn transferred(effects: &[Effect]) -> Vec<(ConnectionId, TransferredConnection)> {
    let transfer = |effect: &Effect| match effect {
        Effect::TransferConnection { connection, established, .. } => {
            Some((*connection, established.clone()))
        }
        _ => None,
    };
    effects.iter().filter_map(transfer).collect()
}

/// Completes the transfer of connections, and returns their ids at the successor.
fn complete_transfer(
    successor: &mut ReducerHarness,
    predecessor: &mut ReducerHarness,
    transferred: Vec<(ConnectionId, TransferredConnection)>,
) -> Vec<ConnectionId> {
    let transfer = |(index, (connection, established)): (usize, (ConnectionId, TransferredConnection))| {
        assert_eq!(
            predecessor.feed(Input::ConnectionTransferred { connection }),
            [],
            "unexpected effects of a completed transfer"
        );
        let connection = ConnectionId(1_000_000 + index as u64);
        successor.feed(Input::ConnectionReceived { connection, pool: PoolId(0), established });
        connection
    };
    transferred.into_iter().enumerate().map(transfer).collect()
}
