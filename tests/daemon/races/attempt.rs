//! Connects that complete as the endpoint list changes, the deadline passes or the idempotency window ends.

use std::time::Duration;

use super::{connect_and_open, nth_endpoint, open_and_wait, wait_until_idle, TestSettings};
use crate::fake_servers::discovery::endpoint_list;
use crate::fake_servers::{reset_connection, wait_until, Client, ManualServer};

/// The first attempt may have run, and the connect of its retry begins within the idempotency window but
/// completes after it. Servers no longer recognise the key by then, so that the request could run twice.
#[test]
fn does_not_retry_after_the_idempotency_window() {
    let settings = TestSettings {
        class_members: r#""repeat": "by_key", "group": "all", "window": 700"#,
        ..TestSettings::default()
    };
    let (first, mut second) = (ManualServer::start(), ManualServer::start_with_full_queue());
    let (daemon, discovery) = settings.start(&[&first]);

    let mut client = open_and_wait(&daemon);
    let mut server_end = first.accept();
    assert!(server_end.read_line().starts_with("OPEN "));
    discovery.next_call().send_body(&endpoint_list(2, false, &[nth_endpoint(1, &second, "ready")]));
    // The daemon has applied the list when it opens the next watch.
    let _watch = discovery.next_call();
    reset_connection(server_end.into_stream());
    // The retry's connect to the second server completes after the window of 700 ms.
    std::thread::sleep(Duration::from_millis(900));
    second.empty_queue();
    assert!(
        client.read_to_end().starts_with("BUSY"),
        "the key is valid at all servers: the client's own retry is harmless"
    );
    assert_eq!(daemon.metric("forwards"), 1);
    // The next request that is forwarded is another client's.
    let mut next_client = open_and_wait(&daemon);
    let mut server_end = accept_request_at_either(&second, &first);
    server_end.send_line("UP 3");

    assert_eq!(next_client.read_line(), "UP 3");
    assert_eq!(daemon.metric("forwards"), 2);
}

/// Accepts connections at either server up to the first one that carries a request, and returns the server's
/// end of it.
fn accept_request_at_either(one: &ManualServer, other: &ManualServer) -> Client {
    let mut found = None;
    wait_until("a request arrives", || {
        found = [one, other].into_iter().find_map(ManualServer::try_accept).filter(|server_end| {
            let mut server_end =
                Client::from_stream(server_end.stream().try_clone().expect("the stream is cloned"));
            server_end.read_line().starts_with("OPEN ")
        });
        found.is_some()
    });
    found.expect("a request arrived")
}

/// The update that the server drains arrives while the connect to it is in flight. A connect that completes
/// later must not carry the request.
#[test]
fn does_not_forward_to_a_server_that_drains_before_the_connect_completes() {
    let mut server = ManualServer::start_with_full_queue();
    let (daemon, discovery) = TestSettings::default().start(&[&server]);

    let mut client = open_and_wait(&daemon);
    discovery.next_call().send_body(&endpoint_list(2, false, &[nth_endpoint(0, &server, "draining")]));
    let _watch = discovery.next_call();
    assert!(client.read_to_end().starts_with("BUSY"));
    server.empty_queue();

    assert_eq!(daemon.metric("forwards"), 0);
    assert!(server.try_accept().is_none_or(|mut server_end| server_end.read_to_end().is_empty()));
}

/// The deadline passes in the wake-up in which the connect completes. The request must not be written to the
/// server for a client that is rejected.
#[test]
fn does_not_forward_when_the_connect_completes_at_the_deadline() {
    let mut server = ManualServer::start_with_full_queue();
    let (daemon, _discovery) = TestSettings::default().start(&[&server]);

    let mut client = connect_and_open(&daemon, 900);
    wait_until("the request is outstanding", || daemon.metric("outstanding") == 1);
    daemon.suspend();
    server.empty_queue();
    let mut server_end = server.accept();
    std::thread::sleep(Duration::from_millis(1000));
    daemon.resume();

    assert!(client.read_to_end().starts_with("BUSY"));
    assert_eq!(server_end.read_to_end(), "", "the request was written after its deadline");
    wait_until_idle(&daemon);
}

/// The connect completes and the update that the server drains arrives in one wake-up. Whichever is handled
/// first, the client is answered once, and nothing is forwarded to the server after the update.
#[test]
fn answers_once_when_the_connect_completes_as_the_server_starts_draining() {
    let mut server = ManualServer::start_with_full_queue();
    let (daemon, discovery) = TestSettings::default().start(&[&server]);

    let mut client = open_and_wait(&daemon);
    let watch = discovery.next_call();
    daemon.suspend();
    server.empty_queue();
    watch.send_body(&endpoint_list(2, false, &[nth_endpoint(0, &server, "draining")]));
    let mut server_end = server.accept();
    daemon.resume();
    if server_end.read_line().starts_with("OPEN ") {
        server_end.send_line("BUSY");
    }
    let answer = client.read_to_end();

    assert!(answer.starts_with("BUSY") && answer.lines().count() == 1, "{answer}");
    wait_until_idle(&daemon);
    assert!(server.try_accept().is_none(), "a request was forwarded to a draining server");
}
