//! Tests of the platform's front from end to end, with fake platform servers and a fake discovery.

mod clients;
mod endpoint_list;
mod gossip;
mod probes;

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use crate::fake_servers::{irc_config, Client, Daemon};

/// Limits of the process in [`config`].
pub(crate) const LIMITS: &str = r#"{"sockets": 160, "memory_mb": 32}"#;

/// The lines that a fake server has received.
type Lines = Arc<Mutex<Vec<String>>>;

/// Starts a platform server that accepts each request with the line `up` and echoes later lines. A silent one
/// sends nothing after `up`. The received lines are recorded, and `end` at the end of each connection.
fn start_server(up: &'static str, is_silent: bool) -> (SocketAddr, Lines) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("the listener binds");
    let (address, lines) = (listener.local_addr().expect("the listener has an address"), Lines::default());
    let recorded = lines.clone();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let recorded = recorded.clone();
            std::thread::spawn(move || {
                for line in BufReader::new(stream.try_clone().expect("the stream is cloned"))
                    .lines()
                    .map_while(Result::ok)
                {
                    recorded.lock().unwrap().push(line.clone());
                    let is_request = line.starts_with("OPEN ");
                    let reply = if is_request { up } else { &line };
                    if is_request || !is_silent {
                        let _ = stream.write_all(format!("{reply}\r\n").as_bytes());
                    }
                }
                recorded.lock().unwrap().push("end".to_owned());
            });
        }
    });
    (address, lines)
}

/// Returns a platform configuration. `known` is the endpoint list that the daemon has before it calls
/// discovery.
pub(crate) fn config(discovery: SocketAddr, known: &str) -> String {
    format!(
        r#"{{"name": "n0", "listen": "127.0.0.1:0", "discovery": "{discovery}", "seed": "5", "known": {known}, "limits": {LIMITS},
            "settings": {{"discovery": "on_request", "zones": ["a"],
              "classes": [{{"name": "chat", "deadline": 3000, "repeat": "repeatable"}}],
              "invariants": {{"must-ask-in": 2000}},
              "limits": {{"connect-timeout": 2000, "try-limit": 6, "cancel": true, "retry-after": true}}}}}}"#
    )
}

pub(crate) fn start_daemon(discovery: SocketAddr, known: &str) -> Daemon {
    Daemon::start(&irc_config(&[], ""), Some(&config(discovery, known)))
}

pub(crate) fn connect_and_open(daemon: &Daemon) -> Client {
    static NEXT_ID: AtomicUsize = AtomicUsize::new(0);
    let mut client = Client::connect(&daemon.platform_address);
    client.send_line(&format!("OPEN id{} 7f3a c=chat,d=3000", NEXT_ID.fetch_add(1, Ordering::Relaxed)));
    client
}
