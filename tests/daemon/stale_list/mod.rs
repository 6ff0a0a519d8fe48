//! Tests with an endpoint list that discovery changed while the watch on it was silent.
//!
//! A process whose watch is silent misses a drain. The missed change counts as notified after 6 s. If
//! discovery is overloaded when the process calls again, its answer may arrive later than that. Requests then
//! reach the draining server after the grace of its drain.
//! `docs/incidents/2026-12-03-drain-after-silent-watch.md` describes such a case.
//!
//! `overload` has the tests in which discovery runs and does not answer in time, also at a new address, after a hot
//! restart and since the start; `outage` has those in which it is down.

mod drain_scenario;
mod outage;
mod overload;

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::fake_servers::discovery::{endpoint, endpoint_list, Discovery, Reply};
use crate::fake_servers::{irc_config, wait_until, Client, Daemon, ManualServer};

/// Time after which a change that a silent watch missed counts as notified.
const NOTIFIED_AFTER: Duration = Duration::from_secs(6);
const DRAIN_GRACE: Duration = Duration::from_millis(250);
/// Allowance that is added to each time limit, since the tests run over real sockets.
const SOCKET_SLACK: Duration = Duration::from_millis(50);
const DAEMONS: usize = 4;

/// A server that accepts every request and records the time of its arrival.
struct RecordingServer {
    address: SocketAddr,
    arrivals: Arc<Mutex<Vec<Instant>>>,
}

impl RecordingServer {
    fn start() -> RecordingServer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("the listener binds");
        let address = listener.local_addr().expect("the listener has an address");
        let arrivals: Arc<Mutex<Vec<Instant>>> = Arc::default();
        let recorded = arrivals.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let recorded = recorded.clone();
                std::thread::spawn(move || accept_request(&stream, &recorded));
            }
        });
        RecordingServer { address, arrivals }
    }

    fn last_arrival(&self) -> Option<Instant> {
        self.arrivals.lock().unwrap().last().copied()
    }
}

fn accept_request(mut stream: &TcpStream, arrivals: &Mutex<Vec<Instant>>) {
    let mut lines = BufReader::new(stream).lines().map_while(Result::ok);
    if lines.next().is_some() {
        arrivals.lock().unwrap().push(Instant::now());
        let _ = stream.write_all(b"UP 1\r\n");
    }
    // Keeps the connection open until the balancer closes it.
    lines.for_each(drop);
}

fn config(discovery: SocketAddr, delivery: &str, known: &[String]) -> String {
    format!(
        r#"{{"name": "n0", "listen": "127.0.0.1:0", "discovery": "{discovery}", "seed": "5",
            "known": {}, "limits": {{"sockets": 160, "memory_mb": 32}},
            "settings": {{"discovery": "{delivery}", "balancers": {DAEMONS}, "zones": ["a"],
              "classes": [{{"name": "chat", "deadline": 9000, "repeat": "repeatable"}}],
              "invariants": {{"drain-grace": {}, "must-ask-in": 10000}},
              "limits": {{"connect-timeout": 8000, "try-limit": 6, "cancel": true, "retry-after": true}}}}}}"#,
        endpoint_list(1, true, known),
        DRAIN_GRACE.as_millis()
    )
}

fn start_daemon(discovery: &Discovery, delivery: &str, known: &[String]) -> Daemon {
    Daemon::start(&irc_config(&[], ""), Some(&config(discovery.address, delivery, known)))
}

fn connect_and_open(address: &str) -> Client {
    static NEXT_ID: AtomicUsize = AtomicUsize::new(0);
    let mut client = Client::connect(address);
    client.send_line(&format!("OPEN id{} 7f3a c=chat,d=9000", NEXT_ID.fetch_add(1, Ordering::Relaxed)));
    client
}

/// Waits until discovery has answered a call of each daemon and holds the next one of each.
fn wait_for_watches(discovery: &Discovery, daemons: usize) {
    wait_until("the first calls are held", || discovery.open_calls() == daemons);
    let lists_sent_before = discovery.lists_sent();
    discovery.publish_unchanged();
    wait_until("the next calls are held", || {
        discovery.lists_sent() == lists_sent_before + daemons && discovery.open_calls() == daemons
    });
}

/// Connects clients one by one until `end`. Returns for each whether it was served.
fn request_until(address: &str, end: Instant) -> Vec<bool> {
    let mut served = Vec::new();
    while Instant::now() < end {
        let mut client = connect_and_open(address);
        let answer = client.read_line();
        assert!(
            answer == "UP 1" || answer.starts_with("BUSY"),
            "the answer is {answer:?}, neither UP 1 nor BUSY"
        );
        served.push(answer == "UP 1");
        drop(client);
        std::thread::sleep(Duration::from_millis(10));
    }
    served
}

