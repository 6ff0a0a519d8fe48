//! Races of two events, forced on real sockets: the daemon is suspended until both events have happened, so
//! that its event loop receives both in one wake-up. `docs/races.md` has a row for each race.

mod answer;
mod attempt;
mod client;
mod discovery;
mod hot_restart;
mod relay;
mod request_ids;
mod shutdown;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};

use crate::fake_servers::discovery::{endpoint, endpoint_list, Discovery};
use crate::fake_servers::{irc_config, wait_until, Client, Daemon, ManualServer};

/// The platform's settings that differ between tests.
struct TestSettings {
    /// JSON members of the class `chat`, in addition to its name and deadline.
    class_members: &'static str,
    connect_timeout_ms: u32,
    /// Further JSON members of the settings.
    settings_members: &'static str,
}

impl Default for TestSettings {
    fn default() -> TestSettings {
        TestSettings {
            class_members: r#""repeat": "repeatable""#,
            connect_timeout_ms: 8000,
            settings_members: r#""discovery": "on_request""#,
        }
    }
}

impl TestSettings {
    /// Returns a platform configuration. `known` is the endpoint list that the daemon has before it calls
    /// discovery.
    fn config(&self, listen: &str, discovery: SocketAddr, known: &str) -> String {
        let TestSettings { class_members, connect_timeout_ms, settings_members } = self;
        format!(
            r#"{{"name": "n0", "listen": "{listen}", "discovery": "{discovery}", "seed": "5", "known": {known},
                "limits": {{"sockets": 160, "memory_mb": 32}},
                "settings": {{{settings_members}, "zones": ["a"], "classes": [{{"name": "chat", "deadline": 9000, {class_members}}}],
                  "limits": {{"connect-timeout": {connect_timeout_ms}, "try-limit": 6, "cancel": true, "retry-after": true}}}}}}"#
        )
    }

    /// Starts a daemon whose configuration lists these servers, and the discovery service that it calls.
    fn start(&self, servers: &[&ManualServer]) -> (Daemon, Discovery) {
        let discovery = Discovery::manual();
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

/// Connects a client that requests a connection and gives up after `wait_ms`.
fn connect_and_open(daemon: &Daemon, wait_ms: u32) -> Client {
    static NEXT_ID: AtomicUsize = AtomicUsize::new(0);
    let mut client = Client::connect(&daemon.platform_address);
    client.send_line(&format!("OPEN id{} 7f3a c=chat,d={wait_ms}", NEXT_ID.fetch_add(1, Ordering::Relaxed)));
    client
}

/// Connects a client and waits until the daemon has received its request.
fn open_and_wait(daemon: &Daemon) -> Client {
    let outstanding_before = daemon.metric("outstanding");
    let client = connect_and_open(daemon, 9000);
    wait_until("the request is outstanding", || daemon.metric("outstanding") == outstanding_before + 1);
    client
}

/// Establishes a client at `server`. Returns the client, and the server's end of the balancer's connection to
/// it.
fn establish(daemon: &Daemon, server: &ManualServer) -> (Client, Client) {
    let mut client = connect_and_open(daemon, 9000);
    let mut server_end = server.accept();
    assert!(server_end.read_line().starts_with("OPEN "));
    server_end.send_line("UP 1");
    assert_eq!(client.read_line(), "UP 1");
    (client, server_end)
}

fn wait_until_idle(daemon: &Daemon) {
    wait_until("no request is outstanding", || daemon.metric("outstanding") == 0);
}
