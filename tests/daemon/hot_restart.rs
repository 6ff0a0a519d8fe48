//! Hot restart of a daemon: two processes, of which either may be lost on the way.

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::time::{Duration, Instant};

use connection_balancer::protocol::hot_restart::{encode, HandoverMessage};
use connection_balancer::routing::LogEvent;
use rustix::net::{connect, socket, AddressFamily, SocketAddrUnix, SocketType};

use crate::fake_servers::{irc_config, wait_until, Behaviour, Client, Daemon, Server};

/// A platform server for tests: accepts each connection and echoes its lines.
fn start_platform_server() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("the listener binds");
    let address = listener.local_addr().expect("the listener has an address");
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let mut piece = [0; 4096];
                while let Ok(n @ 1..) = stream.read(&mut piece) {
                    let open = piece[..n].starts_with(b"OPEN ");
                    let _ = stream.write_all(if open { b"UP 1\r\n" } else { &piece[..n] });
                }
            });
        }
    });
    address
}

/// The configuration of a platform front with two servers.
fn platform_config() -> String {
    let closed = std::net::TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port");
    format!(
        r#"{{"name": "n0", "listen": "127.0.0.1:0", "discovery": "{closed}", "seed": "5",
            "known": {{"generation": 1, "reset": true, "instances": [
              {{"instanceId": "s-00000001", "hostPort": "{}", "lifecycle": "ready", "weight": 1.0}},
              {{"instanceId": "s-00000002", "hostPort": "{}", "lifecycle": "ready", "weight": 1.0}}]}},
            "settings": {{"classes": [{{"name": "chat", "deadline": 9000, "repeat": "repeatable"}}],
              "limits": {{"connect-timeout": 2000, "try-limit": 6, "retry-after": true}}}}}}"#,
        start_platform_server(),
        start_platform_server()
    )
}

/// A client that requests a connection at the platform front.
fn connect_platform_client(daemon: &Daemon, id: u32) -> Client {
    let mut client = Client::connect(&daemon.platform);
    client.send_line(&format!("OPEN {id} 7f3a c=chat,d=9000"));
    client
}

fn outstanding(daemon: &Daemon) -> usize {
    let metrics = daemon.admin_call("telemetry");
    let line = metrics.lines().find_map(|line| line.strip_prefix("edge_node.outstanding:"));
    line.and_then(|line| line.strip_suffix("|g")?.parse().ok()).unwrap_or_else(|| panic!("{metrics}"))
}

/// No client notices, and the exclusions are handed over.
#[test]
fn keeps_clients_of_both_fronts_through_two_hot_restarts() {
    let irc = Server::start(Behaviour::Welcome);
    let mut old = Daemon::start(&irc_config(&[&irc], ""), Some(&platform_config()));
    wait_until("the old one is ready", || old.admin_call("readyz") == "YES\r\n");
    assert_eq!(old.admin_call("exclude s-00000002"), "YES\r\n");
    let mut clients: Vec<Client> = Vec::new();
    for n in 0..8 {
        // One after the other: each one that a server takes without a fault raises its ceiling for the next.
        clients.push(connect_platform_client(&old, n));
        assert_eq!(clients[n as usize].read_line(), "UP 1");
    }
    let mut irc_client = Client::register(&old.irc, "olga");
    irc_client.expect_line("001 olga");
    // One is in the middle of a line, and has to wait for its end.
    clients[0].stream().write_all(b"half").expect("written");
    std::thread::sleep(Duration::from_millis(50));
    let mut gone = Vec::new();
    for round in 1..3 {
        let new = old.start_successor();
        assert_eq!((&new.platform, &new.irc), (&old.platform, &old.irc), "one queue");
        wait_until("the new one is ready", || new.admin_call("readyz") == "YES\r\n");
        if round == 1 {
            wait_until("all but one are there", || outstanding(&new) == 8);
            clients[0].send_line(" and half");
            assert_eq!(clients[0].read_line(), "half and half");
        }
        wait_until("all are there", || outstanding(&new) == 9);
        // While both processes run, a call at either takes effect at both.
        assert_eq!(old.admin_call("include s-00000002"), "YES\r\n");
        assert!(new.admin_call("telemetry").contains("ejected:0|g"));
        assert_eq!(new.admin_call("exclude s-00000002"), "YES\r\n");
        assert!(old.admin_call("telemetry").contains("ejected:1|g"));
        let since = Instant::now();
        old.signal("-TERM");
        assert!(old.wait_for_exit());
        assert!(since.elapsed() < Duration::from_secs(3), "with no connection it may exit at once");
        // Dropped now, it would remove the folder that all of them share.
        gone.push(std::mem::replace(&mut old, new));
        for (n, client) in clients.iter_mut().enumerate() {
            client.send_line(&format!("M {n}"));
            assert_eq!(client.read_line(), format!("M {n}"));
        }
        irc_client.send_line("PRIVMSG #a :still there");
        irc_client.expect_line("still there");
        assert_eq!(connect_platform_client(&old, 100 + round).read_line(), "UP 1");
    }
    assert!(old.admin_call("telemetry").contains("ejected:1|g"), "excluded after two hot restarts");
    old.signal("-TERM");
    clients.iter_mut().for_each(|client| assert_eq!(client.read_to_end(), "MOVE\r\n"));
    irc_client.expect_line(" 010 olga ");
}

