//! A flood on some connections must not take the daemon's only thread from the others.

use std::time::{Duration, Instant};

use super::{assert_admin_calls_are_answered_in_time, discard_input, flood, start_irc_front};
use crate::fake_servers::discovery::{endpoint, endpoint_list, Discovery};
use crate::fake_servers::{irc_config, Client, Daemon, FakeIrcServer, ManualServer, RegistrationReply};
use crate::platform;

/// Number of connections with a flood.
const FLOODS: usize = 4;
/// Time within which a client is established while others flood, far below the time that a client waits.
const ESTABLISHMENT_DEADLINE: Duration = Duration::from_secs(1);

/// Establishes a platform client at `server`. Returns the client, and the server's end of the connection.
fn establish(daemon: &Daemon, server: &ManualServer) -> (Client, Client) {
    let mut client = platform::connect_and_open(daemon);
    let mut server_end = server.accept();
    assert!(server_end.read_line().starts_with("OPEN "));
    server_end.send_line("UP 1");
    assert_eq!(client.read_line(), "UP 1");
    (client, server_end)
}

/// Checks that an IRC client is welcomed in time.
fn assert_client_is_welcomed_in_time(daemon: &Daemon) {
    let started_at = Instant::now();
    Client::register(&daemon.irc_address, "rosa").expect_line("001 rosa");
    let latency = started_at.elapsed();
    assert!(latency < ESTABLISHMENT_DEADLINE, "the client was welcomed after {latency:?}");
}

/// Answers of a server that never end once kept the task of their connection running without a pause, so that
/// no other client, deadline or admin call was served for seconds.
#[test]
fn endless_answers_of_a_server_do_not_stop_the_daemon() {
    let server = ManualServer::start();
    let discovery = Discovery::scripted(Vec::new());
    let list = endpoint_list(1, true, &[endpoint("s-00000001", server.address, "ready")]);
    let daemon = platform::start_daemon(discovery.address, &list);

    let mut flooded = Vec::new();
    for line in ["UP 1\r\n", "LOAD 0.5\r\n"].into_iter().cycle().take(FLOODS) {
        let (client, server_end) = establish(&daemon, &server);
        discard_input(&client);
        flood(&server_end, line);
        flooded.push((client, server_end));
    }
    assert_admin_calls_are_answered_in_time(&daemon);
    let started_at = Instant::now();
    establish(&daemon, &server);

    let latency = started_at.elapsed();
    assert!(latency < ESTABLISHMENT_DEADLINE, "the client was established after {latency:?}");
}

/// Lines before the welcome that never end once kept the daemon from all other connections, and their own
/// attempt's deadline from firing.
#[test]
fn endless_lines_before_a_welcome_do_not_stop_the_daemon() {
    for line in ["NOTICE * :wait\r\n", "PING :cookie\r\n"] {
        let flooding = ManualServer::start();
        let daemon = start_irc_front(&flooding, "");

        let clients: Vec<Client> =
            (0..FLOODS).map(|n| Client::register(&daemon.irc_address, &format!("bert{n}"))).collect();
        let server_ends: Vec<Client> = clients.iter().map(|_| flooding.accept()).collect();
        for server_end in &server_ends {
            discard_input(server_end);
            flood(server_end, line);
        }

        assert_admin_calls_are_answered_in_time(&daemon);
    }
}

/// A client that sent unreadable lines at full speed, and read the answers as fast, once kept the daemon from
/// all other connections.
#[test]
fn unreadable_lines_of_a_client_do_not_stop_the_daemon() {
    let server = FakeIrcServer::start(RegistrationReply::Welcome);
    let daemon = Daemon::start(&irc_config(&[&server], ""), None);

    let mut flooding = Vec::new();
    for n in 0..FLOODS {
        let mut client = Client::register(&daemon.irc_address, &format!("bert{n}"));
        client.expect_line("001 bert");
        discard_input(&client);
        flood(&client, "\0\r\n");
        flooding.push(client);
    }

    assert_admin_calls_are_answered_in_time(&daemon);
    assert_client_is_welcomed_in_time(&daemon);
}
