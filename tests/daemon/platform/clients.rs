//! Clients of the platform that are served, migrated or rejected, and clients that break the protocol.

use std::io::Write;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::{connect_and_open, start_daemon, start_server};
use crate::fake_servers::discovery::{endpoint, endpoint_list, Discovery};
use crate::fake_servers::{wait_until, Client, MAX_WAIT};

#[test]
fn forwards_lines_in_pieces_and_closes_in_both_directions() {
    let (server, lines) = start_server("UP 1", false);
    let discovery = Discovery::scripted(Vec::new());
    let daemon =
        start_daemon(discovery.address, &endpoint_list(1, true, &[endpoint("s-00000001", server, "ready")]));

    let mut client = Client::connect(&daemon.platform_address);
    for piece in ["PI", "NG\r", "\nOPEN 9b1f 7f3a c=ch", "at,d=3000\r", "\n"] {
        client.stream().write_all(piece.as_bytes()).expect("the bytes are written");
        std::thread::sleep(Duration::from_millis(20));
    }
    assert_eq!((client.read_line(), client.read_line()), ("PONG".to_owned(), "UP 1".to_owned()));
    client.send_line(&"z".repeat(4094));
    assert_eq!(client.read_line().len(), 4094);
    // The client closes its sending side, and must still receive the lines that follow.
    client.send_line("last");
    client.stream().shutdown(Shutdown::Write).expect("the sending side is closed");
    assert_eq!(client.read_to_end(), "last\r\n");
    wait_until("the server receives the end", || lines.lock().unwrap().iter().any(|line| line == "end"));
}

#[test]
fn migrates_a_client_whose_server_is_silent() {
    let (server, _) = start_server("UP 1", true);
    let discovery = Discovery::scripted(Vec::new());
    let daemon =
        start_daemon(discovery.address, &endpoint_list(1, true, &[endpoint("s-00000001", server, "ready")]));

    let mut client = connect_and_open(&daemon);
    assert_eq!(client.read_line(), "UP 1");
    client.send_line("M 1");
    let since = Instant::now();

    assert_eq!(client.read_to_end(), "MOVE\r\n");
    assert!(
        since.elapsed() > Duration::from_secs(4),
        "migrated too early: a healthy server may take a while"
    );
}

#[test]
fn rejects_at_once_with_retry_after_without_servers() {
    let discovery = Discovery::scripted(Vec::new());
    let daemon = start_daemon(discovery.address, &endpoint_list(1, true, &[]));

    let since = Instant::now();
    let answer = connect_and_open(&daemon).read_to_end();
    let wait = answer.strip_prefix("BUSY ").and_then(|rest| rest.trim_end().parse::<u64>().ok());

    assert!(wait.is_some_and(|ms| ms > 0), "{answer}");
    assert!(since.elapsed() < MAX_WAIT / 2, "the rejection was delayed");
}

/// A server sends without end to a client that does not read. The balancer must stop reading from the server,
/// or these bytes would fill its memory.
#[test]
fn stops_reading_from_the_server_of_a_client_that_does_not_read() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("the listener binds");
    let server = listener.local_addr().expect("the listener has an address");
    let sent = Arc::new(Mutex::new(0usize));
    let sent_by_server = sent.clone();
    std::thread::spawn(move || {
        let (mut stream, _): (TcpStream, _) = listener.accept().expect("an attempt arrives");
        let _ = stream.write_all(b"UP 1\r\n");
        let _ = stream.set_write_timeout(Some(Duration::from_millis(700)));
        let line = [&[b'x'; 998][..], b"\r\n"].concat();
        while stream.write_all(&line).is_ok() && *sent_by_server.lock().unwrap() < 64 << 20 {
            *sent_by_server.lock().unwrap() += line.len();
        }
        // The lines have an even length: an odd count marks the end of the writes.
        *sent_by_server.lock().unwrap() |= 1;
    });
    let discovery = Discovery::scripted(Vec::new());
    let daemon =
        start_daemon(discovery.address, &endpoint_list(1, true, &[endpoint("s-00000001", server, "ready")]));

    let mut client = connect_and_open(&daemon);
    assert_eq!(client.read_line(), "UP 1");
    wait_until("the server's writes have ended", || *sent.lock().unwrap() & 1 == 1);
    let sent_bytes = *sent.lock().unwrap();

    assert!(sent_bytes < 32 << 20, "the balancer read {sent_bytes} bytes for a client that does not read");
}