#[test]
fn keeps_exclusions_of_a_predecessor_that_hangs_or_was_killed() {
    for signal in ["-STOP", "-KILL"] {
        // With a replicated map, the exclusions would be kept there.
        let store = r#""store": {"node": "n1", "listen": "127.0.0.1:0"}, "#;
        let old = Daemon::start(&irc_config(&[], "").replace(store, ""), Some(&platform_config()));
        wait_until("it is ready", || old.admin_call("readyz") == "YES\r\n");
        assert_eq!(old.admin_call("exclude s-00000001"), "YES\r\n");
        old.signal(signal);
        let since = Instant::now();
        let new = old.start_successor();
        wait_until("the new one is ready", || new.admin_call("readyz") == "YES\r\n");
        assert!(since.elapsed() < Duration::from_secs(6), "{signal}: ready after {:?}", since.elapsed());
        assert!(new.admin_call("telemetry").contains("ejected:1|g"), "{signal}: the exclusion is lost");
        assert_eq!(connect_platform_client(&new, 1).read_line(), "UP 1");
        if signal == "-STOP" {
            old.signal("-CONT");
        }
    }
}

/// A connection to the socket at which a daemon waits for its successor.
fn connect_as_successor(daemon: &Daemon) -> OwnedFd {
    let entries = std::fs::read_dir(&daemon.folder).expect("a folder").flatten();
    let path = entries.map(|entry| entry.path()).find(|path| path.extension().is_some_and(|e| e == "sock"));
    let made = socket(AddressFamily::UNIX, SocketType::SEQPACKET, None).expect("a socket");
    connect(&made, &SocketAddrUnix::new(path.expect("a place")).expect("a name")).expect("it listens");
    made
}

/// A successor may ask for the state and then exit, hang, or send what is no message.
#[test]
fn goes_on_serving_when_a_successor_exits_hangs_or_sends_invalid_messages() {
    let old = Daemon::start(&irc_config(&[], ""), Some(&platform_config()));
    wait_until("it is ready", || old.admin_call("readyz") == "YES\r\n");
    let mut established = connect_platform_client(&old, 0);
    assert_eq!(established.read_line(), "UP 1");
    let sent: [&[Vec<u8>]; 5] = [
        &[],
        &[b"GET / HTTP/1.1\r\n\r\n".to_vec()],
        &[encode(&HandoverMessage::RequestState).expect("fits")],
        &[encode(&HandoverMessage::RequestState).expect("fits"), b"nonsense".to_vec()],
        &[
            encode(&HandoverMessage::RequestState).expect("fits"),
            encode(&HandoverMessage::Done).expect("fits"),
        ],
    ];
    for (n, messages) in sent.iter().enumerate() {
        let successor = connect_as_successor(&old);
        for message in *messages {
            rustix::net::send(&successor, message, rustix::net::SendFlags::NOSIGNAL).expect("sent");
        }
        if n == 2 {
            // It has asked, and hangs: the daemon does not wait for it for ever.
            old.log_line("hot restart aborted: the successor does not serve in time");
        }
        drop(successor);
        assert_eq!(connect_platform_client(&old, 1 + n as u32).read_line(), "UP 1", "after {n}");
    }
    established.send_line("M 1");
    assert_eq!(established.read_line(), "M 1");
    // Then a real successor starts.
    let new = old.start_successor();
    wait_until("it is ready", || new.admin_call("readyz") == "YES\r\n");
    established.send_line("M 2");
    assert_eq!(established.read_line(), "M 2");
    drop(new);
    // Killed, it loses its clients; those that connect then are served by its predecessor.
    old.log_line(&LogEvent::SuccessorLost.to_string());
    assert_eq!(connect_platform_client(&old, 50).read_line(), "UP 1");
}
