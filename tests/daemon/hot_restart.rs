//! Hot restart of a daemon: the state and the connections pass to a successor, and either process may fail
//! meanwhile.

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::time::{Duration, Instant};

use connection_balancer::protocol::hot_restart::{encode, HandoverMessage};
use connection_balancer::routing::LogEvent;
use rustix::net::{connect, socket, AddressFamily, SocketAddrUnix, SocketType};

use crate::fake_servers::{irc_config, wait_until, Client, Daemon, FakeIrcServer, RegistrationReply};

/// Starts a platform server that accepts each request and echoes later lines. Returns its address.
fn start_platform_server() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("the listener binds");
    let address = listener.local_addr().expect("the listener has an address");
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let mut piece = [0; 4096];
                while let Ok(n @ 1..) = stream.read(&mut piece) {
                    let is_request = piece[..n].starts_with(b"OPEN ");
                    let _ = stream.write_all(if is_request { b"UP 1\r\n" } else { &piece[..n] });
                }
            });
        }
    });
    address
}

/// Returns a platform configuration with two servers. Its discovery is unreachable.
fn platform_config() -> String {
    let closed_port =
        std::net::TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port is free");
    format!(
        r#"{{"name": "n0", "listen": "127.0.0.1:0", "discovery": "{closed_port}", "seed": "5",
            "known": {{"generation": 1, "reset": true, "instances": [
              {{"instanceId": "s-00000001", "hostPort": "{}", "lifecycle": "ready", "weight": 1.0}},
              {{"instanceId": "s-00000002", "hostPort": "{}", "lifecycle": "ready", "weight": 1.0}}]}},
            "settings": {{"classes": [{{"name": "chat", "deadline": 9000, "repeat": "repeatable"}}],
              "limits": {{"connect-timeout": 2000, "try-limit": 6, "retry-after": true}}}}}}"#,
        start_platform_server(),
        start_platform_server()
    )
}

/// Connects a client that requests a connection at the platform's front.
fn connect_platform_client(daemon: &Daemon, id: u32) -> Client {
    let mut client = Client::connect(&daemon.platform_address);
    client.send_line(&format!("OPEN {id} 7f3a c=chat,d=9000"));
    client
}

fn outstanding(daemon: &Daemon) -> usize {
    let metrics = daemon.admin_call("telemetry");
    let line = metrics.lines().find_map(|line| line.strip_prefix("edge_node.outstanding:"));
    line.and_then(|line| line.strip_suffix("|g")?.parse().ok()).unwrap_or_else(|| panic!("{metrics}"))
}

/// Two hot restarts follow each other. Clients of both fronts must stay connected without losing a line, and
/// the exclusions must be handed over.
#[test]
fn keeps_clients_of_both_fronts_through_two_hot_restarts() {
    let irc = FakeIrcServer::start(RegistrationReply::Welcome);
    let mut serving = Daemon::start(&irc_config(&[&irc], ""), Some(&platform_config()));
    wait_until("the first daemon is ready", || serving.admin_call("readyz") == "YES\r\n");
    assert_eq!(serving.admin_call("exclude s-00000002"), "YES\r\n");
    let mut clients: Vec<Client> = Vec::new();
    for n in 0..8 {
        // The clients connect one by one: each that a server accepts without a fault raises its ceiling for
        // the next.
        clients.push(connect_platform_client(&serving, n));
        assert_eq!(clients[n as usize].read_line(), "UP 1");
    }
    let mut irc_client = Client::register(&serving.irc_address, "olga");
    irc_client.expect_line("001 olga");
    // The first client is in the middle of a line. Its connection is transferred only at the end of the line.
    clients[0].stream().write_all(b"half").expect("the bytes are written");
    std::thread::sleep(Duration::from_millis(50));
    let mut exited_daemons = Vec::new();
    for round in 1..3 {
        let successor = serving.start_successor();
        let addresses = (&successor.platform_address, &successor.irc_address);
        assert_eq!(
            addresses,
            (&serving.platform_address, &serving.irc_address),
            "both listen on the same sockets"
        );
        wait_until("the successor is ready", || successor.admin_call("readyz") == "YES\r\n");
        if round == 1 {
            wait_until("all connections but one are transferred", || outstanding(&successor) == 8);
            clients[0].send_line(" and half");
            assert_eq!(clients[0].read_line(), "half and half");
        }
        wait_until("all connections are transferred", || outstanding(&successor) == 9);
        // While both processes run, an admin call at either takes effect at both.
        assert_eq!(serving.admin_call("include s-00000002"), "YES\r\n");
        assert!(successor.admin_call("telemetry").contains("ejected:0|g"));
        assert_eq!(successor.admin_call("exclude s-00000002"), "YES\r\n");
        assert!(serving.admin_call("telemetry").contains("ejected:1|g"));
        let since = Instant::now();
        serving.signal("-TERM");
        assert!(serving.wait_for_exit());
        assert!(since.elapsed() < Duration::from_secs(3), "a process without connections may exit at once");
        // Dropping the exited daemon would remove the temporary folder that all of them share.
        exited_daemons.push(std::mem::replace(&mut serving, successor));
        for (n, client) in clients.iter_mut().enumerate() {
            client.send_line(&format!("M {n}"));
            assert_eq!(client.read_line(), format!("M {n}"));
        }
        irc_client.send_line("PRIVMSG #a :still there");
        irc_client.expect_line("still there");
        assert_eq!(connect_platform_client(&serving, 100 + round).read_line(), "UP 1");
    }
    assert!(serving.admin_call("telemetry").contains("ejected:1|g"), "the exclusion is lost");
    serving.signal("-TERM");
    clients.iter_mut().for_each(|client| assert_eq!(client.read_to_end(), "MOVE\r\n"));
    irc_client.expect_line(" 010 olga ");
}

