//! A discovery that runs, and is too crowded to answer: its calls wait, and then fail as if it were down.

use std::time::{Duration, Instant};

use super::{
    connect_and_open, request_until, start_daemon, wait_for_watches, RecordingServer, DRAIN_GRACE,
    NOTIFIED_AFTER, SOCKET_SLACK,
};
use crate::fake_servers::discovery::{endpoint, endpoint_list, Discovery, Reply};
use crate::fake_servers::{wait_until, Daemon};

/// Time for which an overloaded discovery lets a call wait before it fails.
const WAIT_BEFORE_FAILURE: Duration = Duration::from_secs(1);
/// Time from the beginning of the overload to the drain that the daemon misses.
const DRAIN_DELAY: Duration = Duration::from_millis(500);
/// Time from a drain to the outage that follows the overload.
const OVERLOAD_BEFORE_OUTAGE: Duration = Duration::from_secs(3);
/// Time for which requests are sent after the drain counts as notified.
const REQUESTS_AFTER_EXPIRY: Duration = Duration::from_secs(3);

/// A daemon that watches a list of two servers. The first server begins to drain during the test.
struct DrainScenario {
    draining: RecordingServer,
    other: RecordingServer,
    discovery: Discovery,
    daemon: Daemon,
}

impl DrainScenario {
    fn start() -> DrainScenario {
        let (draining, other) = (RecordingServer::start(), RecordingServer::start());
        let known = [
            endpoint("s-00000001", draining.address, "ready"),
            endpoint("s-00000002", other.address, "ready"),
        ];
        let entries = [("s-00000001", known[0].clone()), ("s-00000002", known[1].clone())];
        let discovery = Discovery::serving(&entries);
        let daemon = start_daemon(&discovery, "on_request", &known);
        wait_for_watches(&discovery, 1);
        DrainScenario { draining, other, discovery, daemon }
    }

    /// Sends requests until `drains_at`, and then begins the drain of the first server.
    fn drain_at(&self, drains_at: Instant, case: &str) {
        let served = request_until(&self.daemon.platform_address, drains_at);
        assert!(served.iter().all(|served| *served), "{case}: the list is in use when the drain begins");
        self.discovery.publish("s-00000001", endpoint("s-00000001", self.draining.address, "draining"));
    }

    /// Sends requests until some time after the drain counts as notified at `notified_at`. Fails if a request
    /// reaches the draining server after the grace of the drain.
    fn expect_no_request_after_the_grace(&self, notified_at: Instant, case: &str) {
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
    fn expect_recovery(&self, case: &str) {
        self.discovery.set_reply(Reply::EndpointList);
        let recovered_at = Instant::now();
        wait_until("clients are served again", || {
            connect_and_open(&self.daemon.platform_address).read_line() == "UP 1"
        });
        assert!(self.other.last_arrival() > Some(recovered_at), "{case}");
    }
}

/// Guards against a list that never expires because calls fail after the watch was reset: the calls wait at an
/// overloaded discovery before they fail, so discovery runs and may have listed a drain meanwhile.
#[test]
fn sends_nothing_to_a_server_that_drains_after_watches_are_reset_by_an_overloaded_discovery() {
    let failures = [Reply::LateStatus(503, WAIT_BEFORE_FAILURE), Reply::LateReset(WAIT_BEFORE_FAILURE)];
    std::thread::scope(|scope| {
        for failure in failures {
            scope.spawn(move || {
                let scenario = DrainScenario::start();
                let case = format!("{failure:?}");
                scenario.discovery.reset_open_calls(failure);
                let drains_at = Instant::now() + DRAIN_DELAY;

                scenario.drain_at(drains_at, &case);
                scenario.expect_no_request_after_the_grace(drains_at + NOTIFIED_AFTER, &case);
                scenario.expect_recovery(&case);
            });
        }
    });
}

/// Guards against a list that is renewed by the first sign of an outage after an overload: the changes that
/// the overloaded discovery listed before it went down count as notified anyway.
#[test]
fn sends_nothing_to_a_server_that_drains_before_an_overloaded_discovery_goes_down() {
    let scenario = DrainScenario::start();
    scenario.discovery.reset_open_calls(Reply::LateStatus(503, WAIT_BEFORE_FAILURE));
    let drains_at = Instant::now() + DRAIN_DELAY;
    let case = "an overload, then 503 at once";
    scenario.drain_at(drains_at, case);
    request_until(&scenario.daemon.platform_address, drains_at + OVERLOAD_BEFORE_OUTAGE);
    scenario.discovery.set_reply(Reply::Status(503));
    scenario.expect_no_request_after_the_grace(drains_at + NOTIFIED_AFTER, case);
    scenario.expect_recovery(case);
}

/// Guards against a list that never expires because discovery answers without a list: it runs, and may have
/// listed a drain meanwhile.
#[test]
fn sends_nothing_to_a_server_that_drains_while_discovery_answers_without_a_list() {
    let replies = [
        Reply::Body("{}".to_owned()),
        Reply::Status(404),
        Reply::InterruptedBody(endpoint_list(9, true, &[])),
    ];
    std::thread::scope(|scope| {
        for reply in replies {
            scope.spawn(move || {
                let scenario = DrainScenario::start();
                let case = format!("{reply:?}");
                scenario.discovery.reset_open_calls(reply);
                let drains_at = Instant::now() + DRAIN_DELAY;

                scenario.drain_at(drains_at, &case);
                scenario.expect_no_request_after_the_grace(drains_at + NOTIFIED_AFTER, &case);
                scenario.expect_recovery(&case);
            });
        }
    });
}
