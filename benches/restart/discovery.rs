//! A discovery service that answers each call with the whole endpoint list.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use crate::fake_server::FakeServer;

/// Delay of each answer.
const ANSWER_DELAY: Duration = Duration::from_secs(1);
/// Generation of the endpoint list in the daemon's settings. Each answer adds 1 to it.
const FIRST_GENERATION: u64 = 1;

/// Returns the endpoint list of all servers that are up, as JSON.
pub(crate) fn endpoint_list(servers: &[Arc<FakeServer>], generation: u64) -> String {
    let endpoints: Vec<String> =
        servers.iter().enumerate().filter_map(|(n, server)| endpoint(n, server)).collect();
    format!(r#"{{"generation": {generation}, "reset": true, "instances": [{}]}}"#, endpoints.join(","))
}

/// Returns a server's endpoint as JSON; `None` while the server is down.
fn endpoint(n: usize, server: &FakeServer) -> Option<String> {
    let address = server.address()?;
    let started_at_millis = server.started_at_millis();
    Some(format!(
        r#"{{"instanceId": "s-{:08x}", "hostPort": "{address}", "zone": "a", "lifecycle": "ready", "weight": 1.0, "startedAtMs": {started_at_millis}}}"#,
        n + 1
    ))
}

/// Starts a discovery service and returns its address.
pub(crate) fn start_discovery(servers: Vec<Arc<FakeServer>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port is available");
    let address = listener.local_addr().expect("the listener has an address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let servers = servers.clone();
            std::thread::spawn(move || answer_calls(stream, &servers));
        }
    });
    address
}

/// Answers the calls on one connection. An empty line ends the head of a call.
fn answer_calls(mut stream: TcpStream, servers: &[Arc<FakeServer>]) {
    let reader = BufReader::new(stream.try_clone().expect("the socket can be cloned"));
    let mut generation = FIRST_GENERATION;
    for line in reader.lines().map_while(Result::ok) {
        if !line.is_empty() {
            continue;
        }
        generation += 1;
        std::thread::sleep(ANSWER_DELAY);
        let body = endpoint_list(servers, generation);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        let _ = stream.write_all((head + &body).as_bytes());
    }
}
