//! Hot restart: the reducers of predecessor and successor, and the messages between them.

mod messages;
mod random_steps;
mod state;

use connection_balancer::protocol::hot_restart::{add_part, decode, encode, split_state, HandoverMessage};
use connection_balancer::routing::*;

use crate::reducer_harness::ReducerHarness;

const ADMIN_CLIENT: AdminClientId = AdminClientId(7);

fn call(harness: &mut ReducerHarness, call: AdminCall) -> Vec<Effect> {
    harness.feed(Input::AdminRequest { admin_client: ADMIN_CLIENT, call })
}

fn metrics(harness: &mut ReducerHarness) -> Metrics {
    match call(harness, AdminCall::Metrics).pop() {
        Some(Effect::AdminReply { reply: AdminResponse::Metrics(metrics), .. }) => metrics,
        other => panic!("{other:?}"),
    }
}

/// The state that a process exports, as its successor reads it from the messages.
fn export_state(old: &mut ReducerHarness) -> Box<HandoverState> {
    let effects = old.feed(Input::SuccessorStarted);
    let Some(Effect::ExportState(exported)) = effects.last() else { panic!("{effects:?}") };
    assert!(effects.contains(&Effect::SetAccepting { open: false }), "it accepts no more");
    let mut received = HandoverState::default();
    for part in split_state((**exported).clone()) {
        let bytes = encode(&HandoverMessage::Part(part)).expect("fits");
        let Some(HandoverMessage::Part(part)) = decode(&bytes) else { panic!("{bytes:?}") };
        add_part(&mut received, part);
    }
    assert_eq!(received, **exported);
    Box::new(received)
}

/// A successor that serves, and the effects at its predecessor.
fn start_successor_with_effects(old: &mut ReducerHarness) -> (ReducerHarness, Vec<Effect>) {
    let mut new = ReducerHarness::new();
    new.now = old.now;
    let exported = export_state(old);
    new.feed(Input::ImportState(exported));
    (new, old.feed(Input::SuccessorReady))
}

/// A successor that serves, and the connections that are transferred to it.
fn start_successor(old: &mut ReducerHarness) -> (ReducerHarness, Vec<(ConnectionId, EstablishedConnection)>) {
    let (new, effects) = start_successor_with_effects(old);
    (new, transferred(&effects))
}

fn transferred(effects: &[Effect]) -> Vec<(ConnectionId, EstablishedConnection)> {
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
    new: &mut ReducerHarness,
    old: &mut ReducerHarness,
    transferred: Vec<(ConnectionId, EstablishedConnection)>,
) -> Vec<ConnectionId> {
    let transfer = |(n, (connection, established)): (usize, (ConnectionId, EstablishedConnection))| {
        assert_eq!(old.feed(Input::ConnectionTransferred { connection }), [], "nothing of it ended");
        let connection = ConnectionId(1_000_000 + n as u64);
        new.feed(Input::ConnectionReceived { connection, pool: 0, established });
        connection
    };
    transferred.into_iter().enumerate().map(transfer).collect()
}
