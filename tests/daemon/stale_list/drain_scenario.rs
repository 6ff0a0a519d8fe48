//! A daemon, two servers and discovery. One of the servers begins to drain while the daemon's calls fail.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::{
    config, connect_and_open, request_until, start_daemon, wait_for_watches, RecordingServer, DRAIN_GRACE,
    SOCKET_SLACK,
};
use crate::fake_servers::discovery::{endpoint, Discovery, Reply};
use crate::fake_servers::{wait_until, Daemon};

/// Time for which requests are sent after the drain counts as notified.
const REQUESTS_AFTER_EXPIRY: Duration = Duration::from_secs(3);

/// A daemon that watches a list of two servers. The first server begins to drain during the test.
pub(super) struct DrainScenario {
    draining: RecordingServer,
    other: RecordingServer,
    pub(super) discovery: Discovery,
    pub(super) daemon: Daemon,
}

impl DrainScenario {
    /// Starts a daemon and waits until discovery holds its calls.
    pub(super) fn start() -> DrainScenario {
        let scenario = DrainScenario::start_with_reply(Reply::EndpointList);
        wait_for_watches(&scenario.discovery, 1);
        scenario
    }

    /// Starts a daemon that has a cached list, and whose calls get this reply from the start.
    pub(super) fn start_with_reply(reply: Reply) -> DrainScenario {
        let (draining, other) = (RecordingServer::start(), RecordingServer::start());
        let known = ready_list(&draining, &other);
        let discovery = serve_list(&known);
        discovery.set_reply(reply);
        let daemon = start_daemon(&discovery, "on_request", &known);
        DrainScenario { draining, other, discovery, daemon }
    }

    /// Replaces the configuration by one that names another discovery, which lists the same servers and sends
    /// this reply. Returns the old discovery, which continues to run.
    pub(super) fn move_discovery(&mut self, reply: Reply) -> Discovery {
        let known = ready_list(&self.draining, &self.other);
        let discovery = serve_list(&known);
        discovery.set_reply(reply);
        self.name_discovery(discovery.address);
        std::mem::replace(&mut self.discovery, discovery)
    }

    /// Replaces the configuration by one that names this address of discovery.
    pub(super) fn name_discovery(&self, address: SocketAddr) {
        let known = ready_list(&self.draining, &self.other);
        self.daemon.reload("config.json", &config(address, "on_request", &known));
    }

    /// Sends requests until `drains_at`, and then begins the drain of the first server.
    pub(super) fn drain_at(&self, drains_at: Instant, case: &str) {
        let served = request_until(&self.daemon.platform_address, drains_at);
        assert!(served.iter().all(|served| *served), "{case}: the list is in use when the drain begins");
        self.discovery.publish("s-00000001", endpoint("s-00000001", self.draining.address, "draining"));
    }

    /// Sends requests until some time after the drain counts as notified at `notified_at`. Fails if a request
    /// reaches the draining server after the grace of the drain.
    pub(super) fn expect_no_request_after_the_grace(&self, notified_at: Instant, case: &str) {
        request_until(&self.daemon.platform_address, notified_at + REQUESTS_AFTER_EXPIRY);

        let allowed_until = notified_at + DRAIN_GRACE + SOCKET_SLACK;
        let lateness = self.draining.last_arrival().map(|at| at.saturating_duration_since(allowed_until));
        assert_eq!(
            lateness,
            Some(Duration::ZERO),
            "{case}: time from the end of the grace to the last request"
        );
    }

    /// Discovery answers again. Fails if clients are not served by the server that does not drain.
    pub(super) fn expect_recovery(&self, case: &str) {
        self.discovery.set_reply(Reply::EndpointList);
        let recovered_at = Instant::now();
        wait_until("clients are served again", || {
            connect_and_open(&self.daemon.platform_address).read_line() == "UP 1"
        });
        assert!(self.other.last_arrival() > Some(recovered_at), "{case}");
    }
}

/// Returns the entries of both servers, before the first one drains.
fn ready_list(draining: &RecordingServer, other: &RecordingServer) -> [String; 2] {
    [endpoint("s-00000001", draining.address, "ready"), endpoint("s-00000002", other.address, "ready")]
}

fn serve_list([draining, other]: &[String; 2]) -> Discovery {
    Discovery::serving(&[("s-00000001", draining.clone()), ("s-00000002", other.clone())])
}
