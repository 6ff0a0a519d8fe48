//! The reducer, without wires or clocks.

mod reducer_harness;

use connection_balancer::peers::{GossipMessage, Observation};
use connection_balancer::routing::*;
use connection_balancer::{Class, Idempotency, LoadReport, ServerId};
use reducer_harness::{connection_request, ReducerHarness, SERVERS, WAIT};

/// Seen on the bench: servers tell a message's time by the same word as a load. Taken for a load it made the
/// slowest server look empty (a calm day kept 0.68 of the simulator's result, 0.99 since).
#[test]
fn a_small_figure_is_a_message_time_and_no_load() {
    let mut harness = ReducerHarness::new();
    let connections: Vec<ConnectionId> = (0..12).map(|_| harness.established()).collect();
    for &connection in &connections {
        harness.feed(Input::LoadReported { connection, load: 60_000.0 });
    }
    // Aim 100 ms: messages of 99 ms are far too slow, and a connection of this server has to leave.
    let mut moved = 0;
    for second in 0..20 {
        harness.advance(1_000_000);
        let effects =
            harness.feed(Input::LoadReported { connection: connections[0], load: 99.0 + f64::from(second) });
        moved +=
            effects.iter().filter(|e| matches!(e, Effect::Answer { answer: Answer::Migrated, .. })).count();
    }
    assert!(moved > 0, "no connection left a host that is slow");
}

/// Seen on the second site, whose servers tell no loads: messages that took 99 ms were taken for loads, and nobody
/// left the server.
#[test]
fn where_no_loads_are_told_every_figure_is_a_message_time() {
    let moved = |tells_load: bool| {
        let mut harness = ReducerHarness::new();
        let setup = PoolConfig { tells_load, ..reducer_harness::setup() };
        harness.feed(Input::ConfigurationChanged {
            pools: vec![setup],
            peers: Vec::new(),
            budget: reducer_harness::BUDGET,
        });
        let connections: Vec<ConnectionId> = (0..12).map(|_| harness.established()).collect();
        let mut moved = 0;
        for second in 0..20 {
            harness.advance(1_000_000);
            let effects = harness
                .feed(Input::LoadReported { connection: connections[0], load: 99.0 + f64::from(second) });
            moved += effects
                .iter()
                .filter(|e| matches!(e, Effect::Answer { answer: Answer::Migrated, .. }))
                .count();
        }
        moved
    };
    assert!(moved(false) > 0, "no connection left a host that is slow");
    assert_eq!(moved(true), 0, "a load is no message time");
}

/// A desk whose servers may be probed, and the probes among effects.
fn probing() -> ReducerHarness {
    let mut harness = ReducerHarness::new();
    let mut setup = reducer_harness::setup();
    (setup.settings.probes, setup.settings.probe_reports, setup.reports) = (true, true, vec!["x0"]);
    harness.feed(Input::ConfigurationChanged {
        pools: vec![setup],
        peers: Vec::new(),
        budget: reducer_harness::BUDGET,
    });
    harness
}

fn probed(effects: &[Effect]) -> Vec<ServerId> {
    let server =
        |effect: &Effect| if let Effect::ProbeServer { server, .. } = effect { Some(*server) } else { None };
    effects.iter().filter_map(server).collect()
}

fn report(utilisation: f64) -> ProbeEnd {
    ProbeEnd::Answered(Some(LoadReport { utilisation, connections: None }))
}

/// Has this many connections come to stand, each with a minute after it, and tells which servers were probed.
fn probed_by(harness: &mut ReducerHarness, connections: usize) -> Vec<ServerId> {
    let mut servers = Vec::new();
    for _ in 0..connections {
        let (connection, _) = harness.forward_request();
        servers.extend(probed(&harness.feed(Input::AttemptAccepted { connection, attempt: 0 })));
        harness.advance(60_000_000);
    }
    servers
}

/// Danger: a server that does not answer has enough to do, and one that leaves may be sent nothing new.
#[test]
fn a_host_is_probed_once_at_a_time_and_not_when_it_leaves() {
    let mut harness = probing();
    let mut first = probed_by(&mut harness, 30);
    first.sort();
    assert_eq!(first, [1, 2, 3, 4, 5].map(ServerId), "each once, as none has answered");
    harness.feed(Input::ProbeCompleted { pool: 0, server: ServerId(2), end: ProbeEnd::Nothing });
    harness.feed(Input::ProbeCompleted { pool: 0, server: ServerId(3), end: ProbeEnd::Nothing });
    harness.drain(1);
    let again = probed_by(&mut harness, 10);
    assert!(again.contains(&ServerId(3)) && again.iter().all(|server| *server == ServerId(3)), "{again:?}");
}

