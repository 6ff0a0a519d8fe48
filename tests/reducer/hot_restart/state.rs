//! What the successor takes over, and what the predecessor does meanwhile.

use connection_balancer::routing::*;
use connection_balancer::Micros;

use super::{call, complete_transfer, export_state, metrics, start_successor, transferred, ADMIN_CLIENT};
use crate::reducer_harness::{connection_request, ReducerHarness, SERVERS};

#[test]
fn transfers_established_connections_with_all_that_is_known_of_them() {
    let mut old = ReducerHarness::new();
    let connections: Vec<ConnectionId> = (0..20).map(|_| old.establish_connection()).collect();
    old.feed(Input::LoadReported { connection: connections[0], load: 50_000.0 });
    old.feed(Input::LineForwarded { connection: connections[0] });
    let (mut new, established) = start_successor(&mut old);
    assert_eq!(established.len(), 20);
    assert_eq!(established[0].1.load, Some(50_000.0));
    let at_successor = complete_transfer(&mut new, &mut old, established);
    assert_eq!((metrics(&mut old).outstanding, metrics(&mut new).outstanding), (0, 20));
    // The silence of a server counts from the first unanswered line, and only one connection has sent one.
    new.advance(Micros(5_000_001));
    let effects = new.feed(Input::TimerFired);
    assert_eq!(
        effects.first(),
        Some(&Effect::Answer { connection: at_successor[0], answer: Answer::Migrated })
    );
    assert_eq!(effects.len(), 2, "{effects:?}");
    // They migrate with their servers' other clients.
    let effects: Vec<Effect> =
        (0..SERVERS.len()).flat_map(|server| new.update_endpoint(server, Lifecycle::Gone)).collect();
    assert_eq!(
        effects
            .iter()
            .filter(|effect| matches!(effect, Effect::Answer { answer: Answer::Migrated, .. }))
            .count(),
        19
    );
}

/// Clients that connected to the predecessor are placed there, and transferred once they are established.
#[test]
fn places_clients_of_the_predecessor_and_transfers_them_once_established() {
    let mut old = ReducerHarness::new();
    let (silent, (placing, _)) = (old.connect_client(), old.forward_request());
    let (mut new, established) = start_successor(&mut old);
    assert_eq!(established, []);
    old.feed(Input::ShutdownRequested);
    let effects = old.feed(Input::ConnectionRequested { connection: silent, request: connection_request() });
    assert!(matches!(effects[..], [Effect::OpenAttempt { .. }]), "rejected: {effects:?}");
    let up = old.feed(Input::AttemptAccepted { connection: placing, attempt: 0 });
    assert_eq!(complete_transfer(&mut new, &mut old, transferred(&up)).len(), 1);
    old.feed(Input::RequestForwarded { connection: silent, attempt: 0 });
    let up = old.feed(Input::AttemptAccepted { connection: silent, attempt: 0 });
    let last = transferred(&up);
    assert_eq!(last.len(), 1);
    assert_eq!(
        old.feed(Input::ConnectionTransferred { connection: last[0].0 }),
        [Effect::Exit],
        "with no connection left it may exit early"
    );
}

#[test]
fn imports_exclusions_learned_state_and_open_ids() {
    let mut old = ReducerHarness::new();
    let (connection, _) = old.forward_request();
    old.feed(Input::AttemptEnded { connection, attempt: 0, end: AttemptOutcome::Reset });
    call(&mut old, AdminCall::Exclude(SERVERS[3].to_owned()));
    call(&mut old, AdminCall::Exclude(SERVERS[4].to_owned()));
    call(&mut old, AdminCall::Readmit(SERVERS[4].to_owned()));
    let ejected = metrics(&mut old).ejected;
    let open = old.connect_client();
    old.feed(Input::ConnectionRequested {
        connection: open,
        request: ConnectionRequest { id: Some("a".to_owned()), ..connection_request() },
    });
    let mut new = ReducerHarness::new();
    new.now = old.now;
    let exported = export_state(&mut old);
    assert_eq!(exported.pools["platform"].readmitted.len(), 1);
    new.feed(Input::ImportState(exported.clone()));
    assert_eq!(metrics(&mut new).ejected, ejected);
    // It exports the same to the next.
    new.feed(Input::PeerProcessLost);
    let mut next = export_state(&mut new);
    let (pool, before) = (next.pools.get_mut("platform").expect("there"), &exported.pools["platform"]);
    pool.ids.clone_from(&before.ids);
    next.open_descriptors = exported.open_descriptors;
    assert_eq!(next, exported);
    // The id of a connection that is open at the predecessor is not free as long as that process may be there.
    let mut third = ReducerHarness::new();
    third.now = old.now;
    third.feed(Input::ImportState(exported));
    for (lost, answered) in [(false, true), (true, false)] {
        if lost {
            third.feed(Input::PeerProcessLost);
        }
        let connection = third.connect_client();
        let effects = third.feed(Input::ConnectionRequested {
            connection,
            request: ConnectionRequest { id: Some("a".to_owned()), ..connection_request() },
        });
        assert_eq!(effects == [Effect::Answer { connection, answer: Answer::Failed }], answered);
    }
}

