//! Answers of discovery that are late, broken, too frequent or missing.

use std::io::Write;
use std::net::Shutdown;
use std::time::{Duration, Instant};

use super::{establish, nth_endpoint, ready_list, TestSettings};
use crate::fake_servers::discovery::{endpoint_list, Discovery};
use crate::fake_servers::{irc_config, reset_connection, Client, Daemon, ManualServer};

/// A client that connects before the daemon has a list, or during a shutdown, can only be rejected. A PONG
/// would direct clients to such a daemon.
#[test]
fn answers_ping_only_while_it_can_serve() {
    let server = ManualServer::start();
    let (daemon, discovery) = TestSettings::default().start(&[]);

    let ping = || {
        let mut client = Client::connect(&daemon.platform_address);
        client.send_line("PING");
        client.read_line()
    };
    assert_eq!(ping(), "");
    discovery.next_call().send_body(&ready_list(2, &[&server]));
    let _watch = discovery.next_call();
    assert_eq!(ping(), "PONG");
    daemon.signal("-TERM");
    daemon.log_line("draining: ");

    assert_eq!(ping(), "");
}

/// An answer of the old discovery and the SIGHUP that replaces it arrive in one wake-up. The old answer must
/// not be applied, although its generation is higher than that of the new discovery.
#[test]
fn ignores_an_answer_of_the_old_discovery_after_a_reload() {
    let (old, new) = (ManualServer::start(), ManualServer::start());
    let (daemon, old_discovery) = TestSettings::default().start(&[&old]);

    let new_discovery = Discovery::manual();
    let call = old_discovery.next_call();
    daemon.suspend();
    call.send_body(&ready_list(99, &[&old]));
    daemon.reload(
        "config.json",
        &TestSettings::default().config("127.0.0.1:0", new_discovery.address, &ready_list(1, &[&old])),
    );
    daemon.resume();
    let call = new_discovery.next_call();
    assert!(call.request.starts_with("GET /v1/servers HTTP"), "{}", call.request);
    call.send_body(&endpoint_list(2, true, &[nth_endpoint(1, &new, "ready")]));
    let _watch = new_discovery.next_call();
    let (_client, _server_end) = establish(&daemon, &new);

    assert!(old.try_accept().is_none());
}

/// Discovery restarts with a lower generation. Its changes belong to an older list and must not be applied to
/// the present one.
#[test]
fn requests_the_whole_list_when_the_generation_decreases() {
    let (old, new) = (ManualServer::start(), ManualServer::start());
    let discovery = Discovery::manual();
    let known = endpoint_list(50, true, &[nth_endpoint(0, &old, "ready")]);
    let config = TestSettings::default().config("127.0.0.1:0", discovery.address, &known);
    let daemon = Daemon::start(&irc_config(&[], ""), Some(&config));

    let call = discovery.next_call();
    assert!(call.request.contains("from=50&"), "{}", call.request);
    call.send_body(&endpoint_list(3, false, &[]));
    let call = discovery.next_call();
    assert!(call.request.starts_with("GET /v1/servers HTTP"), "{}", call.request);
    call.send_body(&endpoint_list(3, true, &[nth_endpoint(1, &new, "ready")]));
    let _watch = discovery.next_call();
    let (_client, _server_end) = establish(&daemon, &new);

    assert!(old.try_accept().is_none());
}

/// Where lists are pushed to an agent on the balancer's own machine, changes that the agent has received
/// count as notified whether or not a watch is open. A watch that breaks therefore has to be reopened within
/// the drain grace of 250 ms.
#[test]
fn reopens_a_broken_watch_on_pushed_lists_within_the_drain_grace() {
    let settings = TestSettings {
        settings_members: r#""discovery": "pushed", "balancers": 300, "invariants": {"drain-grace": 250, "must-ask-in": 10000}"#,
        ..TestSettings::default()
    };
    let server = ManualServer::start();
    let (_daemon, discovery) = settings.start(&[&server]);

    for _ in 0..2 {
        let call = discovery.next_call();
        let since = Instant::now();
        reset_connection(call.stream);
        let next_call = discovery.next_call();
        assert!(since.elapsed() < Duration::from_millis(250), "called again after {:?}", since.elapsed());
        reset_connection(next_call.stream);
    }
}

