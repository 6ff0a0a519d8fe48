//! What comes in the wake-up in which a successor asks for the connections.

use std::io::Write;

use super::{establish, TestSettings};
use crate::fake_servers::{reset_connection, ManualServer};

/// Neither process loses or repeats what comes in the wake-up in which the successor asks for the connections.
#[test]
fn delivers_once_what_crosses_a_hot_restart() {
    for event in ["client's line", "server's line", "client's end", "server's reset", "SIGTERM"] {
        let server = ManualServer::start();
        let (mut daemon, _discovery) = TestSettings::default().start(&[&server]);

        let (client, attempt) = establish(&daemon, &server);
        let (mut client, mut attempt) = (Some(client), Some(attempt));
        daemon.suspend();
        match event {
            "client's line" => client.as_mut().expect("one").send_line("M 1"),
            "server's line" => attempt.as_mut().expect("one").send_line("M 2"),
            "client's end" => drop(client.take()),
            "server's reset" => reset_connection(attempt.take().expect("one").into_stream()),
            _ => daemon.signal("-TERM"),
        }
        let _successor = daemon.resume_beside_successor();
        let (mut client, mut attempt) = match (client, attempt) {
            (Some(client), Some(attempt)) => (client, attempt),
            // The other side is ended in the same way.
            (client, attempt) => {
                let mut left = client.or(attempt).expect("one");
                assert_eq!(left.read_to_end(), "", "{event}");
                continue;
            }
        };
        match event {
            "client's line" => assert_eq!(attempt.read_line(), "M 1"),
            "server's line" => assert_eq!(client.read_line(), "M 2"),
            // At SIGTERM the predecessor may migrate it, or transfer it before that.
            _ => assert!(daemon.wait_for_exit()),
        }
        let _ = attempt.stream().write_all(b"M 4\r\n");
        match &client.read_line()[..] {
            // Whichever process has it now, it goes on, and nothing came twice.
            "M 4" => {
                client.send_line("M 5");
                assert_eq!(attempt.read_line(), "M 5", "{event}");
            }
            last_line => {
                assert_eq!((last_line, event, client.read_to_end()), ("MOVE", "SIGTERM", String::new()));
                assert_eq!(attempt.read_to_end(), "");
            }
        }
    }
}
