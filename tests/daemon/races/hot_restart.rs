//! Events on an established connection that cross a successor's request for the connections.

use std::io::Write;

use super::{establish, TestSettings};
use crate::fake_servers::{reset_connection, ManualServer};

/// A line, an end, a reset or SIGTERM reaches the predecessor around the successor's request for the
/// connections. Neither process may lose the event or handle it twice.
#[test]
fn handles_once_each_event_that_crosses_a_hot_restart() {
    for event in ["client's line", "server's line", "client's end", "server's reset", "SIGTERM"] {
        let server = ManualServer::start();
        let (mut daemon, _discovery) = TestSettings::default().start(&[&server]);

        let (client, server_end) = establish(&daemon, &server);
        let (mut client, mut server_end) = (Some(client), Some(server_end));
        daemon.suspend();
        match event {
            "client's line" => client.as_mut().expect("the client is connected").send_line("M 1"),
            "server's line" => server_end.as_mut().expect("the server is connected").send_line("M 2"),
            "client's end" => drop(client.take()),
            "server's reset" => {
                reset_connection(server_end.take().expect("the server is connected").into_stream());
            }
            _ => daemon.signal("-TERM"),
        }
        let _successor = daemon.resume_beside_successor();
        let (mut client, mut server_end) = match (client, server_end) {
            (Some(client), Some(server_end)) => (client, server_end),
            // The balancer closes the other side, too.
            (client, server_end) => {
                let mut other_side = client.or(server_end).expect("one side is connected");
                assert_eq!(other_side.read_to_end(), "", "{event}");
                continue;
            }
        };
        match event {
            "client's line" => assert_eq!(server_end.read_line(), "M 1"),
            "server's line" => assert_eq!(client.read_line(), "M 2"),
            // After SIGTERM the predecessor either transfers the connection or migrates its client.
            _ => assert!(daemon.wait_for_exit()),
        }
        let _ = server_end.stream().write_all(b"M 4\r\n");
        match &client.read_line()[..] {
            // Whichever process holds the connection relays lines, and no line was delivered twice.
            "M 4" => {
                client.send_line("M 5");
                assert_eq!(server_end.read_line(), "M 5", "{event}");
            }
            last_line => {
                assert_eq!((last_line, event, client.read_to_end()), ("MOVE", "SIGTERM", String::new()));
                assert_eq!(server_end.read_to_end(), "");
            }
        }
    }
}
