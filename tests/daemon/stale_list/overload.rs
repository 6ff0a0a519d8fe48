//! A discovery that runs, and is too crowded to answer: its calls wait, and then fail as if it were down.

use std::time::{Duration, Instant};

use super::drain_scenario::DrainScenario;
use super::{request_until, NOTIFIED_AFTER};
use crate::fake_servers::discovery::{endpoint_list, Reply};

/// Time for which an overloaded discovery lets a call wait before it fails.
pub(super) const WAIT_BEFORE_FAILURE: Duration = Duration::from_secs(1);
/// Time from the beginning of the overload to the drain that the daemon misses.
pub(super) const DRAIN_DELAY: Duration = Duration::from_millis(500);
/// Time from a drain to the outage that follows the overload.
const OVERLOAD_BEFORE_OUTAGE: Duration = Duration::from_secs(3);
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
