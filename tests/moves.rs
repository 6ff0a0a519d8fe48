//! Rebalancing over sockets: a client that is moved comes back and stands at the server that has room.

mod fake_servers;

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use fake_servers::{irc_config, Client, Daemon};

/// A shop server that answers `OPEN`, tells each connection's load, and sends lines back.
struct Shop {
    address: SocketAddr,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Shop {
    fn start(up: &'static str) -> Shop {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let streams = Arc::new(Mutex::new(Vec::new()));
        let kept = streams.clone();
        std::thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let kept = kept.clone();
                std::thread::spawn(move || {
                    let copy = stream.try_clone().expect("a clone");
                    for line in BufReader::new(copy).lines().map_while(Result::ok) {
                        let open = line.starts_with("OPEN ");
                        let answer = if open { format!("{up}\r\nLOAD 60000\r\n") } else { line + "\r\n" };
                        let _ = stream.write_all(answer.as_bytes());
                        if open {
                            kept.lock().unwrap().push(stream.try_clone().expect("a clone"));
                        }
                    }
                });
            }
        });
        Shop { address, streams }
    }

    /// Tells on one connection that stands how many milliseconds a message takes.
    fn slow(&self, ms: u32) {
        let mut streams = self.streams.lock().unwrap();
        // The last to come is the last to go.
        if let Some(stream) = streams.last_mut() {
            let _ = stream.write_all(format!("LOAD {ms}\r\n").as_bytes());
        }
    }
}

fn config(pressed: &Shop, fresh: &Shop) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock").as_millis();
    let entry = |name: &str, shop: &Shop, started: u128| {
        format!(
            r#"{{"instanceId": "{name}", "hostPort": "{}", "zone": "a", "lifecycle": "ready", "weight": 1.0, "startedAtMs": {started}}}"#,
            shop.address
        )
    };
    // Warm already, but started lately.
    let servers = [entry("s-00000001", pressed, 0), entry("s-00000002", fresh, now - 10_000)].join(",");
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

/// Danger: discovery that cannot be had holds every move; here it can, and nothing happens on it.
fn discovery() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let mut first = true;
                for line in BufReader::new(stream.try_clone().expect("a clone")).lines().map_while(Result::ok)
                {
                    if line.is_empty() {
                        if !std::mem::take(&mut first) {
                            std::thread::sleep(Duration::from_secs(3));
                        }
                        let body = r#"{"generation": 1, "reset": false, "instances": []}"#;
                        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                        let _ = stream.write_all((head + body).as_bytes());
                    }
                }
            });
        }
    });
    address
}

fn open(daemon: &Daemon, n: usize, more: &str) -> (Client, String) {
    let mut client = Client::connect(&daemon.platform);
    client.say(&format!("OPEN id{n}{} key{n} c=chat,d=3000{more}", more.len()));
    let up = client.line();
    (client, up)
}

#[test]
fn a_client_of_a_pressed_host_is_moved_comes_back_and_stands_where_there_is_room() {
    let (pressed, fresh) = (Shop::start("UP pressed"), Shop::start("UP fresh"));
    let text = config(&pressed, &fresh).replace("127.0.0.1:9", &discovery().to_string());
    let file = std::env::temp_dir().join(format!("connection-balancer-moves-{}.json", std::process::id()));
    std::fs::write(&file, r#"{"platform": {"on": true, "most_per_s": 20}}"#).expect("written");
    let path = file.to_str().expect("a name").to_owned();
    let daemon = Daemon::start_with(&irc_config(&[], ""), Some(&text), &["--rebalance", &path]);
    // Those who stood before, all at one server.
    let mut clients: Vec<_> = (0..30).map(|n| open(&daemon, n, ",at=s-00000001")).collect();
    assert!(clients.iter().all(|(_, up)| up == "UP pressed"));
    let (seen, at) = std::sync::mpsc::channel();
    for (n, (client, _)) in clients.drain(..).enumerate() {
        let seen = seen.clone();
        std::thread::spawn(move || {
            let mut client = client;
            loop {
                match client.line().as_str() {
                    "" => return,
                    "MOVE" => {
                        // The test may have what it wants already.
                        let _ = seen.send(n);
                        return;
                    }
                    _ => {}
                }
            }
        });
    }
    // A third of the objective and a little: the module by itself moves nobody for that.
    let mut moved = None;
    for _ in 0..20 {
        pressed.slow(45);
        moved = at.recv_timeout(Duration::from_secs(1)).ok();
        if moved.is_some() {
            break;
        }
    }
    let n = moved.expect("somebody is moved");
    let (mut client, up) = open(&daemon, n, ",again=1");
    assert_eq!(up, "UP fresh");
    client.say("hello");
    client.expect("hello");
    let told = daemon.admin_call("telemetry");
    assert!(told.contains("edge_node.rebalance.platform.returned:1|c"), "{told}");
    let _ = std::fs::remove_file(file);
}