/// A server that does not want to be probed is left alone until it has started again.
#[test]
fn a_host_that_says_no_to_probes_is_not_asked_again() {
    let mut harness = probing();
    for server in probed_by(&mut harness, 10) {
        harness.feed(Input::ProbeCompleted { pool: 0, server, end: ProbeEnd::Unwanted });
    }
    assert_eq!(probed_by(&mut harness, 10), []);
    harness.restarted(0);
    assert_eq!(probed_by(&mut harness, 10), [ServerId(1)]);
}

/// Danger: a server that has started again is cold, and what it told before would make it look idle; and one that is
/// told to be too full is not sent more.
#[test]
fn a_report_counts_for_the_process_that_gave_it() {
    let full = |restarts: bool| {
        let mut harness = probing();
        probed_by(&mut harness, 10);
        if restarts {
            harness.restarted(0);
        }
        harness.advance(60_000_000);
        harness.feed(Input::ProbeCompleted { pool: 0, server: ServerId(1), end: report(3.0) });
        (0..10).filter(|_| harness.forward_request().1 == 0).count()
    };
    assert_eq!(full(false), 0, "it is asked three times what it can do");
    assert!(full(true) > 0, "that was the process before");
}

/// Danger: an attempt that waits for its connection must not write to a server told to be draining meanwhile.
#[test]
fn an_unwritten_leg_is_closed_when_its_host_drains_and_goes_elsewhere() {
    let mut harness = ReducerHarness::new();
    let connection = harness.connect_client();
    let effects = harness.feed(Input::ConnectionRequested { connection, request: connection_request() });
    let Some(Effect::OpenAttempt { address, .. }) = effects.first() else { panic!("no leg: {effects:?}") };
    let server = SERVERS.iter().position(|h| harness.address(h) == *address).expect("a listed host");
    let effects = harness.drain(server);
    assert!(matches!(effects[0], Effect::CloseAttempt { .. }), "{effects:?}");
    let Effect::OpenAttempt { address: next, attempt: 1, .. } = &effects[1] else { panic!("{effects:?}") };
    assert_ne!(next, address);
}

/// A written attempt stays: the server may have it already, and never are two out at once.
#[test]
fn a_written_leg_stays_when_its_host_drains() {
    let mut harness = ReducerHarness::new();
    let (connection, server) = harness.forward_request();
    assert_eq!(harness.drain(server), []);
    assert_eq!(harness.feed(Input::AttemptAccepted { connection, attempt: 0 }), []);
}

/// Seen on the bench (`split+mass`, seed 1) with an early form of the words of slow set-ups: told before the module knew
/// that the connection stands, they let it find the request overdue, and refuse what its server had accepted.
#[test]
fn what_stands_at_the_last_moment_is_served() {
    let mut harness = ReducerHarness::new();
    let (connection, _) = harness.forward_request();
    harness.advance(WAIT);
    assert_eq!(harness.feed(Input::AttemptAccepted { connection, attempt: 0 }), []);
    assert_eq!(harness.feed(Input::TimerFired), []);
}

/// A server that drops what stood is told of once, one that was about to leave is not; and who hears of it has half of its
/// free room there.
#[test]
fn a_drop_is_told_to_the_tier_and_heeded() {
    let words = |effects: &[Effect]| -> Vec<GossipMessage> {
        let message = |effect: &Effect| {
            if let Effect::BroadcastGossip(message) = effect {
                Some(*message)
            } else {
                None
            }
        };
        effects.iter().filter_map(message).collect()
    };
    let fleet = || {
        let mut harness = ReducerHarness::new();
        let mut setup = reducer_harness::setup();
        (setup.settings.balancers, setup.peers) = (300, Some(0.0));
        harness.feed(Input::ConfigurationChanged {
            pools: vec![setup],
            peers: Vec::new(),
            budget: reducer_harness::BUDGET,
        });
        harness
    };
    let (mut teller, mut hearer) = (fleet(), fleet());
    let (connection, server) = teller.forward_request();
    teller.feed(Input::AttemptAccepted { connection, attempt: 0 });
    let told =
        words(&teller.feed(Input::AttemptEnded { connection, attempt: 0, end: AttemptOutcome::Reset }));
    let [message] = told[..] else { panic!("{told:?}") };
    assert_eq!(message.observation, Observation::Dropped(server_id(SERVERS[server])));
    hearer.feed(Input::GossipReceived { pool: 0, message });
    // Each of the five has four slots at first, that one half of them now.
    let there = (0..18).filter(|_| hearer.forward_request().1 == server).count();
    assert_eq!(there, 2, "of 18 after a word of {server}");
    let (connection, server) = hearer.forward_request();
    hearer.feed(Input::AttemptAccepted { connection, attempt: 0 });
    hearer.drain(server);
    assert_eq!(
        words(&hearer.feed(Input::AttemptEnded { connection, attempt: 0, end: AttemptOutcome::Reset })),
        [],
        "it leaves"
    );
}

