//! Fake servers, clients and discovery on loopback for tests over real sockets, and the daemon as a child
//! process.

mod client;
mod daemon;
pub(crate) mod discovery;
mod irc_server;
mod manual_server;

use std::net::TcpStream;
use std::time::{Duration, Instant};

pub(crate) use client::Client;
pub(crate) use daemon::{irc_config, Daemon};
pub(crate) use irc_server::{FakeIrcServer, RegistrationReply};
pub(crate) use manual_server::ManualServer;

/// Limit of each wait of a test. It leaves room for a busy machine and is reached only where a test fails.
pub(crate) const MAX_WAIT: Duration = Duration::from_secs(20);

/// Waits until a condition holds. Panics with `expected`, a statement of the condition, after [`MAX_WAIT`].
pub(crate) fn wait_until(expected: &str, mut condition: impl FnMut() -> bool) {
    let since = Instant::now();
    while !condition() {
        assert!(since.elapsed() < MAX_WAIT, "not within {MAX_WAIT:?}: {expected}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Resets a connection, also where other copies of its descriptor are open.
pub(crate) fn reset_connection(stream: TcpStream) {
    rustix::net::connect_unspec(&stream).expect("the connection is reset");
}
