//! Rebalancing over sockets: a migrated client reconnects and is established at the server with free slots.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::fake_servers::discovery::{endpoint_list, Discovery, Reply};
use crate::fake_servers::{irc_config, Client, Daemon};

/// A platform server that accepts each request, reports a load, and echoes later lines.
struct PlatformServer {
    address: SocketAddr,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl PlatformServer {
    fn start(up: &'static str) -> PlatformServer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("the listener binds");
        let address = listener.local_addr().expect("the listener has an address");
        let streams = Arc::new(Mutex::new(Vec::new()));
        let recorded = streams.clone();
        std::thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let recorded = recorded.clone();
                std::thread::spawn(move || {
                    let copy = stream.try_clone().expect("the stream is cloned");
                    for line in BufReader::new(copy).lines().map_while(Result::ok) {
                        let is_request = line.starts_with("OPEN ");
                        let reply =
                            if is_request { format!("{up}\r\nLOAD 60000\r\n") } else { line + "\r\n" };
                        let _ = stream.write_all(reply.as_bytes());
                        if is_request {
                            recorded.lock().unwrap().push(stream.try_clone().expect("the stream is cloned"));
                        }
                    }
                });
            }
        });
        PlatformServer { address, streams }
    }

    /// Reports the time that a message takes, in milliseconds, on one established connection.
    fn report_message_time(&self, milliseconds: u32) {
        let mut streams = self.streams.lock().unwrap();
        // The connection that was established last is migrated last.
        if let Some(stream) = streams.last_mut() {
            let _ = stream.write_all(format!("LOAD {milliseconds}\r\n").as_bytes());
        }
    }
}

fn config(overloaded: &PlatformServer, fresh: &PlatformServer) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("the clock is past the epoch").as_millis();
    let entry = |name: &str, server: &PlatformServer, started: u128| {
        format!(
            r#"{{"instanceId": "{name}", "hostPort": "{}", "zone": "a", "lifecycle": "ready", "weight": 1.0, "startedAtMs": {started}}}"#,
            server.address
        )
    };
    // The second server is warm already, but was started only 10 s ago.
    let servers = [entry("s-00000001", overloaded, 0), entry("s-00000002", fresh, now - 10_000)].join(",");
    format!(
        r#"{{"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "5",
            "known": {{"generation": 1, "reset": true, "instances": [{servers}]}},
            "limits": {{"sockets": 300, "memory_mb": 32}},
            "settings": {{"discovery": "on_request", "zones": ["a"],
              "classes": [{{"name": "chat", "deadline": 3000, "objective": 800, "repeat": "repeatable"}}],
              "family-info": {{"tells-delay": true, "message-aim": [100]}},
              "invariants": {{"must-ask-in": 2000, "warm-up": 1000}},
              "limits": {{"connect-timeout": 1000, "try-limit": 6, "cancel": true, "retry-after": true}}}}}}"#
    )
}

/// Starts a discovery service without updates. An unavailable one would put all rebalancing on hold.
fn start_discovery() -> Discovery {
    let unchanged = endpoint_list(1, false, &[]);
    let discovery = Discovery::scripted(vec![Reply::Body(unchanged.clone())]);
    discovery.set_reply(Reply::LateBody(unchanged, Duration::from_secs(3)));
    discovery
}

/// Requests a connection. Returns the client and the answer.
fn request_connection(daemon: &Daemon, n: usize, fields: &str) -> (Client, String) {
    let mut client = Client::connect(&daemon.platform_address);
    client.send_line(&format!("OPEN id{n}{} key{n} c=chat,d=3000{fields}", fields.len()));
    let answer = client.read_line();
    (client, answer)
}

/// All clients are at one of two servers. Rebalancing must migrate one of them, and the other server must
/// accept it when it reconnects.
#[test]
fn migrates_a_client_of_an_overloaded_server_to_the_server_with_free_slots() {
    let (overloaded, fresh) = (PlatformServer::start("UP overloaded"), PlatformServer::start("UP fresh"));
    let discovery = start_discovery();
    let text = config(&overloaded, &fresh).replace("127.0.0.1:9", &discovery.address.to_string());
    let file = std::env::temp_dir().join(format!("connection-balancer-moves-{}.json", std::process::id()));
    std::fs::write(&file, r#"{"platform": {"on": true, "most_per_s": 20}}"#).expect("the file is written");
    let path = file.to_str().expect("the path is valid UTF-8").to_owned();
    let daemon = Daemon::start_with_arguments(&irc_config(&[], ""), Some(&text), &["--rebalance", &path]);
    // Connections that were established at one server before the daemon started.
    let mut clients: Vec<_> = (0..30).map(|n| request_connection(&daemon, n, ",at=s-00000001")).collect();
    assert!(clients.iter().all(|(_, answer)| answer == "UP overloaded"));
    let (sender, migrations) = std::sync::mpsc::channel();
    for (n, (client, _)) in clients.drain(..).enumerate() {
        let sender = sender.clone();
        std::thread::spawn(move || {
            let mut client = client;
            loop {
                match client.read_line().as_str() {
                    "" => return,
                    "MOVE" => {
                        // The test may have ended, since it waits for the first migration only.
                        let _ = sender.send(n);
                        return;
                    }
                    _ => {}
                }
            }
        });
    }
    // The message time of 45 ms is less than half of its objective of 100 ms, so that the policy alone
    // migrates no client.
    let mut migrated_client = None;
    for _ in 0..20 {
        overloaded.report_message_time(45);
        migrated_client = migrations.recv_timeout(Duration::from_secs(1)).ok();
        if migrated_client.is_some() {
            break;
        }
    }
    let n = migrated_client.expect("a client is migrated");
    let (mut client, answer) = request_connection(&daemon, n, ",again=1");
    assert_eq!(answer, "UP fresh");
    client.send_line("hello");
    client.expect_line("hello");
    let metrics = daemon.admin_call("telemetry");
    assert!(metrics.contains("edge_node.rebalance.platform.returned:1|c"), "{metrics}");
    let _ = std::fs::remove_file(file);
}
