//! The operators' door: its calls, its figures, and how it stands crowds.

mod fake_servers;
mod reducer_harness;

use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;
use std::net::Shutdown;

use connection_balancer::protocol::admin;
use connection_balancer::routing::*;
use fake_servers::{irc_config, until, Client, Daemon, Manner, Server};
use proptest::prelude::*;
use reducer_harness::{connection_request, ReducerHarness};

fn call(harness: &mut ReducerHarness, call: AdminCall) -> AdminResponse {
    match call_with(harness, call).pop() {
        Some(Effect::AdminReply { admin_client: AdminClientId(77), reply }) => reply,
        other => panic!("{other:?}"),
    }
}

fn call_with(harness: &mut ReducerHarness, call: AdminCall) -> Vec<Effect> {
    harness.feed(Input::AdminRequest { admin_client: AdminClientId(77), call })
}

fn metrics(harness: &mut ReducerHarness) -> Metrics {
    match call(harness, AdminCall::Telemetry) {
        AdminResponse::Metrics(metrics) => metrics,
        other => panic!("{other:?}"),
    }
}

proptest! {
    /// Counted again from outside, by what went in and came out, the figures are the same after any steps.
    #[test]
    fn figures_are_true(steps in prop::collection::vec((0u8..12, 0usize..8, 1u64..500_000), 1..200)) {
        let mut harness = ReducerHarness::with(Budget { held: 12, ..reducer_harness::BUDGET });
        let mut connections: Vec<(ConnectionId, &str)> = Vec::new();
        let mut counts: BTreeMap<String, ClassCounters> =
            ["chat", "wallet"].map(|class| (class.to_owned(), ClassCounters::default())).into();
        // Taken and not ended; with which attempt out, and whether that is written; standing.
        let (mut open, mut attempts) = (BTreeSet::new(), BTreeMap::<ConnectionId, (u32, bool)>::new());
        let (mut standing, mut forwards) = (BTreeSet::new(), 0);
        for (what, which, pause) in steps {
            harness.advance(pause);
            for tick in [true, false] {
                let &(connection, _) = connections.get(which % connections.len().max(1)).unwrap_or(&(ConnectionId(u64::MAX), ""));
                let (attempt, forward_request) = attempts.get(&connection).copied().unwrap_or((9, true));
                let out = attempts.contains_key(&connection);
                let mut ended = |end| {
                    attempts.remove(&connection);
                    if standing.contains(&connection) {
                        open.remove(&connection);
                    }
                    Input::AttemptEnded { connection, attempt, end }
                };
                let input = match what {
                    _ if tick => Input::TimerFired,
                    0..=3 => {
                        let class = ["chat", "wallet", "unheard-of", "chat"][usize::from(what)];
                        let connection = harness.connect_client();
                        connections.push((connection, class));
                        open.insert(connection);
                        Input::ConnectionRequested { connection, ask: ConnectionRequest { class: class.to_owned(), ..connection_request() } }
                    }
                    4 | 5 => {
                        forwards += u64::from(out && !forward_request);
                        attempts.entry(connection).and_modify(|attempt| attempt.1 = true);
                        Input::RequestForwarded { connection, attempt }
                    }
                    6 | 7 => {
                        if out && standing.insert(connection) {
                            let class = connections.iter().find(|(a, _)| *a == connection).map_or("", |(_, class)| class);
                            counts.entry(class.to_owned()).and_modify(|counts| counts.succeeded += 1);
                        }
                        Input::AttemptAccepted { connection, attempt }
                    }
                    8 => ended(AttemptOutcome::Rejected),
                    9 => ended(AttemptOutcome::Reset),
                    10 => {
                        open.remove(&connection);
                        Input::ClientDisconnected { connection }
                    }
                    _ if which == 0 => Input::ShutdownRequested,
                    _ => Input::EndpointWatchLost { pool: 0 },
                };
                for effect in harness.feed(input) {
                    match effect {
                        Effect::OpenAttempt { connection, attempt, .. } => drop(attempts.insert(connection, (attempt, false))),
                        Effect::CloseAttempt { connection } => drop(attempts.remove(&connection)),
                        Effect::Answer { connection, answer } => {
                            open.remove(&connection);
                            let class = connections.iter().find(|(a, _)| *a == connection).map_or("", |(_, class)| class);
                            if let Some(counts) = counts.get_mut(class) {
                                counts.declined += u64::from(matches!(answer, Answer::Rejected(_)));
                                counts.aborted += u64::from(answer == Answer::Failed);
                            }
                        }
                        _ => {}
                    }
                }
                let told = metrics(&mut harness);
                prop_assert_eq!(&told.classes, &counts);
                prop_assert_eq!((told.forwards, told.outstanding), (forwards, open.len() as u64));
                prop_assert_eq!(told.discovered, 5);
            }
        }
    }

    /// Whatever a list, a reload or a repeated call says: nothing new goes to a server that is out by hand, what
    /// was not written to it yet is closed, and one call back ends it.
    #[test]
    fn a_ban_holds_until_the_call_back(steps in prop::collection::vec((0u8..9, 0usize..5, 1u64..400_000), 1..150)) {
        let mut harness = ReducerHarness::new();
        let (mut out, mut attempts) = (BTreeSet::new(), BTreeMap::<ConnectionId, (u32, String, bool)>::new());
        for (what, server, pause) in steps {
            harness.advance(pause);
            let name = reducer_harness::SERVERS[server].to_owned();
            let connection = attempts.keys().nth(server).copied().unwrap_or(ConnectionId(u64::MAX));
            let attempt = attempts.get(&connection).map_or(9, |attempt| attempt.0);
            let effects = match what {
                0 => {
                    out.insert(harness.address(&name));
                    call_with(&mut harness, AdminCall::Exclude(name))
                }
                1 => {
                    out.remove(&harness.address(&name));
                    call_with(&mut harness, AdminCall::Include(name))
                }
                2 => harness.list(server, Lifecycle::Gone),
                3 => harness.list(server, Lifecycle::Ready),
                4 => {
                    let (pools, peers, budget) = (vec![reducer_harness::setup()], Vec::new(), reducer_harness::BUDGET);
                    harness.feed(Input::ConfigurationChanged { pools, peers, budget })
                }
                5 => {
                    attempts.entry(connection).and_modify(|attempt| attempt.2 = true);
                    harness.feed(Input::RequestForwarded { connection, attempt })
                }
                6 => {
                    attempts.remove(&connection);
                    harness.feed(Input::AttemptEnded { connection, attempt, end: AttemptOutcome::Rejected })
                }
                _ => {
                    let connection = harness.connect_client();
                    harness.feed(Input::ConnectionRequested { connection, ask: connection_request() })
                }
            };
            for effect in effects {
                match effect {
                    Effect::OpenAttempt { connection, attempt, address, .. } => {
                        prop_assert!(!out.contains(&address), "a leg to {address}, which is out by hand");
                        attempts.insert(connection, (attempt, address, false));
                    }
                    Effect::CloseAttempt { connection } | Effect::Answer { connection, .. } => drop(attempts.remove(&connection)),
                    _ => {}
                }
            }
            for (_, address, forward_request) in attempts.values() {
                prop_assert!(*forward_request || !out.contains(address), "a leg to {address} may still be written");
            }
        }
    }

    /// Whatever is said at the door, there is an answer to it, or it is no call yet.
    #[test]
    fn no_line_breaks_the_door(line in prop::collection::vec(any::<u8>(), 0..300)) {
        let told = admin::call(&line);
        let known: [&[u8]; 4] = [b"readyz", b"telemetry", b"exclude ", b"include "];
        prop_assert!(told.is_err() || known.iter().any(|call| line.starts_with(call)), "{told:?}");
    }
}

