//! A daemon, two servers and discovery. One of the servers begins to drain while the daemon's calls fail.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::{
    config, connect_and_open, request_until, start_daemon, wait_for_watches, RecordingServer, DRAIN_GRACE,
    SOCKET_SLACK,
};
use crate::fake_servers::discovery::{endpoint, Discovery, Reply};
use crate::fake_servers::{wait_until, Daemon};

/// Time from the beginning of a fault of discovery to the drain that the daemon misses.
pub(super) const DRAIN_DELAY: Duration = Duration::from_millis(500);
/// Time for which requests are sent after the drain counts as notified.
const REQUESTS_AFTER_EXPIRY: Duration = Duration::from_secs(3);

/// A daemon that watches a list of two servers. The first server begins to drain during the test.
pub(super) struct DrainScenario {
    draining: RecordingServer,
    other: RecordingServer,
    pub(super) discovery: Discovery,
    pub(super) daemon: Daemon,
    /// The predecessor of a hot restart, and a discovery that the configuration does not name any more.
    replaced: (Option<Daemon>, Option<Discovery>),
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
        let discovery = serve_list(&known, reply);
        let daemon = start_daemon(&discovery, "on_request", &known);
        DrainScenario { draining, other, discovery, daemon, replaced: (None, None) }
    }

    /// Replaces the daemon by a successor.
    pub(super) fn restart(&mut self) {
        let successor = self.daemon.start_successor();
        self.replaced.0 = Some(std::mem::replace(&mut self.daemon, successor));
    }

    /// Replaces the configuration by one that names another discovery, which lists the same servers and sends
    /// this reply. The old discovery continues to run.
    pub(super) fn move_discovery(&mut self, reply: Reply) {
        let discovery = serve_list(&ready_list(&self.draining, &self.other), reply);
        self.name_discovery(discovery.address);
        self.replaced.1 = Some(std::mem::replace(&mut self.discovery, discovery));
    }

    /// Replaces the configuration by one that names the old discovery again, which sends this reply from now on.
    pub(super) fn return_to_old_discovery(&mut self, reply: Reply) {
        let old = self.replaced.1.as_mut().expect("the discovery was replaced");
        old.set_reply(reply);
        std::mem::swap(&mut self.discovery, old);
        self.name_discovery(self.discovery.address);
    }

    /// Replaces the configuration by one that names this address of discovery.
    pub(super) fn name_discovery(&self, address: SocketAddr) {
        let known = ready_list(&self.draining, &self.other);
        self.daemon.reload("config.json", &config(address, "on_request", &known));
    }

    /// Begins the drain of the first server [`DRAIN_DELAY`] from now, and returns that time. All requests must be
    /// served until then.
    pub(super) fn drain(&self) -> Instant {
        let drains_at = Instant::now() + DRAIN_DELAY;
        let served = request_until(&self.daemon.platform_address, drains_at);
        assert!(served.iter().all(|served| *served), "the list is in use when the drain begins");
        self.discovery.publish("s-00000001", endpoint("s-00000001", self.draining.address, "draining"));
        drains_at
    }

    /// Sends requests until some time after the drain counts as notified at `notified_at`, and then lets discovery
    /// answer. Fails if a request reaches the draining server after the grace of the drain, or if clients are not
    /// served by the other server at the end.
    pub(super) fn expect_no_request_after_the_grace(&self, notified_at: Instant, case: &str) {
        request_until(&self.daemon.platform_address, notified_at + REQUESTS_AFTER_EXPIRY);
        let allowed_until = notified_at + DRAIN_GRACE + SOCKET_SLACK;
        let lateness = self.draining.last_arrival().map(|at| at.saturating_duration_since(allowed_until));
        let message = "time from the end of the grace to the last request";
        assert_eq!(lateness, Some(Duration::ZERO), "{case}: {message}");

        self.discovery.set_reply(Reply::EndpointList);
        let recovered_at = Instant::now();
        wait_until("clients are served again", || {
            connect_and_open(&self.daemon.platform_address).read_line() == "UP 1"
        });
        assert!(self.other.last_arrival() > Some(recovered_at), "{case}");
    }
}

/// Plays each case on a thread of its own.
pub(super) fn in_parallel<T: Send>(cases: impl IntoIterator<Item = T>, play: impl Fn(T) + Sync) {
    std::thread::scope(|scope| {
        for case in cases {
            let play = &play;
            scope.spawn(move || play(case));
        }
    });
}

/// Returns the entries of both servers, before the first one drains.
fn ready_list(draining: &RecordingServer, other: &RecordingServer) -> [String; 2] {
    [endpoint("s-00000001", draining.address, "ready"), endpoint("s-00000002", other.address, "ready")]
}

fn serve_list([draining, other]: &[String; 2], reply: Reply) -> Discovery {
    let discovery = Discovery::serving(&[("s-00000001", draining.clone()), ("s-00000002", other.clone())]);
    discovery.set_reply(reply);
    discovery
}
