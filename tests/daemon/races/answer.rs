//! One answer for each client, whatever its server replies and when.

use std::io::Write;
use std::net::Shutdown;
use std::time::Duration;

use super::{connect_and_open, wait_until_idle, TestSettings};
use crate::fake_servers::ManualServer;

/// Whatever a server answers with, its client has one answer, whole, and in time.
#[test]
fn answers_once_whatever_the_server_replies() {
    let long = "x".repeat(9000);
    let cases: [(&[&str], bool, &str); 8] = [
        (&["U", "P ", "7\r", "\n"], false, "UP 7\r\n"),
        (&["UP 7\r\nLOAD 3\r\nBYE\r\n"], true, "UP 7\r\nLOAD 3\r\nBYE\r\n"),
        (&["UP 7\r\nhalf"], true, "UP 7\r\nhalf"),
        (&["UP 7"], true, "BUSY"),
        (&["ERR\r\n", "UP 7\r\n"], false, "BUSY"),
        (&["BUSY\r\nUP 7\r\n"], true, "BUSY"),
        (&[&long], false, "BUSY"),
        (&["\0\u{1}\r\n"], false, "BUSY"),
    ];
    for (pieces, ends, wanted) in cases {
        let server = ManualServer::start();
        let (daemon, _discovery) = TestSettings::default().start(&[&server]);

        // Where it is rejected, that may be at its deadline.
        let mut client = connect_and_open(&daemon, if wanted == "BUSY" { 900 } else { 9000 });
        let mut attempt = server.accept();
        assert!(attempt.read_line().starts_with("OPEN "));
        for piece in pieces {
            // One that has its answer is closed, perhaps before the last piece.
            let _ = attempt.stream().write_all(piece.as_bytes());
        }
        if ends {
            let _ = attempt.stream().shutdown(Shutdown::Both);
        }
        match wanted {
            "BUSY" => assert!(client.read_to_end().starts_with("BUSY"), "{pieces:?}"),
            _ if ends => assert_eq!(client.read_to_end(), wanted, "{pieces:?}"),
            _ => assert_eq!(format!("{}\r\n", client.read_line()), wanted, "{pieces:?}"),
        }
        drop((client, attempt));

        wait_until_idle(&daemon);
    }
}

/// The server's reply and the client's deadline come in one wake-up.
#[test]
fn answers_once_when_a_reply_crosses_the_deadline() {
    let server = ManualServer::start();
    let (daemon, _discovery) = TestSettings::default().start(&[&server]);

    let mut client = connect_and_open(&daemon, 900);
    let mut attempt = server.accept();
    assert!(attempt.read_line().starts_with("OPEN "));
    daemon.suspend();
    attempt.send_line("UP 7");
    std::thread::sleep(Duration::from_millis(1000));
    daemon.resume();
    match &client.read_line()[..] {
        "UP 7" => {
            client.send_line("M 1");
            assert_eq!(attempt.read_line(), "M 1");
        }
        rejected => {
            assert!(rejected.starts_with("BUSY"), "{rejected}");
            assert_eq!((client.read_to_end(), attempt.read_to_end()), (String::new(), String::new()));
        }
    }
    drop((client, attempt));

    wait_until_idle(&daemon);
}
