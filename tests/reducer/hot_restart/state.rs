//! State and connections that the successor takes over, and the behaviour of the predecessor meanwhile.

use connection_balancer::routing::*;
use connection_balancer::Micros;

use super::{call, complete_transfer, export_state, metrics, start_successor, transferred, ADMIN_CALL};
use crate::reducer_harness::{connection_request, ReducerHarness, SERVERS};

#[test]
fn transfers_established_connections_with_their_load_and_silence() {
    let mut predecessor = ReducerHarness::new();
    let connections: Vec<ConnectionId> = (0..20).map(|_| predecessor.establish_connection()).collect();
    predecessor.feed(Input::LoadReported { connection: connections[0], value: 50_000.0 });
    predecessor.feed(Input::LineForwarded { connection: connections[0] });
    let (mut successor, established) = start_successor(&mut predecessor);
    assert_eq!(established.len(), 20);
    assert_eq!(established[0].1.reported_load, Some(50_000.0));
    let at_successor = complete_transfer(&mut successor, &mut predecessor, established);
    assert_eq!((metrics(&mut predecessor).outstanding, metrics(&mut successor).outstanding), (0, 20));
    // A server counts as silent from the first unanswered line, and only one connection has sent a line.
    successor.advance(Micros(5_000_001));
    let effects = successor.feed(Input::TimerFired);
    assert_eq!(
        effects.first(),
        Some(&Effect::Answer { connection: at_successor[0], answer: Answer::Migrated })
    );
    assert_eq!(effects.len(), 2, "{effects:?}");
    // The other 19 connections are migrated when their servers are no longer listed.
    let effects: Vec<Effect> =
        (0..SERVERS.len()).flat_map(|server| successor.update_endpoint(server, Lifecycle::Gone)).collect();
    assert_eq!(
        effects
            .iter()
            .filter(|effect| matches!(effect, Effect::Answer { answer: Answer::Migrated, .. }))
            .count(),
        19
    );
}

/// A predecessor still places clients that connected to it, even during a shutdown, and transfers them once
/// they are established.
#[test]
fn places_clients_of_the_predecessor_and_transfers_them_once_established() {
    let mut predecessor = ReducerHarness::new();
    let (handshaking, (connecting, _)) = (predecessor.connect_client(), predecessor.forward_request());
    let (mut successor, established) = start_successor(&mut predecessor);
    assert_eq!(established, []);
    predecessor.feed(Input::ShutdownRequested);
    let effects = predecessor
        .feed(Input::ConnectionRequested { connection: handshaking, request: connection_request() });
    assert!(matches!(effects[..], [Effect::OpenAttempt { .. }]), "request not placed: {effects:?}");
    let effects = predecessor.feed(Input::AttemptAccepted { connection: connecting, attempt: 0 });
    assert_eq!(complete_transfer(&mut successor, &mut predecessor, transferred(&effects)).len(), 1);
    predecessor.feed(Input::RequestForwarded { connection: handshaking, attempt: 0 });
    let effects = predecessor.feed(Input::AttemptAccepted { connection: handshaking, attempt: 0 });
    let last_transfer = transferred(&effects);
    assert_eq!(last_transfer.len(), 1);
    assert_eq!(
        predecessor.feed(Input::ConnectionTransferred { connection: last_transfer[0].0 }),
        [Effect::Exit],
        "no exit after the last connection was transferred"
    );
}

#[test]
fn imports_exclusions_learned_state_and_open_ids() {
    let mut predecessor = ReducerHarness::new();
    let (connection, _) = predecessor.forward_request();
    predecessor.feed(Input::AttemptEnded { connection, attempt: 0, outcome: AttemptOutcome::Reset });
    call(&mut predecessor, AdminCall::Exclude(SERVERS[3].to_owned()));
    call(&mut predecessor, AdminCall::Exclude(SERVERS[4].to_owned()));
    call(&mut predecessor, AdminCall::Readmit(SERVERS[4].to_owned()));
    let ejected = metrics(&mut predecessor).ejected;
    let connection = predecessor.connect_client();
    predecessor.feed(Input::ConnectionRequested {
        connection,
        request: ConnectionRequest { id: Some("a".to_owned()), ..connection_request() },
    });
    let mut successor = ReducerHarness::new();
    successor.now = predecessor.now;
    let exported = export_state(&mut predecessor);
    assert_eq!(exported.pools["platform"].readmitted.len(), 1);
    successor.feed(Input::ImportState(exported.clone()));
    assert_eq!(metrics(&mut successor).ejected, ejected);
    // The successor exports the same state to its own successor, except for request ids and descriptors.
    successor.feed(Input::PeerProcessLost);
    let mut exported_again = export_state(&mut successor);
    let pool = exported_again.pools.get_mut("platform").expect("the pool is exported");
    pool.request_ids.clone_from(&exported.pools["platform"].request_ids);
    exported_again.pending_descriptors = exported.pending_descriptors;
    assert_eq!(exported_again, exported);
    // The id of a connection that is open at the predecessor is in use until the predecessor is lost.
    let mut second_successor = ReducerHarness::new();
    second_successor.now = predecessor.now;
    second_successor.feed(Input::ImportState(exported));
    for (predecessor_is_lost, id_is_rejected) in [(false, true), (true, false)] {
        if predecessor_is_lost {
            second_successor.feed(Input::PeerProcessLost);
        }
        let connection = second_successor.connect_client();
        let effects = second_successor.feed(Input::ConnectionRequested {
            connection,
            request: ConnectionRequest { id: Some("a".to_owned()), ..connection_request() },
        });
        assert_eq!(effects == [Effect::Answer { connection, answer: Answer::Failed }], id_is_rejected);
    }
}