/// A predecessor that hangs or was killed exports no state. Its exclusions must still apply, and the
/// successor must not wait long for it.
#[test]
fn keeps_exclusions_of_a_predecessor_that_hangs_or_was_killed() {
    for signal in ["-STOP", "-KILL"] {
        // With a replicated map, the exclusions would be kept in it.
        let store = r#""store": {"node": "n1", "listen": "127.0.0.1:0"}, "#;
        let predecessor = Daemon::start(&irc_config(&[], "").replace(store, ""), Some(&platform_config()));
        wait_until("the predecessor is ready", || predecessor.admin_call("readyz") == "YES\r\n");
        assert_eq!(predecessor.admin_call("exclude s-00000001"), "YES\r\n");
        predecessor.signal(signal);
        let since = Instant::now();
        let successor = predecessor.start_successor();
        wait_until("the successor is ready", || successor.admin_call("readyz") == "YES\r\n");
        assert!(since.elapsed() < Duration::from_secs(6), "{signal}: ready after {:?}", since.elapsed());
        assert!(successor.admin_call("telemetry").contains("ejected:1|g"), "{signal}: the exclusion is lost");
        assert_eq!(connect_platform_client(&successor, 1).read_line(), "UP 1");
        if signal == "-STOP" {
            predecessor.signal("-CONT");
        }
    }
}

/// Connects to the hot-restart socket of a daemon, as its successor would.
fn connect_as_successor(daemon: &Daemon) -> OwnedFd {
    let entries = std::fs::read_dir(&daemon.folder).expect("the folder is read").flatten();
    let path = entries.map(|entry| entry.path()).find(|path| path.extension().is_some_and(|e| e == "sock"));
    let connection = socket(AddressFamily::UNIX, SocketType::SEQPACKET, None).expect("the socket is created");
    let address = SocketAddrUnix::new(path.expect("the socket is in the folder")).expect("the path fits");
    connect(&connection, &address).expect("the daemon listens");
    connection
}

/// A successor may request the state and then exit, hang, or send an invalid message. The daemon must
/// continue to serve, and a later successor must still be able to replace it.
#[test]
fn continues_serving_when_a_successor_exits_hangs_or_sends_invalid_messages() {
    let predecessor = Daemon::start(&irc_config(&[], ""), Some(&platform_config()));
    wait_until("the predecessor is ready", || predecessor.admin_call("readyz") == "YES\r\n");
    let mut established = connect_platform_client(&predecessor, 0);
    assert_eq!(established.read_line(), "UP 1");
    let sent: [&[Vec<u8>]; 5] = [
        &[],
        &[b"GET / HTTP/1.1\r\n\r\n".to_vec()],
        &[encode(&HandoverMessage::RequestState).expect("the message fits")],
        &[encode(&HandoverMessage::RequestState).expect("the message fits"), b"nonsense".to_vec()],
        &[
            encode(&HandoverMessage::RequestState).expect("the message fits"),
            encode(&HandoverMessage::Done).expect("the message fits"),
        ],
    ];
    for (n, messages) in sent.iter().enumerate() {
        let successor = connect_as_successor(&predecessor);
        for message in *messages {
            rustix::net::send(&successor, message, rustix::net::SendFlags::NOSIGNAL)
                .expect("the message is sent");
        }
        if n == 2 {
            // The successor has requested the state and hangs. The daemon must not wait for it forever.
            predecessor.log_line("hot restart aborted: the successor does not serve in time");
        }
        drop(successor);
        assert_eq!(connect_platform_client(&predecessor, 1 + n as u32).read_line(), "UP 1", "after case {n}");
    }
    established.send_line("M 1");
    assert_eq!(established.read_line(), "M 1");
    // A real successor starts.
    let successor = predecessor.start_successor();
    wait_until("the successor is ready", || successor.admin_call("readyz") == "YES\r\n");
    established.send_line("M 2");
    assert_eq!(established.read_line(), "M 2");
    drop(successor);
    // A successor that is killed loses its clients. Clients that connect afterwards are served by its
    // predecessor.
    predecessor.log_line(&LogEvent::SuccessorLost.to_string());
    assert_eq!(connect_platform_client(&predecessor, 50).read_line(), "UP 1");
}
