//! The admin endpoint over sockets: many clients, invalid calls and a reload; and the JSON form of the log.

use std::io::Write;
use std::net::Shutdown;

use connection_balancer::routing::LogEvent;

use crate::fake_servers::{irc_config, wait_until, Client, Daemon, FakeIrcServer, RegistrationReply};

/// Starts a daemon with an IRC front and one server. `more` is inserted as further JSON members of its file.
fn start_daemon(more: &str) -> Daemon {
    let server = FakeIrcServer::start(RegistrationReply::Welcome);
    Daemon::start(&irc_config(&[&server], more), None)
}

fn admin_call(mgmt: &str, call: &str) -> String {
    let mut admin_client = Client::connect(mgmt);
    admin_client.send_line(call);
    admin_client.read_to_end()
}

/// Many clients may send nothing or half of a call and stay connected. Calls of other clients must still be
/// answered, and the silent clients must be closed.
#[test]
fn answers_calls_beside_many_silent_clients_and_closes_those() {
    let daemon = start_daemon("");
    let mut silent_clients: Vec<Client> = (0..60).map(|_| Client::connect(&daemon.admin_address)).collect();
    for admin_client in silent_clients.iter_mut().step_by(2) {
        // A write fails if the daemon has closed the connection already.
        let _ = admin_client.stream().write_all(b"read");
    }
    assert_eq!(admin_call(&daemon.admin_address, "readyz"), "YES\r\n");
    assert!(admin_call(&daemon.admin_address, "telemetry").ends_with("END\r\n"));
    for admin_client in &mut silent_clients {
        let reply = admin_client.read_to_end();
        assert!(reply.is_empty() || reply.starts_with("NO "), "{reply}");
    }
}

#[test]
fn rejects_invalid_calls_with_a_reason_and_joins_the_pieces_of_a_call() {
    let daemon = start_daemon("");
    for invalid_call in ["", "readyz now", "READYZ", "GET / HTTP/1.1", &"x".repeat(5000)] {
        let reply = admin_call(&daemon.admin_address, invalid_call);
        assert!(reply.starts_with("NO ") && reply.len() > 5, "{invalid_call}: {reply}");
    }
    let mut admin_client = Client::connect(&daemon.admin_address);
    for piece in ["re", "ady", "z\r", "\n"] {
        admin_client.stream().write_all(piece.as_bytes()).expect("the bytes are written");
        std::thread::sleep(std::time::Duration::from_millis(10));
    }
    assert_eq!(admin_client.read_to_end(), "YES\r\n");
    // A line without its end may be the start of another call.
    let mut admin_client = Client::connect(&daemon.admin_address);
    admin_client.stream().write_all(b"readyz").expect("the bytes are written");
    admin_client.stream().shutdown(Shutdown::Write).expect("the sending side is closed");
    assert!(admin_client.read_to_end().starts_with("NO "));
}

#[test]
fn reload_moves_the_admin_endpoint() {
    let daemon = start_daemon("");
    let server = FakeIrcServer::start(RegistrationReply::Welcome);
    let reload = |mgmt: &str| {
        daemon.reload("irc.json", &irc_config(&[&server], "").replace("\"mgmt\": \"127.0.0.1:0\",", mgmt));
    };
    reload("\"mgmt\": \"127.0.0.2:0\",");
    let line = daemon.log_line("admin endpoint open on 127.0.0.2:");
    let new_address = line.rsplit(' ').next().expect("the line ends with an address");
    assert_eq!(admin_call(new_address, "readyz"), "YES\r\n");
    wait_until("the old endpoint is closed", || std::net::TcpStream::connect(&daemon.admin_address).is_err());
    reload("");
    wait_until("the new endpoint is closed", || std::net::TcpStream::connect(new_address).is_err());
}

/// In JSON form, each log line is one object, and the configured levels apply to modules.
#[test]
fn logs_json_lines_where_configured() {
    let json = |levels: &str| format!(r#", "log": {{"format": "json", "levels": "{levels}"}}"#);
    let mut daemon = Daemon::start(&irc_config(&[], &json("info")), None);
    daemon.signal("-TERM");
    let line = daemon.log_line(&LogEvent::ShutdownStarted { connections: 0 }.to_string());
    let mut bytes = line.clone().into_bytes();
    let event = simd_json::to_owned_value(&mut bytes).unwrap_or_else(|e| panic!("{line}: {e}"));
    let event = format!("{event:?}");
    assert!(event.contains("INFO") && event.contains("connection_balancer::transport"), "{event}");
    assert!(daemon.wait_for_exit());
}
