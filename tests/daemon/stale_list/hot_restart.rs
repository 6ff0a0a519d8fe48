//! A hot restart while discovery does not answer. The successor continues with the list and its lease.

use std::time::{Duration, Instant};

use super::drain_scenario::DrainScenario;
use super::outage::OUTAGE;
use super::overload::{DRAIN_DELAY, WAIT_BEFORE_FAILURE};
use super::{request_until, DRAIN_GRACE, NOTIFIED_AFTER, SOCKET_SLACK};
use crate::fake_servers::discovery::Reply;
use crate::fake_servers::{wait_until, Daemon};

/// Time after a successor is ready from which the changes that discovery lists count as notified there.
const NOTIFIED_AFTER_HOT_RESTART: Duration = Duration::from_secs(2);
/// Time for which requests are sent to a successor without trouble: longer than discovery holds a call.
const REQUESTS_AT_SUCCESSOR: Duration = Duration::from_secs(5);

/// Replaces the daemon of a scenario by a successor, and returns the predecessor.
fn restart(scenario: &mut DrainScenario) -> Daemon {
    let successor = scenario.daemon.start_successor();
    std::mem::replace(&mut scenario.daemon, successor)
}

/// Guards against a successor that takes over an expired list as one that has not expired.
#[test]
fn a_hot_restart_does_not_revive_an_expired_list() {
    let mut scenario = DrainScenario::start();
    scenario.discovery.silence_open_calls(Reply::LateStatus(503, WAIT_BEFORE_FAILURE));
    let silent_since = Instant::now();
    scenario.drain_at(silent_since + DRAIN_DELAY, "before the restart");
    let expired_at = silent_since + NOTIFIED_AFTER;
    request_until(&scenario.daemon.platform_address, expired_at + DRAIN_GRACE + SOCKET_SLACK);
    let _predecessor = restart(&mut scenario);

    scenario.expect_no_request_after_the_grace(expired_at, "after the restart");
    scenario.expect_recovery("after the restart");
}

/// Guards against a successor whose list is used for longer than 2 s without an answer of discovery.
#[test]
fn a_successor_sends_nothing_to_a_server_that_drains_while_discovery_is_overloaded() {
    let mut scenario = DrainScenario::start();
    scenario.discovery.reset_open_calls(Reply::LateStatus(503, WAIT_BEFORE_FAILURE));
    scenario.drain_at(Instant::now() + DRAIN_DELAY, "before the restart");
    let _predecessor = restart(&mut scenario);
    let ready_at = Instant::now();

    scenario.expect_no_request_after_the_grace(ready_at + NOTIFIED_AFTER_HOT_RESTART, "after the restart");
    scenario.expect_recovery("after the restart");
}

/// Guards against requests that a successor refuses though discovery answers, or because it is down.
#[test]
fn a_successor_serves_while_discovery_answers_or_is_down() {
    type Change = fn(&DrainScenario);
    let cases: [(&str, Change, Duration); 3] = [
        ("a list without changes", |_| {}, REQUESTS_AT_SUCCESSOR),
        ("503 at once", |scenario| scenario.discovery.reset_open_calls(Reply::Status(503)), OUTAGE),
        ("refused connections", |scenario| scenario.discovery.stop_listening(), OUTAGE),
    ];
    std::thread::scope(|scope| {
        for (case, change, duration) in cases {
            scope.spawn(move || {
                // The list of the discovery has the generation of the cached one, so that a call for changes
                // is held.
                let mut scenario = DrainScenario::start_with_reply(Reply::EndpointList);
                wait_until("the first call is held", || scenario.discovery.open_calls() == 1);
                change(&scenario);
                let _predecessor = restart(&mut scenario);

                let served = request_until(&scenario.daemon.platform_address, Instant::now() + duration);
                let refused = served.iter().filter(|served| !**served).count();
                assert_eq!(refused, 0, "{case}: of {} requests", served.len());
            });
        }
    });
}