/// If both processes filled a cold server at the full rate of its slow start, they would overload it.
#[test]
fn leaves_cold_servers_to_the_successor() {
    let mut predecessor = ReducerHarness::new();
    for _ in 0..20 {
        predecessor.establish_connection();
    }
    call(&mut predecessor, AdminCall::Exclude(SERVERS[2].to_owned()));
    call(&mut predecessor, AdminCall::Readmit(SERVERS[2].to_owned()));
    let address = predecessor.address(SERVERS[2]);
    start_successor(&mut predecessor);
    for _ in 0..200 {
        predecessor.advance(Micros::from_millis(20));
        let connection = predecessor.connect_client();
        for effect in
            predecessor.feed(Input::ConnectionRequested { connection, request: connection_request() })
        {
            assert!(
                !matches!(&effect, Effect::OpenAttempt { address: opened, .. } if *opened == address),
                "{effect:?}"
            );
        }
    }
}

#[test]
fn replies_to_an_exclusion_once_the_peer_process_has_acknowledged_it() {
    let reply_yes = Effect::AdminReply { admin_call: ADMIN_CALL, reply: AdminResponse::Yes };
    let server = SERVERS[1].to_owned();
    let mut predecessor = ReducerHarness::new();
    let (successor, _) = start_successor(&mut predecessor);
    for mut harness in [predecessor, successor] {
        let effects = call(&mut harness, AdminCall::Exclude(server.clone()));
        let share_exclusion =
            Effect::ShareExclusion { admin_call: ADMIN_CALL, server: server.clone(), excluded: true };
        assert_eq!(effects.last(), Some(&share_exclusion));
        assert_eq!(metrics(&mut harness).ejected, 1, "exclusion not in effect before the acknowledgement");
        assert_eq!(
            harness.feed(Input::ExclusionAcknowledged { admin_call: ADMIN_CALL }),
            vec![reply_yes.clone()]
        );
        assert_eq!(
            harness.feed(Input::ExclusionAcknowledged { admin_call: ADMIN_CALL }),
            [],
            "second reply to one call"
        );
        // A peer process that hangs delays a reply by at most 500 ms, and the end of the peer process ends
        // the wait.
        call(&mut harness, AdminCall::Readmit(server.clone()));
        harness.advance(Micros::from_millis(500));
        assert_eq!(harness.feed(Input::TimerFired), vec![reply_yes.clone()]);
        call(&mut harness, AdminCall::Exclude(server.clone()));
        assert!(harness.feed(Input::PeerProcessLost).contains(&reply_yes));
        assert_eq!(
            call(&mut harness, AdminCall::Readmit(server.clone())).last(),
            Some(&reply_yes),
            "reply delayed without a peer process"
        );
    }
    let mut peer_process = ReducerHarness::new();
    peer_process.feed(Input::ExclusionShared { server: server.clone(), excluded: true });
    assert_eq!(metrics(&mut peer_process).ejected, 1);
}

#[test]
fn accepts_again_when_its_successor_is_lost() {
    for successor_serves in [false, true] {
        let mut predecessor = ReducerHarness::new();
        predecessor.feed(Input::SuccessorStarted);
        if successor_serves {
            predecessor.feed(Input::SuccessorReady);
            assert!(matches!(
                call(&mut predecessor, AdminCall::Readiness)[..],
                [Effect::AdminReply { reply: AdminResponse::No(_), .. }]
            ));
        }
        assert!(predecessor.feed(Input::PeerProcessLost).contains(&Effect::SetAccepting { open: true }));
        let connection = predecessor.connect_client();
        let effects =
            predecessor.feed(Input::ConnectionRequested { connection, request: connection_request() });
        assert!(matches!(effects[..], [Effect::OpenAttempt { .. }]), "{effects:?}");
    }
}
