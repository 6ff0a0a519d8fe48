//! Two events that cross, on real sockets: the daemon is stopped until both have happened, and both come to it in one
//! wake-up. `docs/races.md` has a row for each.

mod answer;
mod attempt;
mod client;
mod discovery;
mod hot_restart;
mod relay;
mod shutdown;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};

use crate::fake_servers::discovery::{endpoint, endpoint_list, Discovery};
use crate::fake_servers::{irc_config, wait_until, Client, Daemon, ManualServer};

/// Settings that differ from test to test.
struct TestSettings {
    class: &'static str,
    connect_ms: u32,
    more: &'static str,
}

impl Default for TestSettings {
    fn default() -> TestSettings {
        TestSettings {
            class: r#""repeat": "repeatable""#,
            connect_ms: 8000,
            more: r#""discovery": "on_request""#,
        }
    }
}

impl TestSettings {
    fn config(&self, listen: &str, discovery: SocketAddr, known: &str) -> String {
        let TestSettings { class, connect_ms, more } = self;
        format!(
            r#"{{"name": "n0", "listen": "{listen}", "discovery": "{discovery}", "seed": "5", "known": {known},
                "limits": {{"sockets": 160, "memory_mb": 32}},
                "settings": {{{more}, "zones": ["a"], "classes": [{{"name": "chat", "deadline": 9000, {class}}}],
                  "limits": {{"connect-timeout": {connect_ms}, "try-limit": 6, "cancel": true, "retry-after": true}}}}}}"#
        )
    }

    /// A daemon whose list from before its start has these servers, and its discovery.
    fn start(&self, servers: &[&ManualServer]) -> (Daemon, Discovery) {
        let discovery = Discovery::by_test();
        let config = self.config("127.0.0.1:0", discovery.address, &ready_list(1, servers));
        (Daemon::start(&irc_config(&[], ""), Some(&config)), discovery)
    }
}

fn ready_list(generation: u32, servers: &[&ManualServer]) -> String {
    let entries: Vec<_> =
        servers.iter().enumerate().map(|(n, server)| nth_endpoint(n, server, "ready")).collect();
    endpoint_list(generation, true, &entries)
}

fn nth_endpoint(n: usize, server: &ManualServer, lifecycle: &str) -> String {
    endpoint(&format!("s-0000000{}", n + 1), server.address, lifecycle)
}

fn connect_and_open(daemon: &Daemon, wait_ms: u32) -> Client {
    static COUNT: AtomicUsize = AtomicUsize::new(0);
    let mut client = Client::connect(&daemon.platform);
    client.send_line(&format!("OPEN id{} 7f3a c=chat,d={wait_ms}", COUNT.fetch_add(1, Ordering::Relaxed)));
    client
}

/// A client whose request the daemon holds.
fn open_and_wait(daemon: &Daemon) -> Client {
    let before = daemon.metric("outstanding");
    let client = connect_and_open(daemon, 9000);
    wait_until("the request is taken", || daemon.metric("outstanding") == before + 1);
    client
}

/// An established client, with its server's end.
fn establish(daemon: &Daemon, server: &ManualServer) -> (Client, Client) {
    let mut client = connect_and_open(daemon, 9000);
    let mut attempt = server.accept();
    assert!(attempt.read_line().starts_with("OPEN "));
    attempt.send_line("UP 1");
    assert_eq!(client.read_line(), "UP 1");
    (client, attempt)
}

fn wait_until_idle(daemon: &Daemon) {
    wait_until("its slot is free", || daemon.metric("outstanding") == 0);
}
