//! Clients that come while the process shuts down or replaces its listener.

use std::time::{Duration, Instant};

use super::{connect_and_open, establish, open_and_wait, ready_list, TestSettings};
use crate::fake_servers::discovery::Discovery;
use crate::fake_servers::{irc_config, Daemon, ManualServer};

/// What still waits in the listener's queue as the process exits must not be closed without an answer.
#[test]
fn rejects_a_client_queued_at_a_process_that_exits() {
    let server = ManualServer::start();
    let (mut daemon, _discovery) = TestSettings::default().start(&[&server]);

    daemon.signal("-TERM");
    daemon.log_line("draining: ");
    daemon.suspend();
    let mut client = connect_and_open(&daemon, 9000);
    // The stay of a process that holds nothing is over meanwhile.
    std::thread::sleep(Duration::from_millis(1200));
    daemon.resume();

    assert!(client.read_to_end().starts_with("BUSY "), "closed without an answer");
    assert!(daemon.wait_for_exit());
    assert!(server.try_accept().is_none(), "admitted by a process that exits");
}

/// A request in flight, an established client that reads nothing, one that never closes, and a second SIGTERM.
#[test]
fn answers_every_client_at_sigterm_and_exits_in_time() {
    let server = ManualServer::start();
    let (mut daemon, _discovery) = TestSettings::default().start(&[&server]);

    let (mut established, _attempt) = establish(&daemon, &server);
    let mut waiting = open_and_wait(&daemon);
    let mut attempt = server.accept();
    assert!(attempt.read_line().starts_with("OPEN "));
    let since = Instant::now();
    daemon.suspend();
    attempt.send_line("UP 2");
    daemon.signal("-TERM");
    daemon.signal("-TERM");
    daemon.resume();
    assert_eq!(established.read_to_end(), "MOVE\r\n");
    assert_eq!(waiting.read_to_end(), "UP 2\r\nMOVE\r\n");
    assert!(daemon.wait_for_exit());
    // The longest wait counts as 3 s, and SIGKILL comes 0.7 s after it; the rest is for a busy machine.
    assert!(since.elapsed() < Duration::from_secs(8), "late by {:?}", since.elapsed());
}

/// The daemon has no list, discovery answers nothing, and a new configuration comes in the same wake-up.
#[test]
fn rejects_clients_and_exits_at_sigterm_before_it_could_serve() {
    for reloaded in [false, true] {
        let (mut daemon, discovery) = TestSettings::default().start(&[]);

        let _silent = discovery.next_call();
        daemon.suspend();
        let mut client = connect_and_open(&daemon, 9000);
        if reloaded {
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

/// The deadline of the request is after the end of the process, so that another process can serve it. Where clients follow
/// no Retry-After none is sent.
#[test]
fn rejects_with_retry_after_a_request_that_outlives_the_process() {
    for (allowed, wanted) in [("true", "BUSY 400\r\n"), ("false", "BUSY\r\n")] {
        let server = ManualServer::start_with_full_queue();
        let discovery = Discovery::by_test();
        let config =
            TestSettings::default().config("127.0.0.1:0", discovery.address, &ready_list(1, &[&server]));
        let config = config.replace(r#""retry-after": true"#, &format!(r#""retry-after": {allowed}"#));
        let mut daemon = Daemon::start(&irc_config(&[], ""), Some(&config));

        let mut waiting = open_and_wait(&daemon);
        daemon.signal("-TERM");
        daemon.log_line("draining: ");
        let mut late = connect_and_open(&daemon, 9000);

        assert_eq!(late.read_to_end(), wanted);
        assert_eq!(waiting.read_to_end(), wanted);
        assert!(daemon.wait_for_exit());
    }
}

#[test]
fn answers_a_client_queued_at_a_replaced_listener() {
    let server = ManualServer::start();
    let (daemon, discovery) = TestSettings::default().start(&[&server]);

    let taken = std::net::TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port");
    daemon.suspend();
    let mut client = connect_and_open(&daemon, 9000);
    let config =
        TestSettings::default().config(&taken.to_string(), discovery.address, &ready_list(1, &[&server]));
    daemon.reload("config.json", &config);
    daemon.resume();
    let mut attempt = server.accept();
    assert!(attempt.read_line().starts_with("OPEN "));
    attempt.send_line("UP 1");

    assert_eq!(client.read_line(), "UP 1");
}
