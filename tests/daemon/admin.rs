//! The admin endpoint over sockets: many clients, invalid calls, a reload, and the log.

use std::io::Write;
use std::net::Shutdown;

use connection_balancer::routing::LogEvent;

use crate::fake_servers::{irc_config, wait_until, Behaviour, Client, Daemon, Server};

/// A daemon with an IRC front and one server.
fn start_daemon(more: &str) -> Daemon {
    let server = Server::start(Behaviour::Welcome);
    Daemon::start(&irc_config(&[&server], more), None)
}

fn admin_call(mgmt: &str, call: &str) -> String {
    let mut admin_client = Client::connect(mgmt);
    admin_client.send_line(call);
    admin_client.read_to_end()
}

/// Some clients send nothing, or half of a call, and stay connected; and they may be many.
#[test]
fn answers_calls_beside_many_silent_clients_and_closes_those() {
    let daemon = start_daemon("");
    let mut silent_clients: Vec<Client> = (0..60).map(|_| Client::connect(&daemon.mgmt)).collect();
    for admin_client in silent_clients.iter_mut().step_by(2) {
        // Those that were closed already cannot be written to.
        let _ = admin_client.stream().write_all(b"read");
    }
    assert_eq!(admin_call(&daemon.mgmt, "readyz"), "YES\r\n");
    assert!(admin_call(&daemon.mgmt, "telemetry").ends_with("END\r\n"));
    for admin_client in &mut silent_clients {
        let reply = admin_client.read_to_end();
        assert!(reply.is_empty() || reply.starts_with("NO "), "{reply}");
    }
}

#[test]
fn rejects_invalid_calls_with_a_reason_and_joins_the_pieces_of_a_call() {
    let daemon = start_daemon("");
    for bad in ["", "readyz now", "READYZ", "GET / HTTP/1.1", &"x".repeat(5000)] {
        let reply = admin_call(&daemon.mgmt, bad);
        assert!(reply.starts_with("NO ") && reply.len() > 5, "{bad}: {reply}");
    }
    let mut admin_client = Client::connect(&daemon.mgmt);
    for piece in ["re", "ady", "z\r", "\n"] {
        admin_client.stream().write_all(piece.as_bytes()).expect("written");
        std::thread::sleep(std::time::Duration::from_millis(10));
    }
    assert_eq!(admin_client.read_to_end(), "YES\r\n");
    // A line that was cut off may have been the start of another call.
    let mut admin_client = Client::connect(&daemon.mgmt);
    admin_client.stream().write_all(b"readyz").expect("written");
    admin_client.stream().shutdown(Shutdown::Write).expect("ended");
    assert!(admin_client.read_to_end().starts_with("NO "));
}

#[test]
fn reload_moves_the_admin_endpoint() {
    let daemon = start_daemon("");
    let server = Server::start(Behaviour::Welcome);
    let reload = |mgmt: &str| {
        daemon.reload("irc.json", &irc_config(&[&server], "").replace("\"mgmt\": \"127.0.0.1:0\",", mgmt));
    };
    reload("\"mgmt\": \"127.0.0.2:0\",");
    let line = daemon.log_line("admin endpoint open on 127.0.0.2:");
    let new_address = line.rsplit(' ').next().expect("an address");
    assert_eq!(admin_call(new_address, "readyz"), "YES\r\n");
    wait_until("the old endpoint is closed", || std::net::TcpStream::connect(&daemon.mgmt).is_err());
    reload("");
    wait_until("no endpoint is left", || std::net::TcpStream::connect(new_address).is_err());
}

/// As JSON, each line is one object; the levels are followed by module.
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
