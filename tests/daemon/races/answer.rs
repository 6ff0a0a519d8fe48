//! Each client receives exactly one answer, whatever its server replies and when.

use std::io::Write;
use std::net::Shutdown;
use std::time::Duration;

use super::{connect_and_open, wait_until_idle, TestSettings};
use crate::fake_servers::ManualServer;

/// A server's reply may arrive in pieces, end early, be invalid, or be followed by a second reply. None of
/// these may give the client two answers, a truncated answer or a late one.
#[test]
fn answers_once_whatever_the_server_replies() {
    let long_line = "x".repeat(9000);
    let cases: [(&[&str], bool, &str); 8] = [
        (&["U", "P ", "7\r", "\n"], false, "UP 7\r\n"),
        (&["UP 7\r\nLOAD 3\r\nBYE\r\n"], true, "UP 7\r\nLOAD 3\r\nBYE\r\n"),
        (&["UP 7\r\nhalf"], true, "UP 7\r\nhalf"),
        (&["UP 7"], true, "BUSY"),
        (&["ERR\r\n", "UP 7\r\n"], false, "BUSY"),
        (&["BUSY\r\nUP 7\r\n"], true, "BUSY"),
        (&[&long_line], false, "BUSY"),
        (&["\0\u{1}\r\n"], false, "BUSY"),
    ];
    for (pieces, server_closes, expected) in cases {
        let server = ManualServer::start();
        let (daemon, _discovery) = TestSettings::default().start(&[&server]);

        // A rejection may only follow at the client's deadline, so a client that is rejected has a short one.
        let mut client = connect_and_open(&daemon, if expected == "BUSY" { 900 } else { 9000 });
        let mut server_end = server.accept();
        assert!(server_end.read_line().starts_with("OPEN "));
        for piece in pieces {
            // The balancer may close the attempt before the last piece, once the client has its answer.
            let _ = server_end.stream().write_all(piece.as_bytes());
        }
        if server_closes {
            let _ = server_end.stream().shutdown(Shutdown::Both);
        }
        match expected {
            "BUSY" => assert!(client.read_to_end().starts_with("BUSY"), "{pieces:?}"),
            _ if server_closes => assert_eq!(client.read_to_end(), expected, "{pieces:?}"),
            _ => assert_eq!(format!("{}\r\n", client.read_line()), expected, "{pieces:?}"),
        }
        drop((client, server_end));

        wait_until_idle(&daemon);
    }
}

/// The server's reply arrives and the client's deadline passes in one wake-up. The client must not receive
/// both the reply and a rejection, and must not be relayed to the server after a rejection.
#[test]
fn answers_once_when_a_reply_crosses_the_deadline() {
    let server = ManualServer::start();
    let (daemon, _discovery) = TestSettings::default().start(&[&server]);

    let mut client = connect_and_open(&daemon, 900);
    let mut server_end = server.accept();
    assert!(server_end.read_line().starts_with("OPEN "));
    daemon.suspend();
    server_end.send_line("UP 7");
    std::thread::sleep(Duration::from_millis(1000));
    daemon.resume();
    match &client.read_line()[..] {
        "UP 7" => {
            client.send_line("M 1");
            assert_eq!(server_end.read_line(), "M 1");
        }
        rejected => {
            assert!(rejected.starts_with("BUSY"), "{rejected}");
            assert_eq!((client.read_to_end(), server_end.read_to_end()), (String::new(), String::new()));
        }
    }
    drop((client, server_end));

    wait_until_idle(&daemon);
}
