//! Connects that complete as the list, the deadline or the idempotency window changes.

use std::time::Duration;

use super::{connect_and_open, nth_endpoint, open_and_wait, wait_until_idle, TestSettings};
use crate::fake_servers::discovery::endpoint_list;
use crate::fake_servers::{reset_connection, wait_until, Client, ManualServer};

/// The connect begins within the window, and completes after it.
#[test]
fn does_not_retry_what_may_have_run_after_its_window() {
    let settings = TestSettings {
        class: r#""repeat": "by_key", "group": "all", "window": 700"#,
        ..TestSettings::default()
    };
    let (first, mut second) = (ManualServer::start(), ManualServer::start_with_full_queue());
    let (daemon, discovery) = settings.start(&[&first]);

    let mut client = open_and_wait(&daemon);
    let mut attempt = first.accept();
    assert!(attempt.read_line().starts_with("OPEN "));
    discovery.next_call().send_endpoint_list(&endpoint_list(2, false, &[nth_endpoint(1, &second, "ready")]));
    // The list is in place when the next watch begins.
    let _watch = discovery.next_call();
    reset_connection(attempt.into_stream());
    // Its connect to the second server is in flight, and completes after its window.
    std::thread::sleep(Duration::from_millis(900));
    second.empty_queue();
    assert!(client.read_to_end().starts_with("BUSY"), "by key at all servers: a retry is harmless");
    assert_eq!(daemon.metric("forwards"), 1);
    // What is forwarded there next is another request.
    let mut next = open_and_wait(&daemon);
    let mut attempt = until_line(&second, &first);
    attempt.send_line("UP 3");

    assert_eq!(next.read_line(), "UP 3");
    assert_eq!(daemon.metric("forwards"), 2);
}

/// The next connection at either on which a line comes.
fn until_line(one: &ManualServer, other: &ManualServer) -> Client {
    let mut found = None;
    wait_until("a request comes", || {
        found = [one, other].into_iter().find_map(ManualServer::try_accept).filter(|attempt| {
            let mut attempt = Client::over(attempt.stream().try_clone().expect("a clone"));
            attempt.read_line().starts_with("OPEN ")
        });
        found.is_some()
    });
    found.expect("one")
}

#[test]
fn does_not_forward_to_a_server_that_drains_before_the_connect_completes() {
    let mut server = ManualServer::start_with_full_queue();
    let (daemon, discovery) = TestSettings::default().start(&[&server]);

    let mut client = open_and_wait(&daemon);
    discovery.next_call().send_endpoint_list(&endpoint_list(
        2,
        false,
        &[nth_endpoint(0, &server, "draining")],
    ));
    let _watch = discovery.next_call();
    assert!(client.read_to_end().starts_with("BUSY"));
    server.empty_queue();

    assert_eq!(daemon.metric("forwards"), 0);
    assert!(server.try_accept().is_none_or(|mut attempt| attempt.read_to_end().is_empty()));
}

/// The deadline has passed in the wake-up in which the connect completes.
#[test]
fn does_not_forward_when_the_connect_completes_at_the_deadline() {
    let mut server = ManualServer::start_with_full_queue();
    let (daemon, _discovery) = TestSettings::default().start(&[&server]);

    let mut client = connect_and_open(&daemon, 900);
    wait_until("the request is taken", || daemon.metric("outstanding") == 1);
    daemon.suspend();
    server.empty_queue();
    let mut attempt = server.accept();
    std::thread::sleep(Duration::from_millis(1000));
    daemon.resume();

    assert!(client.read_to_end().starts_with("BUSY"));
    assert_eq!(attempt.read_to_end(), "", "written when its time was over");
    wait_until_idle(&daemon);
}

/// Whichever is seen first, the client is answered once, and nothing goes to the server after the update.
#[test]
fn answers_once_when_the_connect_completes_as_the_server_starts_draining() {
    let mut server = ManualServer::start_with_full_queue();
    let (daemon, discovery) = TestSettings::default().start(&[&server]);

    let mut client = open_and_wait(&daemon);
    let watch = discovery.next_call();
    daemon.suspend();
    server.empty_queue();
    watch.send_endpoint_list(&endpoint_list(2, false, &[nth_endpoint(0, &server, "draining")]));
    let mut attempt = server.accept();
    daemon.resume();
    if attempt.read_line().starts_with("OPEN ") {
        attempt.send_line("BUSY");
    }
    let answer = client.read_to_end();

    assert!(answer.starts_with("BUSY") && answer.lines().count() == 1, "{answer}");
    wait_until_idle(&daemon);
    assert!(server.try_accept().is_none(), "forwarded to a server that drains");
}