/// Danger: late words of an ended attempt must not be taken for the next one's.
#[test]
fn words_of_an_ended_leg_change_nothing() {
    let mut harness = ReducerHarness::new();
    let (connection, _) = harness.forward_request();
    let effects = harness.feed(Input::AttemptEnded { connection, attempt: 0, end: AttemptOutcome::Rejected });
    assert!(matches!(effects[..], [Effect::OpenAttempt { attempt: 1, .. }]), "{effects:?}");
    assert_eq!(harness.feed(Input::AttemptEnded { connection, attempt: 0, end: AttemptOutcome::Reset }), []);
    assert_eq!(harness.feed(Input::AttemptAccepted { connection, attempt: 0 }), []);
    assert_eq!(harness.feed(Input::AttemptAccepted { connection, attempt: 1 }), []);
}

/// Danger: a server that vanished says nothing; a connection is lost after 7 s of that.
#[test]
fn a_silent_host_has_its_clients_moved_but_an_idle_one_has_not() {
    let mut harness = ReducerHarness::new();
    let (idle, waiting) = (harness.established(), harness.established());
    harness.feed(Input::LineForwarded { connection: waiting });
    harness.advance(5_000_001);
    let effects = harness.feed(Input::TimerFired);
    let moved = Effect::Answer { connection: waiting, answer: Answer::Migrated };
    assert!(effects.contains(&moved), "{effects:?}");
    assert!(!effects.contains(&Effect::Answer { connection: idle, answer: Answer::Migrated }), "{effects:?}");
}

/// At SIGTERM everyone is moved, what still arrives is answered at once, and then the balancer may go.
#[test]
fn a_balancer_that_leaves_moves_everyone_and_answers_what_arrives() {
    let mut harness = ReducerHarness::new();
    let standing = harness.established();
    harness.feed(Input::ShutdownRequested);
    let late = harness.connect_client();
    let effects =
        harness.feed(Input::ConnectionRequested { connection: late, request: connection_request() });
    assert!(matches!(effects[..], [Effect::Answer { answer: Answer::Rejected(1..), .. }]), "{effects:?}");
    harness.advance(3_400_000);
    let effects = harness.feed(Input::TimerFired);
    assert!(
        effects.contains(&Effect::Answer { connection: standing, answer: Answer::Migrated }),
        "{effects:?}"
    );
    assert_eq!(effects.last(), Some(&Effect::Exit));
}

/// SIGKILL comes 3.7 s after SIGTERM, where the longest wait is 3 s or more. Until then a client is served
/// here as well as anywhere, and better than by a balancer that has only just started.
#[test]
fn a_balancer_that_leaves_uses_its_time_and_no_more() {
    let mut harness = ReducerHarness::new();
    for _ in 0..30 {
        harness.established();
    }
    harness.feed(Input::ShutdownRequested);
    let (mut moved, mut late, mut exit) = (0, 0, None);
    for tenth in 1..=37 {
        harness.advance(100_000);
        for effect in harness.feed(Input::TimerFired) {
            let moves = matches!(effect, Effect::Answer { answer: Answer::Migrated, .. });
            moved += usize::from(moves);
            late += usize::from(moves && tenth > 15);
            exit = exit.or((effect == Effect::Exit).then_some(tenth));
        }
    }
    assert_eq!(moved, 30);
    assert!((10..20).contains(&late), "{late} of 30 in the second half");
    assert!(exit.is_some_and(|tenth| (30..35).contains(&tenth)), "{exit:?}");
}

