//! Lines between an established client and its server, as either ends.

use std::io::{Read, Write};
use std::time::{Duration, Instant};

use super::{establish, nth_endpoint, wait_until_idle, TestSettings};
use crate::fake_servers::discovery::endpoint_list;
use crate::fake_servers::{reset_connection, wait_until, Client, ManualServer};

#[test]
fn sends_move_between_two_lines_and_delivers_whole_lines_before_it() {
    let server = ManualServer::start();
    let (daemon, discovery) = TestSettings::default().start(&[&server]);

    let (mut client, mut attempt) = establish(&daemon, &server);
    attempt.stream().write_all(b"M 1\r\nhal").expect("written");
    assert_eq!(client.read_line(), "M 1");
    discovery.next_call().send_endpoint_list(&endpoint_list(2, false, &[nth_endpoint(0, &server, "gone")]));

    assert_eq!(client.read_to_end(), "MOVE\r\n");
    assert_eq!(attempt.read_to_end(), "");
    wait_until_idle(&daemon);
}

#[test]
fn delivers_what_a_server_sent_before_its_reset() {
    let server = ManualServer::start();
    let (daemon, _discovery) = TestSettings::default().start(&[&server]);

    let (mut client, attempt) = establish(&daemon, &server);
    client.send_line("unread");
    daemon.suspend();
    attempt.stream().write_all(b"M 1\r\nM 2\r\n").expect("written");
    reset_connection(attempt.into_stream());
    daemon.resume();
    assert_eq!(
        (client.read_line(), client.read_line(), client.read_to_end()),
        ("M 1".into(), "M 2".into(), String::new())
    );

    wait_until_idle(&daemon);
}

/// A write fails on a connection that is gone, while the server's last lines are there to be read.
#[test]
fn delivers_what_a_server_sent_before_its_reset_though_writes_to_it_fail() {
    let server = ManualServer::start();
    let (daemon, _discovery) = TestSettings::default().start(&[&server]);

    let (mut client, attempt) = establish(&daemon, &server);
    // The server reads nothing: some of this stays with the daemon.
    client.stream().set_nonblocking(true).expect("a socket");
    let lines = [&[b'x'; 62][..], b"\r\n"].concat().repeat(8192);
    let mut full = 0;
    wait_until("all buffers are full", || {
        full = if client.stream().write(&lines).is_ok() { 0 } else { full + 1 };
        full > 20
    });
    client.stream().set_nonblocking(false).expect("a socket");
    daemon.suspend();
    attempt.stream().write_all(b"M 1\r\nM 2\r\n").expect("written");
    reset_connection(attempt.into_stream());
    daemon.resume();

    assert_eq!((client.read_line(), client.read_line()), ("M 1".into(), "M 2".into()));
    wait_until_idle(&daemon);
}

/// The client's next line crosses the server's last line, and is answered by a reset.
#[test]
fn closes_in_order_after_the_last_line_of_the_server() {
    for last_line in ["BYE", "MOVE"] {
        let server = ManualServer::start();
        let (daemon, _discovery) = TestSettings::default().start(&[&server]);

        let (mut client, mut attempt) = establish(&daemon, &server);
        daemon.suspend();
        client.send_line("M 1");
        attempt.send_line(last_line);
        reset_connection(attempt.into_stream());
        daemon.resume();

        assert_eq!(client.read_line(), last_line);
        assert_eq!(client.stream().read(&mut [0]).expect("ended in order, not broken off"), 0);
        wait_until_idle(&daemon);
    }
}

/// If the connection is closed while the client still sends, the client may not see its answer.
#[test]
fn does_not_reset_a_flooding_client_before_it_can_read_its_answer() {
    let server = ManualServer::start();
    let (daemon, _discovery) = TestSettings::default().start(&[&server]);

    let mut client = Client::connect(&daemon.platform);
    let since = Instant::now();
    client.send_line("NONSENSE");
    assert_eq!(client.read_line(), "ERR");
    while client.stream().write_all(&[b'x'; 4096]).is_ok() {}
    let open_for = since.elapsed();

    assert!(open_for >= Duration::from_millis(600), "closed after {open_for:?}");
    wait_until_idle(&daemon);
}
