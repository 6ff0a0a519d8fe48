//! Lines between an established client and its server as one of them closes, resets or migrates.

use std::io::{Read, Write};
use std::time::{Duration, Instant};

use super::{establish, nth_endpoint, wait_until_idle, TestSettings};
use crate::fake_servers::discovery::endpoint_list;
use crate::fake_servers::{reset_connection, wait_until, Client, ManualServer};

/// The server is removed from the list while one of its lines is incomplete. The client must receive the
/// complete lines, then `MOVE`, and no part of the incomplete line.
#[test]
fn sends_move_between_two_lines_and_delivers_whole_lines_before_it() {
    let server = ManualServer::start();
    let (daemon, discovery) = TestSettings::default().start(&[&server]);

    let (mut client, mut server_end) = establish(&daemon, &server);
    server_end.stream().write_all(b"M 1\r\nhal").expect("the lines are written");
    assert_eq!(client.read_line(), "M 1");
    discovery.next_call().send_body(&endpoint_list(2, false, &[nth_endpoint(0, &server, "gone")]));

    assert_eq!(client.read_to_end(), "MOVE\r\n");
    assert_eq!(server_end.read_to_end(), "");
    wait_until_idle(&daemon);
}

/// The server sends two lines and resets the connection in one wake-up, before it has read a line of the
/// client. Its lines must still reach the client.
#[test]
fn delivers_lines_that_a_server_sent_before_its_reset() {
    let server = ManualServer::start();
    let (daemon, _discovery) = TestSettings::default().start(&[&server]);

    let (mut client, server_end) = establish(&daemon, &server);
    client.send_line("unread");
    daemon.suspend();
    server_end.stream().write_all(b"M 1\r\nM 2\r\n").expect("the lines are written");
    reset_connection(server_end.into_stream());
    daemon.resume();
    assert_eq!(
        (client.read_line(), client.read_line(), client.read_to_end()),
        ("M 1".into(), "M 2".into(), String::new())
    );

    wait_until_idle(&daemon);
}

/// The server sends its last lines and resets the connection while the balancer still has lines for it. The
/// write that fails then must not discard the server's lines, which can still be read.
#[test]
fn delivers_lines_that_a_server_sent_before_its_reset_although_writes_to_it_fail() {
    let server = ManualServer::start();
    let (daemon, _discovery) = TestSettings::default().start(&[&server]);

    let (mut client, server_end) = establish(&daemon, &server);
    // The server reads nothing, so that a part of these lines is still pending in the daemon.
    client.stream().set_nonblocking(true).expect("the mode is set");
    let lines = [&[b'x'; 62][..], b"\r\n"].concat().repeat(8192);
    let mut failed_writes = 0;
    wait_until("all buffers are full", || {
        failed_writes = if client.stream().write(&lines).is_ok() { 0 } else { failed_writes + 1 };
        failed_writes > 20
    });
    client.stream().set_nonblocking(false).expect("the mode is set");
    daemon.suspend();
    server_end.stream().write_all(b"M 1\r\nM 2\r\n").expect("the lines are written");
    reset_connection(server_end.into_stream());
    daemon.resume();

    assert_eq!((client.read_line(), client.read_line()), ("M 1".into(), "M 2".into()));
    wait_until_idle(&daemon);
}

/// The server closes after its last line while the client's next line is in flight, and resets the
/// connection. The client must read the last line and an orderly end, not a reset.
#[test]
fn closes_in_order_after_the_last_line_of_the_server() {
    for last_line in ["BYE", "MOVE"] {
        let server = ManualServer::start();
        let (daemon, _discovery) = TestSettings::default().start(&[&server]);

        let (mut client, mut server_end) = establish(&daemon, &server);
        daemon.suspend();
        client.send_line("M 1");
        server_end.send_line(last_line);
        reset_connection(server_end.into_stream());
        daemon.resume();

        assert_eq!(client.read_line(), last_line);
        assert_eq!(client.stream().read(&mut [0]).expect("the connection is closed in order, not reset"), 0);
        wait_until_idle(&daemon);
    }
}

/// A connection that is closed while the client still sends is reset, and the client may lose its answer. The
/// daemon therefore reads on for a while.
#[test]
fn does_not_reset_a_flooding_client_before_it_can_read_its_answer() {
    let server = ManualServer::start();
    let (daemon, _discovery) = TestSettings::default().start(&[&server]);

    let mut client = Client::connect(&daemon.platform_address);
    let since = Instant::now();
    client.send_line("NONSENSE");
    assert_eq!(client.read_line(), "ERR");
    while client.stream().write_all(&[b'x'; 4096]).is_ok() {}
    let open_for = since.elapsed();

    assert!(open_for >= Duration::from_millis(600), "closed after {open_for:?}");
    wait_until_idle(&daemon);
}
