//! Responses of discovery whose parsed form takes many times their memory.

use std::io::Write;
use std::net::{SocketAddr, TcpListener};

use super::{assert_admin_calls_are_answered_in_time, start_platform_front, SMALLEST_LIMITS};
use crate::fake_servers::ManualServer;

/// Number of repetitions of a short field, more than a response can contain.
const FIELDS: usize = 2_000_000;

/// Starts a service that answers each call with these bytes.
fn start_discovery(response: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("the listener binds");
    let address = listener.local_addr().expect("the listener has an address");
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let response = response.clone();
            std::thread::spawn(move || stream.write_all(response.as_bytes()));
        }
    });
    address
}

/// Returns a response with this body.
fn with_body(body: &str) -> String {
    format!("HTTP/1.1 200 X\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// A head of very many short fields, lists of very many short values, and long responses. The parsed fields once
/// exceeded the memory limit.
#[test]
fn responses_of_very_many_short_fields_fit_into_memory() {
    let list = |values: String| format!(r#"{{"generation": 9, "reset": true, "instances": [{values}]}}"#);
    let responses = [
        format!("HTTP/1.1 200 X\r\n{}", "a:\r\n".repeat(FIELDS)),
        with_body(&list(format!("{}1", "1,".repeat(FIELDS)))),
        with_body(&list(format!("{}1", "[],".repeat(FIELDS / 2)))),
        with_body(&list(format!("{}1", r#"{"a":1},"#.repeat(30_000)))),
        with_body(&"x".repeat(FIELDS * 2)),
        with_body(&"x".repeat(FIELDS)),
        with_body(&list(format!("\"{}\"", "x".repeat(FIELDS)))),
    ];
    // The daemons run at the same time, since each is observed for seconds.
    std::thread::scope(|scope| {
        for response in responses {
            scope.spawn(|| {
                let server = ManualServer::start();
                let daemon = start_platform_front(start_discovery(response), &server, SMALLEST_LIMITS);
                assert_admin_calls_are_answered_in_time(&daemon);
                SMALLEST_LIMITS.assert_kept(&daemon);
            });
        }
    });
}