/// Danger: the front goes on sending for 0.4 s; what comes then must still find somebody.
#[test]
fn a_balancer_that_holds_nothing_still_stays_a_while_when_it_leaves() {
    let mut harness = ReducerHarness::new();
    assert!(!harness.feed(Input::ShutdownRequested).contains(&Effect::Exit));
    harness.advance(400_000);
    assert!(!harness.feed(Input::TimerFired).contains(&Effect::Exit));
    harness.advance(600_000);
    assert_eq!(harness.feed(Input::TimerFired).last(), Some(&Effect::Exit));
}

/// A connection that its server has ended must be moved within a second: what is gone answers nobody.
#[test]
fn clients_of_a_host_that_is_gone_are_moved_at_once() {
    let mut harness = ReducerHarness::new();
    let (connection, server) = harness.forward_request();
    harness.feed(Input::AttemptAccepted { connection, attempt: 0 });
    let effects = harness.list(server, Lifecycle::Gone);
    let moved = Effect::Answer { connection, answer: Answer::Migrated };
    assert_eq!(effects, [moved, Effect::CloseAttempt { connection }]);
}

/// A connection that stood before the start is tried again while its server does not take it.
#[test]
fn a_standing_connection_is_tried_again_at_its_own_server() {
    let mut harness = ReducerHarness::new();
    let connection = harness.connect_client();
    let at = ConnectionRequest { established_at: Some(SERVERS[1].to_owned()), ..connection_request() };
    let effects = harness.feed(Input::ConnectionRequested { connection, request: at });
    let Effect::OpenAttempt { address, attempt: 0, .. } = &effects[0] else { panic!("{effects:?}") };
    assert_eq!(*address, harness.address(SERVERS[1]));
    harness.feed(Input::AttemptEnded { connection, attempt: 0, end: AttemptOutcome::ConnectFailed });
    harness.advance(600_000);
    let effects = harness.feed(Input::TimerFired);
    assert!(
        matches!(&effects[..], [Effect::OpenAttempt { address: again, attempt: 1, .. }] if again == address),
        "{effects:?}"
    );
    assert_eq!(harness.feed(Input::AttemptAccepted { connection, attempt: 1 }), []);
}

/// Danger: "at" may name a server that there never was. It was tried six times, at no address, before the error.
#[test]
fn one_that_stood_at_no_listed_host_has_its_error_within_three_seconds() {
    let mut harness = ReducerHarness::new();
    let connection = harness.connect_client();
    let at = ConnectionRequest { established_at: Some("s-0000dead".to_owned()), ..connection_request() };
    let mut effects = harness.feed(Input::ConnectionRequested { connection, request: at });
    for _ in 0..28 {
        harness.advance(100_000);
        effects.extend(harness.feed(Input::TimerFired));
    }
    assert_eq!(effects.first(), Some(&Effect::Answer { connection, answer: Answer::Failed }));
}

/// A request that the module gives up on is answered at once, with when to come back.
#[test]
fn a_refusal_comes_at_once_and_says_when_to_come_back() {
    let mut harness = ReducerHarness::new();
    for server in 0..SERVERS.len() {
        harness.drain(server);
    }
    let connection = harness.connect_client();
    let effects = harness.feed(Input::ConnectionRequested { connection, request: connection_request() });
    assert!(matches!(effects[..], [Effect::Answer { answer: Answer::Rejected(1..), .. }]), "{effects:?}");
}

