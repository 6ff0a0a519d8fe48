//! Hundreds of clients that are connected at once, and keep as many bytes in the daemon as they can. All their
//! bytes must fit into the daemon's memory limit, above which it would be killed.

use std::io::{ErrorKind, Write};
use std::time::Duration;

use super::{start_irc_front, start_platform_front, SMALLEST_LIMITS};
use crate::fake_servers::discovery::Discovery;
use crate::fake_servers::{wait_until, Client, Daemon, ManualServer};
use crate::platform;

/// Number of clients that connect, more than the daemon keeps.
const CLIENTS: usize = 400;
/// Number of consecutive writes without progress after which a connection's buffers are full.
const REFUSED_WRITES: usize = 3;
/// Time for the daemon to read the bytes between two writes.
const READ_TIME: Duration = Duration::from_millis(1);

/// Writes repeatedly until the connection accepts no more bytes.
fn fill(connection: &Client, bytes: &[u8]) {
    let mut stream = connection.stream();
    stream.set_nonblocking(true).expect("the mode is set");
    let mut refused_writes = 0;
    while refused_writes < REFUSED_WRITES {
        match stream.write(bytes) {
            Ok(_) => refused_writes = 0,
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                refused_writes += 1;
                std::thread::sleep(READ_TIME);
            }
            // The daemon has closed the connection.
            Err(_) => return,
        }
    }
}

/// Connects clients that send these bytes and then nothing more. The daemon may close some of them.
fn connect_clients(address: &str, bytes: &[u8]) -> Vec<Client> {
    let clients: Vec<Client> = (0..CLIENTS).map(|_| Client::connect(address)).collect();
    for client in &clients {
        let _ = client.stream().write_all(bytes);
    }
    clients
}

/// Establishes as many platform clients as the daemon admits, each with the server's end of its connection.
fn establish_clients(daemon: &Daemon, server: &ManualServer) -> Vec<(Client, Client)> {
    let mut established = Vec::new();
    loop {
        let mut client = platform::connect_and_open(daemon);
        let mut server_end = None;
        wait_until("the request is forwarded or answered", || {
            server_end = server.try_accept();
            server_end.is_some() || client.has_input()
        });
        let Some(mut server_end) = server_end else { return established };
        assert!(server_end.read_line().starts_with("OPEN "));
        server_end.send_line("UP 1");
        assert_eq!(client.read_line(), "UP 1");
        established.push((client, server_end));
    }
}

/// Requests that stop half way, beside established connections whose both sides send and do not read.
#[test]
fn platform_clients_that_do_not_read_fit_into_memory() {
    let server = ManualServer::start();
    let discovery = Discovery::scripted(Vec::new());
    let daemon = start_platform_front(discovery.address, &server, SMALLEST_LIMITS);

    let established = establish_clients(&daemon, &server);
    assert!(established.len() > 100, "{} clients were admitted", established.len());
    let line = format!("{}\r\n", "x".repeat(4000)).repeat(40);
    for (client, server_end) in &established {
        fill(client, line.as_bytes());
        fill(server_end, line.as_bytes());
    }
    let _half_requests = connect_clients(&daemon.platform_address, &[b'x'; 4000]);

    assert!(daemon.admin_call("readyz").starts_with("YES"));
    SMALLEST_LIMITS.assert_kept(&daemon);
}

/// Registrations that stop half way, with many long lines before.
#[test]
fn irc_clients_that_do_not_finish_their_registration_fit_into_memory() {
    let server = ManualServer::start();
    let daemon = start_irc_front(&server, &SMALLEST_LIMITS.member());

    let lines = format!("CAP REQ :{}\r\n", "a ".repeat(200)).repeat(40);
    let _clients = connect_clients(&daemon.irc_address, &[lines.as_bytes(), &[b'x'; 8000]].concat());

    assert!(daemon.admin_call("readyz").starts_with("YES"));
    SMALLEST_LIMITS.assert_kept(&daemon);
}

/// Clients that send ahead while their servers send notices and no welcome, then both sides send and do not
/// read.
#[test]
fn irc_clients_that_do_not_read_fit_into_memory() {
    let server = ManualServer::start();
    let daemon = start_irc_front(&server, &SMALLEST_LIMITS.member());

    let registration = format!("NICK a\r\nUSER u 0 * :{}\r\n", "r".repeat(300));
    let early_lines = "PRIVMSG #a :early line\r\n".repeat(330);
    let clients = connect_clients(&daemon.irc_address, format!("{registration}{early_lines}").as_bytes());
    let server_ends: Vec<Client> = std::iter::from_fn(|| server.try_accept()).collect();
    let notices = format!("{}{}", ":s NOTICE * :wait\r\n".repeat(300), "x".repeat(8000));
    for server_end in &server_ends {
        let _ = server_end.stream().write_all(notices.as_bytes());
    }
    assert!(daemon.admin_call("readyz").starts_with("YES"));
    for server_end in &server_ends {
        let _ = server_end.stream().write_all(b"\r\n:s 001 a :Welcome\r\n");
        fill(server_end, &b":s NOTICE * :line\r\n".repeat(2000));
    }
    for client in &clients {
        fill(client, &b"\0\r\n\0\r\nPRIVMSG #a :line\r\n".repeat(2000));
    }

    assert!(daemon.admin_call("readyz").starts_with("YES"));
    SMALLEST_LIMITS.assert_kept(&daemon);
}
