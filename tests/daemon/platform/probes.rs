//! Probes of servers for their load.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use super::{config, connect_and_open, Lines};
use crate::fake_servers::discovery::{endpoint, endpoint_list, Discovery};
use crate::fake_servers::{irc_config, wait_until, Daemon};

/// A server that replies to probes with these in turn, or never. Returns its address, the lines that it was sent, and
/// how many of its connections carried probes.
fn start_probed_server(answers: &'static [&'static str]) -> (SocketAddr, Lines, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("the listener binds");
    let (address, lines) = (listener.local_addr().expect("the listener has an address"), Lines::default());
    let (recorded, probing) = (lines.clone(), Arc::new(AtomicUsize::new(0)));
    let (count, next) = (probing.clone(), Arc::new(AtomicUsize::new(0)));
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let (recorded, count, next) = (recorded.clone(), count.clone(), next.clone());
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
                        count.fetch_add(1, Ordering::Relaxed);
                    }
                    probes += 1;
                    let answer = answers.get(next.fetch_add(1, Ordering::Relaxed) % answers.len().max(1));
                    if let Some(answer) = answer {
                        let _ = stream.write_all(format!("{answer}\r\n").as_bytes());
                    }
                }
            });
        }
    });
    (address, lines, probing)
}

fn start_probing_daemon(shop: SocketAddr) -> Daemon {
    let discovery = Discovery::scripted(Vec::new());
    let known = endpoint_list(1, true, &[endpoint("s-00000001", shop, "ready")]);
    let more = r#""family-info": {"report-x0": "load"}, "reporting": {"how": "on_probe", "fields": ["x0"]}, "zones""#;
    let text = config(discovery.address, &known).replacen(r#""zones""#, more, 1);
    let text = text.replacen(
        r#""limits": {"connect-timeout": 2000"#,
        r#""limits": {"probing": true, "connect-timeout": 50"#,
        1,
    );
    Daemon::start(&irc_config(&[], ""), Some(&text))
}

/// Where the settings ask for it a server is asked for its load, on one connection that is kept for the next probe.
#[test]
fn probes_servers_over_a_cached_connection() {
    let (shop, lines, connections) = start_probed_server(&["PONG x0=0.3,errors_per_s=0,utilization=0.2"]);
    let daemon = start_probing_daemon(shop);

    let count = || lines.lock().unwrap().iter().filter(|line| *line == "STATS").count();
    let mut clients = Vec::new();
    wait_until("it was probed five times", || {
        clients.push(connect_and_open(&daemon));
        assert_eq!(clients.last_mut().expect("one").read_line(), "UP 1");
        count() >= 5
    });

    assert_eq!(connections.load(Ordering::Relaxed), 1, "connections that carried probes");
}

/// Whatever a server replies to a probe, its clients are served, and an invalid reply changes nothing.
#[test]
fn serves_clients_whatever_servers_reply_to_probes() {
    let answers: [&'static [&'static str]; 3] = [&["PONG x0=NaN", "UP 7"], &[], &["NO"]];
    for answers in answers {
        let (shop, lines, _) = start_probed_server(answers);
        let daemon = start_probing_daemon(shop);

        let wanted = answers.len().max(1);
        let mut clients = Vec::new();
        wait_until("it was probed", || {
            clients.push(connect_and_open(&daemon));
            assert_eq!(clients.last_mut().expect("one").read_line(), "UP 1");
            lines.lock().unwrap().iter().filter(|line| *line == "STATS").count() >= wanted
        });

        assert_eq!(connect_and_open(&daemon).read_line(), "UP 1", "after {answers:?}");
    }
}