/// Two processes that each fill a cold server as fast as it bears would overload it.
#[test]
fn leaves_cold_servers_to_the_successor() {
    let mut old = ReducerHarness::new();
    for _ in 0..20 {
        old.establish_connection();
    }
    call(&mut old, AdminCall::Exclude(SERVERS[2].to_owned()));
    call(&mut old, AdminCall::Readmit(SERVERS[2].to_owned()));
    let address = old.address(SERVERS[2]);
    start_successor(&mut old);
    for _ in 0..200 {
        old.advance(Micros::from_millis(20));
        let connection = old.connect_client();
        for effect in old.feed(Input::ConnectionRequested { connection, request: connection_request() }) {
            assert!(
                !matches!(&effect, Effect::OpenAttempt { address: opened, .. } if *opened == address),
                "{effect:?}"
            );
        }
    }
}

#[test]
fn replies_to_an_exclusion_once_the_peer_process_has_acknowledged_it() {
    let accepted = Effect::AdminReply { admin_client: ADMIN_CLIENT, reply: AdminResponse::Yes };
    let server = SERVERS[1].to_owned();
    let mut old = ReducerHarness::new();
    let (new, _) = start_successor(&mut old);
    for mut harness in [old, new] {
        let effects = call(&mut harness, AdminCall::Exclude(server.clone()));
        let share =
            Effect::ShareExclusion { admin_client: ADMIN_CLIENT, server: server.clone(), excluded: true };
        assert_eq!(effects.last(), Some(&share));
        assert_eq!(metrics(&mut harness).ejected, 1, "it takes effect here at once");
        assert_eq!(
            harness.feed(Input::ExclusionAcknowledged { admin_client: ADMIN_CLIENT }),
            vec![accepted.clone()]
        );
        assert_eq!(
            harness.feed(Input::ExclusionAcknowledged { admin_client: ADMIN_CLIENT }),
            [],
            "answered once"
        );
        // A peer process that hangs, or is gone, delays no reply.
        call(&mut harness, AdminCall::Readmit(server.clone()));
        harness.advance(Micros::from_millis(500));
        assert_eq!(harness.feed(Input::TimerFired), vec![accepted.clone()]);
        call(&mut harness, AdminCall::Exclude(server.clone()));
        assert!(harness.feed(Input::PeerProcessLost).contains(&accepted));
        assert_eq!(
            call(&mut harness, AdminCall::Readmit(server.clone())).last(),
            Some(&accepted),
            "it is alone again"
        );
    }
    let mut other = ReducerHarness::new();
    other.feed(Input::ExclusionShared { server: server.clone(), excluded: true });
    assert_eq!(metrics(&mut other).ejected, 1);
}

#[test]
fn accepts_again_when_its_successor_is_lost() {
    for served in [false, true] {
        let mut old = ReducerHarness::new();
        old.feed(Input::SuccessorStarted);
        if served {
            old.feed(Input::SuccessorReady);
            assert!(matches!(
                call(&mut old, AdminCall::Ready)[..],
                [Effect::AdminReply { reply: AdminResponse::No(_), .. }]
            ));
        }
        assert!(old.feed(Input::PeerProcessLost).contains(&Effect::SetAccepting { open: true }));
        let connection = old.connect_client();
        let effects = old.feed(Input::ConnectionRequested { connection, request: connection_request() });
        assert!(matches!(effects[..], [Effect::OpenAttempt { .. }]), "{effects:?}");
    }
}
