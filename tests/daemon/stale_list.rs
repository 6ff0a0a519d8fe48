//! A list that discovery changed while a watch on it was silent.
//!
//! A process whose watch is silent misses a drain. If discovery is overloaded when the process calls again, the answer may
//! come later than the missed change counts as notified, which is after 6 s: a request then reaches a server after the grace
//! of its drain. `docs/incidents/2026-12-03-drain-after-silent-watch.md` describes such a case.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::fake_servers::discovery::{endpoint, endpoint_list, Discovery, Reply};
use crate::fake_servers::{irc_config, wait_until, Client, Daemon, ManualServer};

/// What a silent watch misses counts as notified after this long.
const NOTIFIED_AFTER: Duration = Duration::from_secs(6);
const DRAIN_GRACE: Duration = Duration::from_millis(250);
/// By so much each limit is longer on sockets.
const SOCKET_SLACK: Duration = Duration::from_millis(50);
const DAEMONS: usize = 4;

/// A server that accepts every request, and records when each arrived.
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
    // Until the balancer closes.
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
    static COUNT: AtomicUsize = AtomicUsize::new(0);
    let mut client = Client::connect(address);
    client.send_line(&format!("OPEN id{} 7f3a c=chat,d=9000", COUNT.fetch_add(1, Ordering::Relaxed)));
    client
}

/// Waits until discovery has answered as many daemons, and holds the next call of each.
fn wait_for_watches(discovery: &Discovery, daemons: usize) {
    wait_until("the first calls are held", || discovery.open_calls() == daemons);
    let before = discovery.lists_sent();
    discovery.publish_unchanged();
    wait_until("the watches go on", || {
        discovery.lists_sent() == before + daemons && discovery.open_calls() == daemons
    });
}

/// One client after another, until this time: whether each was served.
fn request_until(address: &str, end: Instant) -> Vec<bool> {
    let mut served = Vec::new();
    while Instant::now() < end {
        let mut client = connect_and_open(address);
        let answer = client.read_line();
        assert!(answer == "UP 1" || answer.starts_with("BUSY"), "one answer, not {answer:?}");
        served.push(answer == "UP 1");
        drop(client);
        std::thread::sleep(Duration::from_millis(10));
    }
    served
}

/// All watches fall silent, a server begins to drain, and discovery answers the watches that are opened anew 503 until
/// after the grace. Requests may go to no server then; once discovery answers they go to the other one.
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
        let addresses = daemons.iter().map(|daemon| &daemon.platform);
        let clients: Vec<_> =
            addresses.map(|address| scope.spawn(move || request_until(address, recovery))).collect();
        for client in clients {
            let served = client.join().expect("answered");
            assert!(served[0], "the list still holds when the watch falls silent");
        }
    });
    let allowed_until = silent_since + NOTIFIED_AFTER + DRAIN_GRACE + SOCKET_SLACK;
    let late = draining.last_arrival().map(|at| at.saturating_duration_since(allowed_until));
    assert_eq!(
        late,
        Some(Duration::ZERO),
        "a request arrived at the draining server so long after the grace"
    );

    discovery.set_reply(Reply::EndpointList);
    for daemon in &daemons {
        wait_until("clients are served again", || connect_and_open(&daemon.platform).read_line() == "UP 1");
    }
    assert!(other.last_arrival() > Some(recovery));
}

/// The connection to the server comes up only after what the silent watch missed counts.
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
    let mut client = connect_and_open(&daemon.platform);
    let allowed_until = silent_since + NOTIFIED_AFTER + DRAIN_GRACE + SOCKET_SLACK;
    std::thread::sleep(allowed_until.saturating_duration_since(Instant::now()));
    draining.empty_queue();

    assert!(client.read_line().starts_with("BUSY"), "no server is known to be ready");
    assert_eq!(daemon.metric("forwards"), 0);
}

/// A watch that is opened anew as soon as it is known to be silent brings the drain before it counts: nobody is refused.
#[test]
fn learns_of_a_drain_that_a_silent_watch_missed_before_it_counts() {
    std::thread::scope(|scope| {
        let late = Reply::LateEndpointList(Duration::from_millis(1200));
        let cases = [
            ("on_request", Reply::EndpointList, true),
            ("on_request", Reply::EndpointList, false),
            ("on_request", late, true),
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
                let counts_at = Instant::now() + NOTIFIED_AFTER;
                if drains {
                    discovery.publish("s-00000001", entry(&draining, "s-00000001", "draining"));
                }
                let served = request_until(&daemon.platform, counts_at + Duration::from_secs(1));

                assert!(served.iter().all(|served| *served), "{delivery}, {drains}: no request is refused");
                let late = draining.last_arrival().map(|at| at.saturating_duration_since(counts_at));
                assert_eq!(
                    late == Some(Duration::ZERO),
                    drains,
                    "{delivery}: a request came so late: {late:?}"
                );
            });
        }
    });
}

/// While discovery is down nothing changes that could count: the list stays in use, however old. And a watch whose answers
/// come late, as all do then, is none that has fallen silent.
#[test]
fn keeps_serving_by_its_list_while_discovery_is_down_or_slow() {
    type Outage = fn(&Discovery);
    let cases: [(&str, &str, Outage); 4] = [
        ("a silent agent", "pushed", |discovery| discovery.silence_open_calls(Reply::Silence)),
        ("a process that is gone", "on_request", |discovery| discovery.stop_listening()),
        ("answers that come late", "on_request", |discovery| {
            discovery.set_reply(Reply::LateEndpointList(Duration::from_millis(2400)));
        }),
        ("watches that end and 503", "on_request", |discovery| {
            discovery.reset_open_calls(Reply::Status(503));
        }),
    ];
    std::thread::scope(|scope| {
        for (what, delivery, begin_outage) in cases {
            scope.spawn(move || {
                let server = RecordingServer::start();
                let known = [endpoint("s-00000001", server.address, "ready")];
                let discovery = Discovery::serving(&[("s-00000001", known[0].clone())]);
                let daemon = start_daemon(&discovery, delivery, &known);
                wait_for_watches(&discovery, 1);

                begin_outage(&discovery);
                let end = Instant::now() + NOTIFIED_AFTER + Duration::from_secs(2);
                let served = request_until(&daemon.platform, end);

                assert!(served.iter().all(|served| *served), "{what}: no request is refused");
            });
        }
    });
}