/// Danger: silent connections by the hundred, and such as do not go when they are answered, would use up the
/// descriptors. The oldest makes room, but none that may still have its line on the way.
#[test]
fn connections_without_a_leg_make_room_for_those_who_ask() {
    let mut harness = ReducerHarness::with(Budget { waiting: 3, held: 2, buffer: 8192 });
    let silent = harness.connect_client();
    let answered = harness.connect_client();
    harness.feed(Input::ConnectionRequested {
        connection: answered,
        request: ConnectionRequest { class: "none".to_owned(), ..connection_request() },
    });
    let (third, effects) = harness.connect_client_with_effects();
    assert_eq!(
        effects,
        [Effect::SetAccepting { open: false }],
        "all may still request: the next have to wait"
    );
    harness.advance(100_000);
    let effects = harness.feed(Input::TimerFired);
    assert_eq!(
        effects,
        [Effect::AbortConnection { connection: silent }, Effect::SetAccepting { open: true }]
    );
    let (_, effects) = harness.connect_client_with_effects();
    assert_eq!(effects, [Effect::AbortConnection { connection: answered }]);
    // With an attempt it is in nobody's way, and closed ones make room by themselves.
    harness.feed(Input::ConnectionRequested { connection: third, request: connection_request() });
    assert_eq!(harness.connect_client_with_effects().1, []);
    let (last, effects) = harness.connect_client_with_effects();
    assert_eq!(effects, [Effect::SetAccepting { open: false }]);
    harness.feed(Input::ClientDisconnected { connection: last });
    assert_eq!(
        harness.feed(Input::SocketsClosed { connection: last }),
        [Effect::SetAccepting { open: true }]
    );
    // Attempts take descriptors too: those over their budget are told to come again.
    let next = harness.connect_client();
    harness.feed(Input::ConnectionRequested { connection: next, request: connection_request() });
    let over = harness.connect_client();
    let effects =
        harness.feed(Input::ConnectionRequested { connection: over, request: connection_request() });
    assert!(matches!(effects[..], [Effect::Answer { answer: Answer::Rejected(1..), .. }]), "{effects:?}");
}

#[test]
fn what_names_nothing_configured_or_is_open_already_fails_at_once() {
    let mut harness = ReducerHarness::new();
    let named = |id: &str| ConnectionRequest { id: Some(id.to_owned()), ..connection_request() };
    let first = harness.connect_client();
    harness.feed(Input::ConnectionRequested { connection: first, request: named("a") });
    let failed = |harness: &mut ReducerHarness, ask| {
        let connection = harness.connect_client();
        let effects = harness.feed(Input::ConnectionRequested { connection, request: ask });
        effects == [Effect::Answer { connection, answer: Answer::Failed }]
    };
    assert!(failed(&mut harness, named("a")), "another's open id");
    assert!(failed(&mut harness, ConnectionRequest { class: "news".to_owned(), ..named("b") }));
    assert!(failed(&mut harness, ConnectionRequest { class: String::new(), ..named("b") }));
    assert!(!failed(&mut harness, named("b")));
    harness.feed(Input::ClientDisconnected { connection: first });
    assert!(!failed(&mut harness, named("a")), "free again");
}

/// Danger: a machine out of descriptors would take every server to be down.
#[test]
fn a_leg_that_this_machine_had_no_socket_for_tells_nothing_of_its_server() {
    let mut harness = ReducerHarness::new();
    for _ in 0..20 {
        let (connection, _) = harness.forward_request();
        for attempt in 0..6 {
            harness.feed(Input::AttemptEnded { connection, attempt, end: AttemptOutcome::OutOfSockets });
        }
    }
    let connection = harness.connect_client();
    let effects = harness.feed(Input::ConnectionRequested { connection, request: connection_request() });
    assert!(matches!(effects[..], [Effect::OpenAttempt { .. }]), "{effects:?}");
}

mod model {
    use std::collections::{BTreeMap, BTreeSet};

    use super::*;
    use proptest::prelude::*;