/// All watches fall silent and a server begins to drain. Discovery answers 503 to the watches that are
/// reopened, until after the grace of the drain. After the grace no server may receive requests until
/// discovery answers with the list. Then requests go to the other server.
#[test]
fn sends_nothing_to_a_server_that_drains_while_watches_are_silent_and_discovery_is_overloaded() {
    let (draining, other) = (RecordingServer::start(), RecordingServer::start());
    let entry = |server: &RecordingServer, name, lifecycle| endpoint(name, server.address, lifecycle);
    let known = [entry(&draining, "s-00000001", "ready"), entry(&other, "s-00000002", "ready")];
    let discovery = Discovery::serving(&[("s-00000001", known[0].clone()), ("s-00000002", known[1].clone())]);
    let daemons: Vec<Daemon> = (0..DAEMONS).map(|_| start_daemon(&discovery, "on_request", &known)).collect();
    wait_for_watches(&discovery, DAEMONS);

    discovery.silence_open_calls(Reply::Status(503));
    let silent_since = Instant::now();
    discovery.publish("s-00000001", entry(&draining, "s-00000001", "draining"));
    let recovery = silent_since + NOTIFIED_AFTER + Duration::from_secs(2);
    std::thread::scope(|scope| {
        let addresses = daemons.iter().map(|daemon| &daemon.platform_address);
        let clients: Vec<_> =
            addresses.map(|address| scope.spawn(move || request_until(address, recovery))).collect();
        for client in clients {
            let served = client.join().expect("every client was answered");
            assert!(served[0], "the list is still in use when the watch falls silent");
        }
    });
    let allowed_until = silent_since + NOTIFIED_AFTER + DRAIN_GRACE + SOCKET_SLACK;
    let lateness = draining.last_arrival().map(|at| at.saturating_duration_since(allowed_until));
    assert_eq!(
        lateness,
        Some(Duration::ZERO),
        "time from the end of the grace to the last request at the draining server"
    );

    discovery.set_reply(Reply::EndpointList);
    for daemon in &daemons {
        wait_until("clients are served again", || {
            connect_and_open(&daemon.platform_address).read_line() == "UP 1"
        });
    }
    assert!(other.last_arrival() > Some(recovery));
}

/// The connect to the server completes only after the change that the silent watch missed counts as notified.
#[test]
fn does_not_forward_when_the_connect_completes_after_a_silent_watch_may_have_missed_a_drain() {
    let mut draining = ManualServer::start_with_full_queue();
    let known = [endpoint("s-00000001", draining.address, "ready")];
    let discovery = Discovery::serving(&[("s-00000001", known[0].clone())]);
    let daemon = start_daemon(&discovery, "on_request", &known);
    wait_for_watches(&discovery, 1);

    discovery.silence_open_calls(Reply::Status(503));
    let silent_since = Instant::now();
    discovery.publish("s-00000001", endpoint("s-00000001", draining.address, "draining"));
    let mut client = connect_and_open(&daemon.platform_address);
    let allowed_until = silent_since + NOTIFIED_AFTER + DRAIN_GRACE + SOCKET_SLACK;
    std::thread::sleep(allowed_until.saturating_duration_since(Instant::now()));
    draining.empty_queue();

    assert!(client.read_line().starts_with("BUSY"), "no server is known to be ready");
    assert_eq!(daemon.metric("forwards"), 0);
}

/// A watch that is reopened as soon as it counts as silent delivers the drain before it counts as notified.
/// No request may be rejected.
#[test]
fn learns_of_a_drain_that_a_silent_watch_missed_before_it_counts_as_notified() {
    std::thread::scope(|scope| {
        let late_list = Reply::LateEndpointList(Duration::from_millis(1200));
        let cases = [
            ("on_request", Reply::EndpointList, true),
            ("on_request", Reply::EndpointList, false),
            ("on_request", late_list, true),
            ("pushed", Reply::EndpointList, true),
        ];
        for (delivery, reply, drains) in cases {
            scope.spawn(move || {
                let (draining, other) = (RecordingServer::start(), RecordingServer::start());
                let entry = |server: &RecordingServer, name, state| endpoint(name, server.address, state);
                let known = [entry(&draining, "s-00000001", "ready"), entry(&other, "s-00000002", "ready")];
                let entries = [("s-00000001", known[0].clone()), ("s-00000002", known[1].clone())];
                let discovery = Discovery::serving(&entries);
                let daemon = start_daemon(&discovery, delivery, &known);
                wait_for_watches(&discovery, 1);

                discovery.silence_open_calls(reply);
                let notified_at = Instant::now() + NOTIFIED_AFTER;
                if drains {
                    discovery.publish("s-00000001", entry(&draining, "s-00000001", "draining"));
                }
                let served = request_until(&daemon.platform_address, notified_at + Duration::from_secs(1));

                assert!(
                    served.iter().all(|served| *served),
                    "{delivery}, drains: {drains}: a request was rejected"
                );
                let lateness = draining.last_arrival().map(|at| at.saturating_duration_since(notified_at));
                assert_eq!(
                    lateness == Some(Duration::ZERO),
                    drains,
                    "{delivery}: the last request at the first server was late by {lateness:?}"
                );
            });
        }
    });
}

/// While discovery is down it lists no change that could count as notified, so the list stays in use at any
/// age. A watch whose answers are late, as all are while discovery is slow, does not count as silent.
#[test]
fn serves_from_its_endpoint_list_while_discovery_is_down_or_slow() {
    type Outage = fn(&Discovery);
    let cases: [(&str, &str, Outage); 4] = [
        ("an agent that does not answer", "pushed", |discovery| discovery.silence_open_calls(Reply::Silence)),
        ("a discovery that has exited", "on_request", |discovery| discovery.stop_listening()),
        ("late answers", "on_request", |discovery| {
            discovery.set_reply(Reply::LateEndpointList(Duration::from_millis(2400)));
        }),
        ("watches that are reset, then 503", "on_request", |discovery| {
            discovery.reset_open_calls(Reply::Status(503));
        }),
    ];
    std::thread::scope(|scope| {
        for (outage, delivery, begin_outage) in cases {
            scope.spawn(move || {
                let server = RecordingServer::start();
                let known = [endpoint("s-00000001", server.address, "ready")];
                let discovery = Discovery::serving(&[("s-00000001", known[0].clone())]);
                let daemon = start_daemon(&discovery, delivery, &known);
                wait_for_watches(&discovery, 1);

                begin_outage(&discovery);
                let end = Instant::now() + NOTIFIED_AFTER + Duration::from_secs(2);
                let served = request_until(&daemon.platform_address, end);

                assert!(served.iter().all(|served| *served), "{outage}: a request was rejected");
            });
        }
    });
}
