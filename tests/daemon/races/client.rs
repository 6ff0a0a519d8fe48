//! Clients that leave while they are placed, send too much, never close, or send their first line at the last
//! moment.

use std::io::Write;
use std::time::Duration;

use super::{establish, open_and_wait, wait_until_idle, TestSettings};
use crate::fake_servers::{irc_config, reset_connection, wait_until, Client, Daemon, ManualServer};

/// Waits for an attempt at one of the servers, and returns the server's end of it.
fn accept_at_any(servers: &[ManualServer]) -> Client {
    let mut server_end = None;
    wait_until("an attempt arrives", || {
        server_end = servers.iter().find_map(ManualServer::try_accept);
        server_end.is_some()
    });
    server_end.expect("an attempt was accepted")
}

/// The client closes or resets its connection in the wake-up in which its attempt connects. Its request must
/// not be forwarded.
#[test]
fn does_not_forward_a_client_that_left_before_its_attempt_connected() {
    for resets in [false, true] {
        let mut server = ManualServer::start_with_full_queue();
        let (daemon, _discovery) = TestSettings::default().start(&[&server]);

        let client = open_and_wait(&daemon);
        daemon.suspend();
        match resets {
            true => reset_connection(client.into_stream()),
            false => drop(client),
        }
        server.empty_queue();
        let mut server_end = server.accept();
        daemon.resume();

        assert_eq!(server_end.read_to_end(), "", "forwarded for a client that had left (reset: {resets})");
        wait_until_idle(&daemon);
        assert_eq!(daemon.metric("forwards"), 0);
    }
}

/// A client leaves while the connect of its attempt is in flight. The connect must be cancelled, so that the
/// next connection at the server is another client's.
#[test]
fn cancels_the_connect_of_a_client_that_leaves() {
    let mut server = ManualServer::start_with_full_queue();
    let (daemon, _discovery) = TestSettings::default().start(&[&server]);

    drop(open_and_wait(&daemon));
    wait_until_idle(&daemon);
    server.empty_queue();
    // The next connection, and the first line on it, are another client's.
    let mut next_client = open_and_wait(&daemon);
    let mut server_end = server.accept();
    assert!(server_end.read_line().starts_with("OPEN "));
    server_end.send_line("UP 2");

    assert_eq!(next_client.read_line(), "UP 2");
    assert_eq!(daemon.metric("forwards"), 1);
}

/// The client leaves and its attempt is reset in one wake-up. The request must not be retried at the other
/// server.
#[test]
fn does_not_retry_for_a_client_that_leaves_as_its_attempt_breaks() {
    let servers = [ManualServer::start(), ManualServer::start()];
    let (daemon, _discovery) = TestSettings::default().start(&[&servers[0], &servers[1]]);

    let client = open_and_wait(&daemon);
    let mut server_end = accept_at_any(&servers);
    assert!(server_end.read_line().starts_with("OPEN "));
    daemon.suspend();
    drop(client);
    reset_connection(server_end.into_stream());
    daemon.resume();
    wait_until_idle(&daemon);
    assert_eq!(daemon.metric("forwards"), 1);
    for mut retry_end in servers.iter().filter_map(ManualServer::try_accept) {
        assert_eq!(retry_end.read_to_end(), "");
    }
}

