//! A daemon that starts with a cached list, and has no answer of discovery yet.

use std::time::{Duration, Instant};

use super::drain_scenario::DrainScenario;
use super::outage::OUTAGE;
use super::overload::{DRAIN_DELAY, WAIT_BEFORE_FAILURE};
use super::{request_until, NOTIFIED_AFTER};
use crate::fake_servers::discovery::Reply;

/// Guards against a cached list that never expires because discovery has not answered yet.
#[test]
fn sends_nothing_to_a_server_that_drains_while_discovery_is_overloaded_since_the_start() {
    let replies = [
        Reply::LateStatus(503, WAIT_BEFORE_FAILURE),
        Reply::LateReset(WAIT_BEFORE_FAILURE),
        Reply::Body("{}".to_owned()),
        Reply::Silence,
    ];
    std::thread::scope(|scope| {
        for reply in replies {
            scope.spawn(move || {
                let case = format!("{reply:?}");
                let scenario = DrainScenario::start_with_reply(reply);
                let drains_at = Instant::now() + DRAIN_DELAY;

                scenario.drain_at(drains_at, &case);
                scenario.expect_no_request_after_the_grace(drains_at + NOTIFIED_AFTER, &case);
                scenario.expect_recovery(&case);
            });
        }
    });
}

/// Guards against requests that are refused because discovery is down since the start of the daemon.
#[test]
fn serves_from_a_cached_list_while_discovery_is_down_since_the_start() {
    let replies = [Reply::Status(503), Reply::LateReset(Duration::ZERO)];
    std::thread::scope(|scope| {
        for reply in replies {
            scope.spawn(move || {
                let case = format!("{reply:?}");
                let scenario = DrainScenario::start_with_reply(reply);
                let served = request_until(&scenario.daemon.platform_address, Instant::now() + OUTAGE);

                let refused = served.iter().filter(|served| !**served).count();
                assert_eq!(refused, 0, "{case}: of {} requests", served.len());
            });
        }
    });
}