#[test]
fn figures_have_the_names_and_the_form_that_are_agreed() {
    let mut harness = ReducerHarness::new();
    let text = |harness: &mut ReducerHarness| {
        String::from_utf8(admin::reply(&call(harness, AdminCall::Telemetry))).unwrap()
    };
    let classes = "edge_node.results.chat.succeeded:0|c\r\nedge_node.results.chat.declined:0|c\r\n\
        edge_node.results.chat.aborted:0|c\r\nedge_node.results.wallet.succeeded:0|c\r\n\
        edge_node.results.wallet.declined:0|c\r\nedge_node.results.wallet.aborted:0|c\r\n";
    let rest = "edge_node.forwards:0|c\r\nedge_node.outstanding:0|g\r\nedge_node.discovered:5|g\r\n\
        edge_node.ejected:0|g\r\nEND\r\n";
    assert_eq!(text(&mut harness), format!("{classes}{rest}"));
    harness.established();
    let told = text(&mut harness);
    assert!(told.contains("edge_node.results.chat.succeeded:1|c\r\n"), "{told}");
    assert!(told.contains("edge_node.outstanding:1|g\r\n"), "{told}");
}

/// A server that breaks attempts is avoided for a while, and only so long.
#[test]
fn ejected_is_what_the_pick_avoids_now() {
    let mut harness = ReducerHarness::new();
    let (connection, _) = harness.forward_request();
    harness.feed(Input::AttemptEnded { connection, attempt: 0, end: AttemptOutcome::Reset });
    assert_eq!(metrics(&mut harness).ejected, 1);
    harness.advance(60_000_000);
    assert_eq!(metrics(&mut harness).ejected, 0);
}

