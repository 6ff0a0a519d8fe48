//! Probes, which ask servers for their load.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use super::{config, connect_and_open, Lines};
use crate::fake_servers::discovery::{endpoint, endpoint_list, Discovery};
use crate::fake_servers::{irc_config, wait_until, Daemon};

/// Starts a server that replies to probes with these answers in turn, or never if there are none. Returns its
/// address, the received lines, and the number of connections that carried probes.
fn start_probed_server(answers: &'static [&'static str]) -> (SocketAddr, Lines, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("the listener binds");
    let (address, lines) = (listener.local_addr().expect("the listener has an address"), Lines::default());
    let (recorded, probed_connections) = (lines.clone(), Arc::new(AtomicUsize::new(0)));
    let (probed, next_answer) = (probed_connections.clone(), Arc::new(AtomicUsize::new(0)));
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let (recorded, probed, next_answer) = (recorded.clone(), probed.clone(), next_answer.clone());
            std::thread::spawn(move || {
                let mut probes = 0;
                for line in BufReader::new(stream.try_clone().expect("the stream is cloned"))
                    .lines()
                    .map_while(Result::ok)
                {
                    recorded.lock().unwrap().push(line.clone());
                    if line != "STATS" {
                        let _ = stream.write_all(b"UP 1\r\n");
                        continue;
                    }
                    if probes == 0 {
                        probed.fetch_add(1, Ordering::Relaxed);
                    }
                    probes += 1;
                    let answer =
                        answers.get(next_answer.fetch_add(1, Ordering::Relaxed) % answers.len().max(1));
                    if let Some(answer) = answer {
                        let _ = stream.write_all(format!("{answer}\r\n").as_bytes());
                    }
                }
            });
        }
    });
    (address, lines, probed_connections)
}

fn start_probing_daemon(server: SocketAddr) -> Daemon {
    let discovery = Discovery::scripted(Vec::new());
    let known = endpoint_list(1, true, &[endpoint("s-00000001", server, "ready")]);
    let members = r#""family-info": {"report-x0": "load"}, "reporting": {"how": "on_probe", "fields": ["x0"]}, "zones""#;
    let text = config(discovery.address, &known).replacen(r#""zones""#, members, 1);
    let text = text.replacen(
        r#""limits": {"connect-timeout": 2000"#,
        r#""limits": {"probing": true, "connect-timeout": 50"#,
        1,
    );
    Daemon::start(&irc_config(&[], ""), Some(&text))
}

/// Where the settings enable probes, the balancer asks a server for its load. All probes must use one cached
/// connection, since a new connection for each would cost the server more than the probe.
#[test]
fn probes_servers_over_a_cached_connection() {
    let (server, lines, connections) = start_probed_server(&["PONG x0=0.3,errors_per_s=0,utilization=0.2"]);
    let daemon = start_probing_daemon(server);

    let probe_count = || lines.lock().unwrap().iter().filter(|line| *line == "STATS").count();
    let mut clients = Vec::new();
    wait_until("the server is probed five times", || {
        clients.push(connect_and_open(&daemon));
        assert_eq!(clients.last_mut().expect("a client has connected").read_line(), "UP 1");
        probe_count() >= 5
    });

    assert_eq!(connections.load(Ordering::Relaxed), 1, "connections that carried probes");
}

/// A server may answer a probe with invalid values, nothing or a refusal. Its clients must still be served,
/// and an invalid answer must change nothing.
#[test]
fn serves_clients_whatever_servers_reply_to_probes() {
    let answers: [&'static [&'static str]; 3] = [&["PONG x0=NaN", "UP 7"], &[], &["NO"]];
    for answers in answers {
        let (server, lines, _) = start_probed_server(answers);
        let daemon = start_probing_daemon(server);

        let expected_probes = answers.len().max(1);
        let mut clients = Vec::new();
        wait_until("the server is probed", || {
            clients.push(connect_and_open(&daemon));
            assert_eq!(clients.last_mut().expect("a client has connected").read_line(), "UP 1");
            lines.lock().unwrap().iter().filter(|line| *line == "STATS").count() >= expected_probes
        });

        assert_eq!(connect_and_open(&daemon).read_line(), "UP 1", "after {answers:?}");
    }
}
