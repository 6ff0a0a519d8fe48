//! Servers, clients and a discovery service on loopback for tests over real sockets, and the daemon between them.

mod client;
mod daemon;
pub(crate) mod discovery;
mod irc_server;
mod manual_server;

use std::net::TcpStream;
use std::time::{Duration, Instant};

pub(crate) use client::Client;
pub(crate) use daemon::{irc_config, Daemon};
pub(crate) use irc_server::{Behaviour, Server};
pub(crate) use manual_server::ManualServer;

/// Long enough for a busy machine; nothing here waits so long unless it fails.
pub(crate) const MAX_WAIT: Duration = Duration::from_secs(20);

/// Waits until a condition holds.
pub(crate) fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let since = Instant::now();
    while !condition() {
        assert!(since.elapsed() < MAX_WAIT, "never: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Resets a connection, whoever else holds a copy of its descriptor.
pub(crate) fn reset_connection(stream: TcpStream) {
    rustix::net::connect_unspec(&stream).expect("broken off");
}
