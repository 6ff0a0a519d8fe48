//! Replies of discovery that come late, broken, too often or not at all.

use std::io::Write;
use std::net::Shutdown;
use std::time::{Duration, Instant};

use super::{establish, nth_endpoint, ready_list, TestSettings};
use crate::fake_servers::discovery::{endpoint_list, Discovery};
use crate::fake_servers::{irc_config, reset_connection, Client, Daemon, ManualServer};

/// A client that is accepted before there is a list can only be rejected.
#[test]
fn answers_ping_only_while_it_can_serve() {
    let server = ManualServer::start();
    let (daemon, discovery) = TestSettings::default().start(&[]);

    let ping = || {
        let mut client = Client::connect(&daemon.platform);
        client.send_line("PING");
        client.read_line()
    };
    assert_eq!(ping(), "");
    discovery.next_call().send_endpoint_list(&ready_list(2, &[&server]));
    let _watch = discovery.next_call();
    assert_eq!(ping(), "PONG");
    daemon.signal("-TERM");
    daemon.log_line("draining: ");

    assert_eq!(ping(), "");
}

/// The old discovery's answer and SIGHUP to another come in one wake-up.
#[test]
fn ignores_an_answer_of_the_old_discovery_after_a_reload() {
    let (old, new) = (ManualServer::start(), ManualServer::start());
    let (daemon, before) = TestSettings::default().start(&[&old]);

    let after = Discovery::by_test();
    let call = before.next_call();
    daemon.suspend();
    call.send_endpoint_list(&ready_list(99, &[&old]));
    daemon.reload(
        "config.json",
        &TestSettings::default().config("127.0.0.1:0", after.address, &ready_list(1, &[&old])),
    );
    daemon.resume();
    let call = after.next_call();
    assert!(call.request.starts_with("GET /v1/servers HTTP"), "{}", call.request);
    call.send_endpoint_list(&endpoint_list(2, true, &[nth_endpoint(1, &new, "ready")]));
    let _watch = after.next_call();
    let (_client, _attempt) = establish(&daemon, &new);

    assert!(old.try_accept().is_none());
}

/// Changes of an older list than the present one do not apply to it.
#[test]
fn requests_the_whole_list_when_the_generation_goes_back() {
    let (old, new) = (ManualServer::start(), ManualServer::start());
    let discovery = Discovery::by_test();
    let known = endpoint_list(50, true, &[nth_endpoint(0, &old, "ready")]);
    let config = TestSettings::default().config("127.0.0.1:0", discovery.address, &known);
    let daemon = Daemon::start(&irc_config(&[], ""), Some(&config));

    let call = discovery.next_call();
    assert!(call.request.contains("from=50&"), "{}", call.request);
    call.send_endpoint_list(&endpoint_list(3, false, &[]));
    let call = discovery.next_call();
    assert!(call.request.starts_with("GET /v1/servers HTTP"), "{}", call.request);
    call.send_endpoint_list(&endpoint_list(3, true, &[nth_endpoint(1, &new, "ready")]));
    let _watch = discovery.next_call();
    let (_client, _attempt) = establish(&daemon, &new);

    assert!(old.try_accept().is_none());
}

/// Where lists are pushed, changes that the agent has count as known whether or not a watch is open.
#[test]
fn reopens_a_broken_watch_on_pushed_lists_within_the_grace() {
    let settings = TestSettings {
        more: r#""discovery": "pushed", "balancers": 300, "invariants": {"drain-grace": 250, "must-ask-in": 10000}"#,
        ..TestSettings::default()
    };
    let server = ManualServer::start();
    let (_daemon, discovery) = settings.start(&[&server]);

    for _ in 0..2 {
        let call = discovery.next_call();
        let since = Instant::now();
        reset_connection(call.stream);
        let again = discovery.next_call();
        assert!(since.elapsed() < Duration::from_millis(250), "asked again after {:?}", since.elapsed());
        reset_connection(again.stream);
    }
}

/// A kept connection that discovery closes as it answers costs no failure: the next call is made on a new one.
#[test]
fn retries_at_once_when_a_kept_discovery_connection_is_closed() {
    let server = ManualServer::start();
    let (daemon, discovery) = TestSettings::default().start(&[&server]);

    let mut since = Instant::now();
    for generation in 2..6 {
        let call = discovery.next_call();
        assert!(since.elapsed() < Duration::from_secs(1), "asked again after {:?}", since.elapsed());
        assert!(call.request.contains(&format!("from={}&", generation - 1)), "{}", call.request);
        daemon.suspend();
        call.send_endpoint_list(&endpoint_list(generation, false, &[]));
        call.stream.shutdown(Shutdown::Both).expect("closed");
        since = Instant::now();
        daemon.resume();
    }
}

/// A second call at once would double the load of a discovery that is overloaded.
#[test]
fn backs_off_after_a_503_on_a_kept_discovery_connection() {
    let server = ManualServer::start();
    let (_daemon, discovery) = TestSettings::default().start(&[&server]);

    let call = discovery.next_call();
    call.send_endpoint_list(&endpoint_list(2, false, &[]));
    for _ in 0..2 {
        let call = discovery.next_call();
        let since = Instant::now();
        call.send_status(503);
        let call = discovery.next_call();
        assert!(since.elapsed() >= Duration::from_millis(50), "asked again after {:?}", since.elapsed());
        call.send_endpoint_list(&endpoint_list(2, false, &[]));
    }
}

/// A discovery that answers at once, or with what is no list, must not be called without end.
#[test]
fn does_not_call_without_end_a_discovery_that_answers_at_once() {
    let more = r#""discovery": "on_request", "invariants": {"must-ask-in": 3200}"#;
    let server = ManualServer::start();
    let (daemon, discovery) = TestSettings { more, ..TestSettings::default() }.start(&[&server]);

    for nonsense in [None, Some("{}"), Some(r#"{"generation": 9, "instances": []}"#), Some("[[")] {
        // The second of these is an answer to the call for the whole list, which the first one leads to.
        let calls: Vec<_> = (0..6)
            .map(|_| {
                let call = discovery.next_call();
                let is_snapshot = !call.request.contains("from=");
                call.send_endpoint_list(nonsense.unwrap_or(&endpoint_list(
                    1,
                    is_snapshot,
                    &[nth_endpoint(0, &server, "ready")][..usize::from(is_snapshot)],
                )));
                Instant::now()
            })
            .collect();
        let took = calls[5].duration_since(calls[0]);

        assert!(took >= Duration::from_millis(250), "six calls in {took:?} for {nonsense:?}");
    }
    // Through all of that the list that it had stays.
    let (_client, _attempt) = establish(&daemon, &server);
}

/// A body without end is given up; the present list stays in use, and discovery is called again.
#[test]
fn gives_up_a_discovery_answer_without_end() {
    let server = ManualServer::start();
    let (daemon, discovery) = TestSettings::default().start(&[&server]);

    let call = discovery.next_call();
    (&call.stream).write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").expect("written");
    let chunk = [b"1000\r\n", &[b' '; 0x1000][..], b"\r\n"].concat();
    while (&call.stream).write_all(&chunk).is_ok() {}
    let call = discovery.next_call();
    call.send_endpoint_list(&endpoint_list(2, false, &[]));
    let (_client, _attempt) = establish(&daemon, &server);
}