/// Discovery closes a connection together with its answer, so that the next call on it finds it closed. That
/// must not count as a failed call: the call is made at once on a new connection.
#[test]
fn retries_at_once_when_a_reused_discovery_connection_is_closed() {
    let server = ManualServer::start();
    let (daemon, discovery) = TestSettings::default().start(&[&server]);

    let mut since = Instant::now();
    for generation in 2..6 {
        let call = discovery.next_call();
        assert!(since.elapsed() < Duration::from_secs(1), "called again after {:?}", since.elapsed());
        assert!(call.request.contains(&format!("from={}&", generation - 1)), "{}", call.request);
        daemon.suspend();
        call.send_body(&endpoint_list(generation, false, &[]));
        call.stream.shutdown(Shutdown::Both).expect("the connection is closed");
        since = Instant::now();
        daemon.resume();
    }
}

/// A 503 on a reused connection must not be retried at once like a closed connection: a second call would
/// double the load of an overloaded discovery.
#[test]
fn backs_off_after_a_503_on_a_reused_discovery_connection() {
    let server = ManualServer::start();
    let (_daemon, discovery) = TestSettings::default().start(&[&server]);

    let call = discovery.next_call();
    call.send_body(&endpoint_list(2, false, &[]));
    for _ in 0..2 {
        let call = discovery.next_call();
        let since = Instant::now();
        call.send_status(503);
        let call = discovery.next_call();
        assert!(since.elapsed() >= Duration::from_millis(50), "called again after {:?}", since.elapsed());
        call.send_body(&endpoint_list(2, false, &[]));
    }
}

/// A discovery that does not hold its calls, or answers with an invalid list, must not be called in a busy
/// loop.
#[test]
fn limits_the_rate_of_calls_to_a_discovery_that_answers_at_once() {
    let settings_members = r#""discovery": "on_request", "invariants": {"must-ask-in": 3200}"#;
    let server = ManualServer::start();
    let (daemon, discovery) = TestSettings { settings_members, ..TestSettings::default() }.start(&[&server]);

    for invalid_list in [None, Some("{}"), Some(r#"{"generation": 9, "instances": []}"#), Some("[[")] {
        // A call for the whole list is answered with a snapshot, any other call with no change.
        let answered_at: Vec<_> = (0..6)
            .map(|_| {
                let call = discovery.next_call();
                let is_snapshot = !call.request.contains("from=");
                call.send_body(invalid_list.unwrap_or(&endpoint_list(
                    1,
                    is_snapshot,
                    &[nth_endpoint(0, &server, "ready")][..usize::from(is_snapshot)],
                )));
                Instant::now()
            })
            .collect();
        let elapsed = answered_at[5].duration_since(answered_at[0]);

        assert!(elapsed >= Duration::from_millis(250), "six calls in {elapsed:?} for {invalid_list:?}");
    }
    // The list from before the invalid answers is still in use.
    let (_client, _server_end) = establish(&daemon, &server);
}

/// A call whose answer has an endless body ends with an error. The present list stays in use, and discovery
/// is called again.
#[test]
fn abandons_an_endless_discovery_answer() {
    let server = ManualServer::start();
    let (daemon, discovery) = TestSettings::default().start(&[&server]);

    let call = discovery.next_call();
    (&call.stream)
        .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        .expect("the head is written");
    let chunk = [b"1000\r\n", &[b' '; 0x1000][..], b"\r\n"].concat();
    while (&call.stream).write_all(&chunk).is_ok() {}
    let call = discovery.next_call();
    call.send_body(&endpoint_list(2, false, &[]));
    let (_client, _server_end) = establish(&daemon, &server);
}