#[test]
fn it_is_ready_with_its_list_and_its_listeners_and_not_while_it_leaves() {
    let mut harness = ReducerHarness::unready();
    assert!(matches!(call(&mut harness, AdminCall::Ready), AdminResponse::No(_)), "nothing listens");
    harness.feed(Input::Listening);
    // Danger: with discovery down, or crowded, nobody would ever be ready if the list from before did not do.
    assert_eq!(call(&mut harness, AdminCall::Ready), AdminResponse::Yes);
    harness.feed(Input::CachedEndpoints { pool: 0, endpoints: Vec::new() });
    assert!(matches!(call(&mut harness, AdminCall::Ready), AdminResponse::No(_)), "there is no host");
    harness.feed(Input::EndpointsUpdated { pool: 0, whole: false, endpoints: Vec::new() });
    assert_eq!(call(&mut harness, AdminCall::Ready), AdminResponse::Yes);
    harness.feed(Input::ShutdownRequested);
    assert!(matches!(call(&mut harness, AdminCall::Ready), AdminResponse::No(_)));
}

#[test]
fn a_host_is_taken_out_and_back_by_id_and_only_one_that_was_ever_listed() {
    let mut harness = ReducerHarness::new();
    let server = reducer_harness::SERVERS[1].to_owned();
    let unheard = "s-0000dead".to_owned();
    for call_of in [AdminCall::Exclude, AdminCall::Include] {
        assert!(matches!(call(&mut harness, call_of(unheard.clone())), AdminResponse::No(_)));
    }
    for _ in 0..3 {
        assert_eq!(call_with(&mut harness, AdminCall::Exclude(server.clone())).pop(), Some(reply_yes()));
        assert_eq!(metrics(&mut harness).ejected, 1);
    }
    // It is known by its id even while it is gone.
    harness.list(1, Lifecycle::Gone);
    assert_eq!(call(&mut harness, AdminCall::Exclude(server.clone())), AdminResponse::Yes);
    harness.list(1, Lifecycle::Ready);
    assert_eq!(metrics(&mut harness).ejected, 1, "no list lifts a ban");
    assert_eq!(call(&mut harness, AdminCall::Include(server)), AdminResponse::Yes);
    assert_eq!(metrics(&mut harness).ejected, 0, "one call back ends any number of calls out");
}

fn reply_yes() -> Effect {
    Effect::AdminReply { admin_client: AdminClientId(77), reply: AdminResponse::Yes }
}

/// Seen on the bench: servers out by hand start again 1.5 s later, and who is still there is cut off.
#[test]
fn clients_of_a_host_out_by_hand_are_moved_in_pace_and_soon() {
    let mut harness = ReducerHarness::new();
    let connections: Vec<ConnectionId> = (0..60).map(|_| harness.established()).collect();
    let server = reducer_harness::SERVERS[2].to_owned();
    let (mut moved, mut waves) = (BTreeSet::new(), 0);
    let mut effects = call_with(&mut harness, AdminCall::Exclude(server));
    for _ in 0..15 {
        let before = moved.len();
        moved.extend(effects.iter().filter_map(|effect| match effect {
            Effect::Answer { connection, answer: Answer::Migrated } => Some(*connection),
            _ => None,
        }));
        waves += usize::from(moved.len() > before);
        harness.advance(100_000);
        effects = harness.feed(Input::TimerFired);
    }
    assert!(moved.len() > 4 && moved.len() < connections.len(), "{} moved", moved.len());
    assert!(waves > 3, "all in {waves} waves");
}

