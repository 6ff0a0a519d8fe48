//! Clients that connect while the process shuts down or replaces its listener.

use std::time::{Duration, Instant};

use super::{connect_and_open, establish, open_and_wait, ready_list, TestSettings};
use crate::fake_servers::discovery::Discovery;
use crate::fake_servers::{irc_config, Daemon, ManualServer};

/// A client waits in the listener's queue as the process exits. It must receive a rejection, not an end
/// without an answer.
#[test]
fn rejects_a_client_queued_at_a_process_that_exits() {
    let server = ManualServer::start();
    let (mut daemon, _discovery) = TestSettings::default().start(&[&server]);

    daemon.signal("-TERM");
    daemon.log_line("draining: ");
    daemon.suspend();
    let mut client = connect_and_open(&daemon, 9000);
    // A process without connections would have exited during this time.
    std::thread::sleep(Duration::from_millis(1200));
    daemon.resume();

    assert!(client.read_to_end().starts_with("BUSY "), "the client was closed without an answer");
    assert!(daemon.wait_for_exit());
    assert!(server.try_accept().is_none(), "the client was admitted by a process that exits");
}

/// SIGTERM arrives twice, in the same wake-up as the answer to a request in flight, while another client is
/// established. No client reads before the daemon resumes, and none closes its connection. All of them must
/// be answered, and the process must exit in time.
#[test]
fn answers_every_client_at_sigterm_and_exits_in_time() {
    let server = ManualServer::start();
    let (mut daemon, _discovery) = TestSettings::default().start(&[&server]);

    let (mut established, _server_end) = establish(&daemon, &server);
    let mut waiting_client = open_and_wait(&daemon);
    let mut server_end = server.accept();
    assert!(server_end.read_line().starts_with("OPEN "));
    let since = Instant::now();
    daemon.suspend();
    server_end.send_line("UP 2");
    daemon.signal("-TERM");
    daemon.signal("-TERM");
    daemon.resume();
    assert_eq!(established.read_to_end(), "MOVE\r\n");
    assert_eq!(waiting_client.read_to_end(), "UP 2\r\nMOVE\r\n");
    assert!(daemon.wait_for_exit());
    // A client's wait counts for at most 3 s, and the platform sends SIGKILL 0.7 s later. The rest of the
    // limit is for a busy machine.
    assert!(since.elapsed() < Duration::from_secs(8), "exited only after {:?}", since.elapsed());
}

/// SIGTERM arrives while the daemon has no endpoint list and discovery does not answer. In the second case a
/// new configuration arrives in the same wake-up. The daemon must still reject its client and exit.
#[test]
fn rejects_clients_and_exits_at_sigterm_before_it_could_serve() {
    for reloads in [false, true] {
        let (mut daemon, discovery) = TestSettings::default().start(&[]);

        let _unanswered_call = discovery.next_call();
        daemon.suspend();
        let mut client = connect_and_open(&daemon, 9000);
        if reloads {
            let config =
                TestSettings::default().config("127.0.0.1:0", discovery.address, &ready_list(1, &[]));
            daemon.reload("config.json", &config);
        }
        daemon.signal("-TERM");
        daemon.resume();

        assert!(client.read_to_end().starts_with("BUSY "));
        assert!(daemon.wait_for_exit());
    }
}

/// The deadline of a request is after the exit of the process. Another process can still serve the client, so
/// that the request is rejected with a Retry-After. Where the settings say that clients ignore Retry-After,
/// none is sent.
#[test]
fn rejects_a_request_whose_deadline_is_after_the_exit_with_retry_after() {
    for (retry_after, expected) in [("true", "BUSY 400\r\n"), ("false", "BUSY\r\n")] {
        let server = ManualServer::start_with_full_queue();
        let discovery = Discovery::manual();
        let config =
            TestSettings::default().config("127.0.0.1:0", discovery.address, &ready_list(1, &[&server]));
        let config = config.replace(r#""retry-after": true"#, &format!(r#""retry-after": {retry_after}"#));
        let mut daemon = Daemon::start(&irc_config(&[], ""), Some(&config));

        let mut waiting_client = open_and_wait(&daemon);
        daemon.signal("-TERM");
        daemon.log_line("draining: ");
        let mut new_client = connect_and_open(&daemon, 9000);

        assert_eq!(new_client.read_to_end(), expected);
        assert_eq!(waiting_client.read_to_end(), expected);
        assert!(daemon.wait_for_exit());
    }
}

/// A client waits in the listener's queue when a reload replaces the listener. It must be accepted and
/// served.
#[test]
fn answers_a_client_queued_at_a_replaced_listener() {
    let server = ManualServer::start();
    let (daemon, discovery) = TestSettings::default().start(&[&server]);

    let new_address =
        std::net::TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port is free");
    daemon.suspend();
    let mut client = connect_and_open(&daemon, 9000);
    let config = TestSettings::default().config(
        &new_address.to_string(),
        discovery.address,
        &ready_list(1, &[&server]),
    );
    daemon.reload("config.json", &config);
    daemon.resume();
    let mut server_end = server.accept();
    assert!(server_end.read_line().starts_with("OPEN "));
    server_end.send_line("UP 1");

    assert_eq!(client.read_line(), "UP 1");
}