/// The lines that the client sends before it is established fill the buffer. A balancer that stopped reading
/// at that point would not see that the client has left.
#[test]
fn does_not_retry_for_an_irc_client_that_floods_and_leaves_before_it_is_established() {
    let servers = [ManualServer::start(), ManualServer::start()];
    let server = |n: usize| format!(r#"{{"name": "irc-{n}", "address": "{}"}}"#, servers[n].address);
    let members = format!(r#", "hosts": [{}, {}], "class": {{"give_up_ms": 100000}}"#, server(0), server(1));
    let daemon = Daemon::start(&irc_config(&[], "").replace(r#", "hosts": []"#, &members), None);

    let client = Client::register(&daemon.irc_address, "ann");
    let mut server_end = accept_at_any(&servers);
    server_end.expect_line("USER");
    let lines = "PRIVMSG #a :b\r\n".repeat(6000);
    // The balancer may close the connection before all is sent.
    let _ = client.stream().write_all(lines.as_bytes());
    drop(client);
    wait_until_idle(&daemon);
    server_end.read_to_end();

    assert!(servers.iter().all(|server| server.try_accept().is_none()), "retried for a client that had left");
}

/// A client of the platform has to wait for an answer to its first line. One that sends more receives an
/// error, and its request must not be retried at the other server.
#[test]
fn does_not_retry_for_a_client_that_floods_and_leaves_before_it_is_established() {
    let servers = [ManualServer::start(), ManualServer::start()];
    let (daemon, _discovery) = TestSettings::default().start(&[&servers[0], &servers[1]]);

    let client = open_and_wait(&daemon);
    let mut server_end = accept_at_any(&servers);
    // The balancer may close the connection before all is sent.
    let _ = client.stream().write_all(&[b'x'; 1 << 20]);
    drop(client);
    wait_until_idle(&daemon);
    server_end.read_to_end();

    assert!(servers.iter().all(|server| server.try_accept().is_none()), "retried for a client that had left");
}

/// An IRC client sends QUIT and leaves in the wake-up in which its attempt connects. Nothing may be forwarded
/// for it.
#[test]
fn does_not_forward_an_irc_client_that_quits_before_its_attempt_connected() {
    let mut server = ManualServer::start_with_full_queue();
    let hosts = format!(r#", "hosts": [{{"name": "irc-1", "address": "{}"}}]"#, server.address);
    let members = format!(r#"{hosts}, "limits": {{"connect_ms": 9000}}"#);
    let daemon = Daemon::start(&irc_config(&[], "").replace(r#", "hosts": []"#, &members), None);

    let mut client = Client::register(&daemon.irc_address, "ann");
    wait_until("the request is outstanding", || daemon.metric("outstanding") == 1);
    daemon.suspend();
    client.send_line("QUIT :bye");
    drop(client);
    server.empty_queue();
    let mut server_end = server.accept();
    daemon.resume();

    assert_eq!(server_end.read_to_end(), "");
    wait_until_idle(&daemon);
}

/// Hundreds of clients keep their connections open after an error answer. They must not use up the
/// descriptors that other clients need.
#[test]
fn serves_clients_while_hundreds_never_close() {
    let server = ManualServer::start();
    let (daemon, _discovery) = TestSettings::default().start(&[&server]);

    // More than the 160 descriptors that the daemon may have.
    let open_clients: Vec<Client> = (0..250)
        .map(|n| {
            let mut client = Client::connect(&daemon.platform_address);
            client.send_line(if n % 2 == 0 { "NONSENSE" } else { "OPEN x 7f3a c=nothing,d=900" });
            client
        })
        .collect();
    let (_client, _server_end) = establish(&daemon, &server);
    drop(open_clients);
}

/// The client's first line arrives and its request timeout fires in one wake-up. Whichever is handled
/// first, the client must be admitted, not closed without an answer.
#[test]
fn accepts_a_first_line_that_crosses_the_handshake_timeout() {
    let server = ManualServer::start();
    let (daemon, _discovery) = TestSettings::default().start(&[&server]);

    let mut client = Client::connect(&daemon.platform_address);
    client.send_line("PING");
    assert_eq!(client.read_line(), "PONG");
    daemon.suspend();
    client.send_line("OPEN late 7f3a c=chat,d=9000");
    // The request timeout of 1.5 s passes during the suspension.
    std::thread::sleep(Duration::from_millis(1700));
    daemon.resume();
    let mut server_end = server.accept();
    assert!(server_end.read_line().starts_with("OPEN late "));
    server_end.send_line("UP 1");

    assert_eq!(client.read_line(), "UP 1");
}