    proptest! {
        /// Whatever happens in whatever order: one answer for each connection and in time, at most six
        /// attempts and never two at once, no new attempt to a server that drains, and nothing held in the end.
        #[test]
        fn rules_hold_under_random_steps(steps in prop::collection::vec((0u8..10, 0usize..8, 1u64..400_000), 1..200)) {
            let mut harness = ReducerHarness::new();
            let (mut connections, mut drained) = (Vec::new(), BTreeSet::new());
            let (mut out, mut answered) = (BTreeMap::new(), BTreeMap::new());
            let mut attempts = BTreeMap::<ConnectionId, u32>::new();
            for (what, which, pause) in steps {
                harness.advance(pause);
                for tick in [true, false] {
                let connection = connections.get(which % connections.len().max(1)).map_or(ConnectionId(u64::MAX), |&(connection, _)| connection);
                let attempt = out.get(&connection).copied().unwrap_or(9);
                let effects = match what {
                    _ if tick => harness.feed(Input::TimerFired),
                    0..=2 => {
                        let connection = harness.connect_client();
                        connections.push((connection, harness.now));
                        harness.feed(Input::ConnectionRequested { connection, request: connection_request() })
                    }
                    3 => harness.feed(Input::RequestForwarded { connection, attempt }),
                    4 => {
                        // Served: from here on it is the server's.
                        if out.contains_key(&connection) {
                            answered.entry(connection).or_insert(harness.now);
                        }
                        harness.feed(Input::AttemptAccepted { connection, attempt })
                    }
                    5 => {
                        out.remove(&connection);
                        harness.feed(Input::AttemptEnded { connection, attempt, end: AttemptOutcome::Rejected })
                    }
                    6 => {
                        out.remove(&connection);
                        harness.feed(Input::AttemptEnded { connection, attempt, end: AttemptOutcome::Reset })
                    }
                    7 => {
                        out.remove(&connection);
                        answered.entry(connection).or_insert(harness.now);
                        harness.feed(Input::ClientDisconnected { connection })
                    }
                    8 if which < SERVERS.len() => {
                        drained.insert(harness.address(SERVERS[which]));
                        harness.drain(which)
                    }
                    9 if which == 0 && pause < 40_000 => harness.feed(Input::ShutdownRequested),
                    // Its time to ask is over, as its first line has come: a late word.
                    9 => harness.feed(Input::HandshakeTimedOut { connection }),
                    _ => Vec::new(),
                };
                for effect in effects {
                    match effect {
                        Effect::OpenAttempt { connection, attempt, address, .. } => {
                            prop_assert!(out.insert(connection, attempt).is_none(), "two legs at once");
                            let count = attempts.entry(connection).or_default();
                            *count += 1;
                            prop_assert!(*count <= 6, "{count} legs");
                            prop_assert!(!answered.contains_key(&connection), "a leg after the answer");
                            prop_assert!(!drained.contains(&address), "a leg to a drained host");
                        }
                        Effect::CloseAttempt { connection } => drop(out.remove(&connection)),
                        Effect::Answer { connection, answer: Answer::Rejected(_) | Answer::Failed } => {
                            out.remove(&connection);
                            prop_assert!(answered.insert(connection, harness.now).is_none(), "answered twice");
                        }
                        _ => {}
                    }
                }
                }
                for (connection, since) in &connections {
                    let late = harness.now.since(*since) > reducer_harness::WAIT;
                    prop_assert!(!late || answered.contains_key(connection), "no answer in time");
                }
            }
            // Once all have gone, all slots are what they were.
            for &(connection, _) in &connections {
                harness.feed(Input::ClientDisconnected { connection });
            }
            let effects = harness.feed(Input::AdminRequest { admin_client: AdminClientId(0), call: AdminCall::Telemetry });
            let [Effect::AdminReply { reply: AdminResponse::Metrics(metrics), .. }] = &effects[..] else { panic!("{effects:?}") };
            prop_assert_eq!(metrics.outstanding, 0);
        }
    }
}

/// A reload: what stands and what is out goes on, classes keep their numbers whatever their order in the
/// file, and the watch goes to the new address.
#[test]
fn another_configuration_keeps_what_is_out_and_moves_the_watch() {
    let mut harness = ReducerHarness::new();
    let (standing, (placing, server)) = (harness.established(), harness.forward_request());
    let mut setup = reducer_harness::setup();
    let first = Class {
        priority_weight: 9.0,
        setup_objective: 1,
        message_objective: 7,
        idempotency: Idempotency::NotIdempotent,
    };
    setup.settings.classes.insert(0, first);
    setup.classes.insert(0, "alerts".to_owned());
    setup.discovery = Some("127.0.0.1:9".parse().expect("an address"));
    let effects = harness.feed(Input::ConfigurationChanged {
        pools: vec![setup.clone()],
        peers: Vec::new(),
        budget: reducer_harness::BUDGET,
    });
    let discovery = setup.discovery.expect("set above");
    assert_eq!(effects, [Effect::WatchEndpointsAt { pool: 0, discovery }]);
    let effects = harness.feed(Input::ConfigurationChanged {
        pools: vec![setup],
        peers: Vec::new(),
        budget: reducer_harness::BUDGET,
    });
    assert_eq!(effects, [], "the same address needs no new watch");
    // Were it taken for the class that came first, which may not be repeated, it would fail here.
    let effects =
        harness.feed(Input::AttemptEnded { connection: placing, attempt: 0, end: AttemptOutcome::Reset });
    assert!(matches!(effects[..], [Effect::OpenAttempt { attempt: 1, .. }]), "{effects:?}");
    assert_eq!(harness.drain(server), [], "it stands or goes elsewhere already");
    assert_eq!(harness.feed(Input::ServerActivity { connection: standing }), []);
}