/// The server comes back as another process, cold: what was thought of it before does not count, and it is
/// filled no faster than a cold one, though the list may not know yet that it started again.
#[test]
fn a_host_taken_back_is_used_soon_and_as_a_cold_one() {
    let mut harness = ReducerHarness::new();
    for _ in 0..60 {
        harness.established();
    }
    let (server, address) =
        (reducer_harness::SERVERS[2].to_owned(), harness.address(reducer_harness::SERVERS[2]));
    let attempts = |harness: &mut ReducerHarness, count: usize| {
        let mut there = 0;
        for _ in 0..count {
            harness.advance(50_000);
            let connection = harness.connect_client();
            let effects = harness.feed(Input::ConnectionRequested { connection, ask: connection_request() });
            there += effects
                .iter()
                .filter(|effect| matches!(effect, Effect::OpenAttempt { address: at, .. } if *at == address))
                .count();
            harness.feed(Input::RequestForwarded { connection, attempt: 0 });
            harness.feed(Input::AttemptAccepted { connection, attempt: 0 });
        }
        there
    };
    call(&mut harness, AdminCall::Exclude(server.clone()));
    assert_eq!(attempts(&mut harness, 40), 0);
    call(&mut harness, AdminCall::Include(server));
    let first = attempts(&mut harness, 20);
    assert!(first <= 8, "{first} of 20 in the first second: it is cold");
    assert!(first + attempts(&mut harness, 80) > 0, "unused for 5 s");
}

fn front(more: &str) -> Daemon {
    let server = Server::start(Manner::Welcome);
    Daemon::start(&irc_config(&[&server], more), None)
}

fn admin_call(mgmt: &str, call: &str) -> String {
    let mut admin_client = Client::connect(mgmt);
    admin_client.say(call);
    admin_client.rest()
}

/// Danger: some callers say nothing, or half of a call, and stay; and they may be many.
#[test]
fn silent_and_half_callers_are_in_nobodys_way_and_are_let_go() {
    let daemon = front("");
    let mut stuck: Vec<Client> = (0..60).map(|_| Client::connect(&daemon.mgmt)).collect();
    for admin_client in stuck.iter_mut().step_by(2) {
        // Of those that were let go already nobody reads.
        let _ = admin_client.stream.write_all(b"read");
    }
    assert_eq!(admin_call(&daemon.mgmt, "readyz"), "YES\r\n");
    assert!(admin_call(&daemon.mgmt, "telemetry").ends_with("END\r\n"));
    for admin_client in &mut stuck {
        let told = admin_client.rest();
        assert!(told.is_empty() || told.starts_with("NO "), "{told}");
    }
}

#[test]
fn bad_calls_are_told_no_with_a_reason_and_pieces_are_put_together() {
    let daemon = front("");
    for bad in ["", "readyz now", "READYZ", "GET / HTTP/1.1", &"x".repeat(5000)] {
        let told = admin_call(&daemon.mgmt, bad);
        assert!(told.starts_with("NO ") && told.len() > 5, "{bad}: {told}");
    }
    let mut admin_client = Client::connect(&daemon.mgmt);
    for piece in ["re", "ady", "z\r", "\n"] {
        admin_client.stream.write_all(piece.as_bytes()).expect("written");
        std::thread::sleep(std::time::Duration::from_millis(10));
    }
    assert_eq!(admin_client.rest(), "YES\r\n");
    // What is cut off may have meant anything.
    let mut admin_client = Client::connect(&daemon.mgmt);
    admin_client.stream.write_all(b"readyz").expect("written");
    admin_client.stream.shutdown(Shutdown::Write).expect("ended");
    assert!(admin_client.rest().starts_with("NO "));
}

#[test]
fn a_reload_may_move_the_door() {
    let daemon = front("");
    let server = Server::start(Manner::Welcome);
    let again = |mgmt: &str| {
        daemon.reload("irc.json", &irc_config(&[&server], "").replace("\"mgmt\": \"127.0.0.1:0\",", mgmt))
    };
    again("\"mgmt\": \"127.0.0.2:0\",");
    let line = daemon.log_line("admin endpoint open on 127.0.0.2:");
    let moved = line.rsplit(' ').next().expect("an address");
    assert_eq!(admin_call(moved, "readyz"), "YES\r\n");
    until("the old door is shut", || std::net::TcpStream::connect(&daemon.mgmt).is_err());
    again("");
    until("no door is left", || std::net::TcpStream::connect(moved).is_err());
}

/// As JSON, each line is one object; the levels are followed by module.
#[test]
fn the_log_is_json_lines_where_the_operator_says_so() {
    let json = |levels: &str| format!(r#", "log": {{"format": "json", "levels": "{levels}"}}"#);
    let mut daemon = Daemon::start(&irc_config(&[], &json("info")), None);
    daemon.signal("-TERM");
    let line = daemon.log_line("leaving");
    let mut bytes = line.clone().into_bytes();
    let event = simd_json::to_owned_value(&mut bytes).unwrap_or_else(|e| panic!("{line}: {e}"));
    let event = format!("{event:?}");
    assert!(event.contains("INFO") && event.contains("connection_balancer::transport"), "{event}");
    assert!(daemon.exited());
}
