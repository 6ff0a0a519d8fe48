//! Clients that leave, flood or come late.

use std::io::Write;
use std::time::Duration;

use super::{establish, open_and_wait, wait_until_idle, TestSettings};
use crate::fake_servers::{irc_config, reset_connection, wait_until, Client, Daemon, ManualServer};

/// Waits for an attempt at one of the servers.
fn accept_at_any(servers: &[ManualServer]) -> Client {
    let mut attempt = None;
    wait_until("an attempt is in flight", || {
        attempt = servers.iter().find_map(ManualServer::try_accept);
        attempt.is_some()
    });
    attempt.expect("an attempt was accepted")
}

/// The client's end comes in the wake-up in which its attempt connects.
#[test]
fn does_not_forward_a_client_that_left_before_its_attempt_connected() {
    for breaks in [false, true] {
        let mut server = ManualServer::start_with_full_queue();
        let (daemon, _discovery) = TestSettings::default().start(&[&server]);

        let client = open_and_wait(&daemon);
        daemon.suspend();
        match breaks {
            true => reset_connection(client.into_stream()),
            false => drop(client),
        }
        server.empty_queue();
        let mut attempt = server.accept();
        daemon.resume();

        assert_eq!(attempt.read_to_end(), "", "forwarded for nobody (reset: {breaks})");
        wait_until_idle(&daemon);
        assert_eq!(daemon.metric("forwards"), 0);
    }
}

#[test]
fn gives_up_the_connect_of_a_client_that_leaves() {
    let mut server = ManualServer::start_with_full_queue();
    let (daemon, _discovery) = TestSettings::default().start(&[&server]);

    drop(open_and_wait(&daemon));
    wait_until_idle(&daemon);
    server.empty_queue();
    // The next connection is another client's, and its line the first.
    let mut next = open_and_wait(&daemon);
    let mut attempt = server.accept();
    assert!(attempt.read_line().starts_with("OPEN "));
    attempt.send_line("UP 2");

    assert_eq!(next.read_line(), "UP 2");
    assert_eq!(daemon.metric("forwards"), 1);
}

#[test]
fn does_not_retry_for_a_client_that_leaves_as_its_attempt_breaks() {
    let servers = [ManualServer::start(), ManualServer::start()];
    let (daemon, _discovery) = TestSettings::default().start(&[&servers[0], &servers[1]]);

    let client = open_and_wait(&daemon);
    let mut attempt = accept_at_any(&servers);
    assert!(attempt.read_line().starts_with("OPEN "));
    daemon.suspend();
    drop(client);
    reset_connection(attempt.into_stream());
    daemon.resume();
    wait_until_idle(&daemon);
    assert_eq!(daemon.metric("forwards"), 1);
    for mut second in servers.iter().filter_map(ManualServer::try_accept) {
        assert_eq!(second.read_to_end(), "");
    }
}

/// The client's early lines fill the buffer, so that its end is not seen.
#[test]
fn gives_up_an_irc_client_that_floods_and_leaves_before_it_is_established() {
    let servers = [ManualServer::start(), ManualServer::start()];
    let server = |n: usize| format!(r#"{{"name": "irc-{n}", "address": "{}"}}"#, servers[n].address);
    let more = format!(r#", "hosts": [{}, {}], "class": {{"give_up_ms": 100000}}"#, server(0), server(1));
    let daemon = Daemon::start(&irc_config(&[], "").replace(r#", "hosts": []"#, &more), None);

    let client = Client::register(&daemon.irc, "ann");
    let mut attempt = accept_at_any(&servers);
    attempt.expect_line("USER");
    let lines = "PRIVMSG #a :b\r\n".repeat(6000);
    // It may be closed before it has sent all.
    let _ = client.stream().write_all(lines.as_bytes());
    drop(client);
    wait_until_idle(&daemon);
    attempt.read_to_end();

    assert!(servers.iter().all(|server| server.try_accept().is_none()), "forwarded again for nobody");
}

/// A client of the platform waits after its first line: one that sends more has an error, and nothing is forwarded.
#[test]
fn gives_up_a_client_that_sends_much_and_leaves_before_it_is_established() {
    let servers = [ManualServer::start(), ManualServer::start()];
    let (daemon, _discovery) = TestSettings::default().start(&[&servers[0], &servers[1]]);

    let client = open_and_wait(&daemon);
    let mut attempt = accept_at_any(&servers);
    // It may be closed before it has sent all.
    let _ = client.stream().write_all(&[b'x'; 1 << 20]);
    drop(client);
    wait_until_idle(&daemon);
    attempt.read_to_end();

    assert!(servers.iter().all(|server| server.try_accept().is_none()), "forwarded again for nobody");
}

/// An IRC client sends QUIT and leaves while its attempt connects.
#[test]
fn does_not_forward_an_irc_client_that_quits_before_its_attempt_connected() {
    let mut server = ManualServer::start_with_full_queue();
    let listed = format!(r#", "hosts": [{{"name": "irc-1", "address": "{}"}}]"#, server.address);
    let more = format!(r#"{listed}, "limits": {{"connect_ms": 9000}}"#);
    let daemon = Daemon::start(&irc_config(&[], "").replace(r#", "hosts": []"#, &more), None);

    let mut client = Client::register(&daemon.irc, "ann");
    wait_until("it waits", || daemon.metric("outstanding") == 1);
    daemon.suspend();
    client.send_line("QUIT :bye");
    drop(client);
    server.empty_queue();
    let mut attempt = server.accept();
    daemon.resume();

    assert_eq!(attempt.read_to_end(), "");
    wait_until_idle(&daemon);
}

/// Hundreds of clients that keep their connections open after their answers must not use up the descriptors.
#[test]
fn serves_clients_while_hundreds_never_close() {
    let server = ManualServer::start();
    let (daemon, _discovery) = TestSettings::default().start(&[&server]);

    // More than the 160 descriptors that the daemon may have.
    let resting: Vec<Client> = (0..250)
        .map(|n| {
            let mut client = Client::connect(&daemon.platform);
            client.send_line(if n % 2 == 0 { "NONSENSE" } else { "OPEN x 7f3a c=nothing,d=900" });
            client
        })
        .collect();
    let (_client, _attempt) = establish(&daemon, &server);
    drop(resting);
}

/// Whichever comes first, the client is admitted, and never closed without an answer.
#[test]
fn accepts_a_first_line_that_crosses_the_handshake_timeout() {
    let server = ManualServer::start();
    let (daemon, _discovery) = TestSettings::default().start(&[&server]);

    let mut client = Client::connect(&daemon.platform);
    client.send_line("PING");
    assert_eq!(client.read_line(), "PONG");
    daemon.suspend();
    client.send_line("OPEN late 7f3a c=chat,d=9000");
    // The handshake timeout of 1.5 s passes meanwhile.
    std::thread::sleep(Duration::from_millis(1700));
    daemon.resume();
    let mut attempt = server.accept();
    assert!(attempt.read_line().starts_with("OPEN late "));
    attempt.send_line("UP 1");

    assert_eq!(client.read_line(), "UP 1");
}