#[test]
fn migrates_clients_and_answers_new_ones_at_sigterm_and_exits_in_time() {
    let (server, _) = start_server("UP 1", false);
    let discovery = Discovery::scripted(Vec::new());
    let mut daemon =
        start_daemon(discovery.address, &endpoint_list(1, true, &[endpoint("s-00000001", server, "ready")]));

    let mut established: Vec<Client> = (0..5).map(|_| connect_and_open(&daemon)).collect();
    established.iter_mut().for_each(|client| assert_eq!(client.read_line(), "UP 1"));
    let since = Instant::now();
    daemon.signal("-TERM");
    daemon.log_line("draining: ");
    assert!(connect_and_open(&daemon).read_to_end().starts_with("BUSY "));
    established.iter_mut().for_each(|client| assert_eq!(client.read_to_end(), "MOVE\r\n"));
    assert!(daemon.wait_for_exit());
    // The platform sends SIGKILL 3.7 s after SIGTERM.
    assert!(since.elapsed() < MAX_WAIT / 2, "exited only after {:?}", since.elapsed());
    assert!(
        since.elapsed() >= Duration::from_secs(1),
        "exited after {:?}, while new clients still arrive",
        since.elapsed()
    );
}

/// A client that sends invalid, incomplete or no lines must soon receive an error or be closed, and must
/// delay no other client. The daemon may have descriptors for 160 sockets, and 450 clients connect here.
#[test]
fn answers_or_closes_bad_clients_while_it_serves_others() {
    let (server, lines) = start_server("UP 1", false);
    let discovery = Discovery::scripted(Vec::new());
    let daemon =
        start_daemon(discovery.address, &endpoint_list(1, true, &[endpoint("s-00000001", server, "ready")]));

    let since = Instant::now();
    let silent_clients: Vec<Client> = (0..400).map(|_| Client::connect(&daemon.platform_address)).collect();
    let mut valid_client = connect_and_open(&daemon);
    assert_eq!(valid_client.read_line(), "UP 1");
    let mut invalid_clients: Vec<Client> = (0..50)
        .map(|n| {
            let mut client = Client::connect(&daemon.platform_address);
            client.send_line(&format!("OPEN bad{n} k c=nothing,d=1000"));
            client
        })
        .collect();
    invalid_clients.iter_mut().for_each(|client| assert_eq!(client.read_to_end(), "ERR\r\n"));
    // A client that sends far more than the balancer reads still receives its error, since it reads while it
    // writes.
    let mut flooding_client = Client::connect(&daemon.platform_address);
    let mut writer = flooding_client.stream().try_clone().expect("the stream is cloned");
    std::thread::spawn(move || (0..1000).take_while(|_| writer.write_all(&[b'x'; 60_000]).is_ok()).count());
    assert_eq!(flooding_client.read_line(), "ERR");
    let mut half_line_client = Client::connect(&daemon.platform_address);
    half_line_client.stream().write_all(b"OPEN half").expect("the bytes are written");
    assert_eq!(half_line_client.read_to_end(), "");
    for mut client in silent_clients {
        assert_eq!(client.read_to_end(), "");
    }
    // Only a slow machine may get near this limit.
    assert!(since.elapsed() < MAX_WAIT / 2, "answered only after {:?}", since.elapsed());
    valid_client.send_line("M 1");
    assert_eq!(valid_client.read_line(), "M 1");
    let lines = lines.lock().unwrap().clone();

    assert!(lines.iter().all(|line| !line.contains("bad") && !line.contains("half")), "{lines:?}");
}
