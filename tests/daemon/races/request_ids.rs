//! Requests with the id of another request. A server must not receive an id twice.

use std::net::Shutdown;

use super::{wait_until_idle, TestSettings};
use crate::fake_servers::{reset_connection, wait_until, Client, Daemon, ManualServer};

/// Connects a client that sends a request with this id.
fn open_with_id(daemon: &Daemon, id: &str) -> Client {
    let mut client = Client::connect(&daemon.platform_address);
    send_request(&mut client, id);
    client
}

fn send_request(client: &mut Client, id: &str) {
    client.send_line(&format!("OPEN {id} 7f3a c=chat,d=9000"));
}

/// Accepts the request with this id, and returns the server's end of its connection.
fn accept_request(server: &ManualServer, id: &str) -> Client {
    let mut server_end = server.accept();
    let request = server_end.read_line();
    assert!(request.starts_with(&format!("OPEN {id} ")), "{request}");
    server_end
}

/// Waits until the request is answered with an error. Panics if the server receives it.
fn expect_error(client: &mut Client, server: &ManualServer) {
    wait_until("the request is answered", || {
        assert!(server.try_accept().is_none(), "the server received the id a second time");
        client.has_input()
    });
    assert_eq!(client.read_to_end(), "ERR\r\n");
}

/// A client leaves after its request was forwarded, and another one sends the same id. The server may have run
/// the request, and must not receive it again.
#[test]
fn does_not_forward_an_id_again_after_its_client_has_left() {
    for leaves_by_reset in [false, true] {
        let server = ManualServer::start();
        let (daemon, _discovery) = TestSettings::default().start(&[&server]);

        let client = open_with_id(&daemon, "9b1f");
        let _server_end = accept_request(&server, "9b1f");
        if leaves_by_reset {
            reset_connection(client.into_stream());
        } else {
            drop(client);
        }
        wait_until_idle(&daemon);

        expect_error(&mut open_with_id(&daemon, "9b1f"), &server);
        let _other_client = open_with_id(&daemon, "9b20");
        accept_request(&server, "9b20");
    }
}

/// A client that connected before an upgrade sends an id that is open at the successor, and a client of the
/// successor sends one that the predecessor has admitted since the upgrade. Each process must know the ids that
/// the other one admits, also after their clients have left.
#[test]
fn does_not_forward_an_id_that_the_other_process_of_a_hot_restart_serves() {
    let server = ManualServer::start();
    let (daemon, _discovery) = TestSettings::default().start(&[&server]);
    let mut connected_before = [(); 3].map(|()| Client::connect(&daemon.platform_address));
    for client in &mut connected_before {
        client.send_line("PING");
        assert_eq!(client.read_line(), "PONG");
    }
    let successor = daemon.start_successor();
    wait_until("the successor serves", || daemon.admin_call("readyz").starts_with("NO another process"));

    let _client = open_with_id(&successor, "9b1f");
    let _server_end = accept_request(&server, "9b1f");
    send_request(&mut connected_before[0], "9b1f");
    expect_error(&mut connected_before[0], &server);

    send_request(&mut connected_before[1], "9b20");
    let _server_end = accept_request(&server, "9b20");
    expect_error(&mut open_with_id(&successor, "9b20"), &server);

    let [_, _, leaving] = &mut connected_before;
    send_request(leaving, "9b21");
    let _server_end = accept_request(&server, "9b21");
    leaving.stream().shutdown(Shutdown::Both).expect("the connection is closed");
    wait_until("no other request is outstanding", || daemon.metric("outstanding") == 1);
    expect_error(&mut open_with_id(&successor, "9b21"), &server);
}
