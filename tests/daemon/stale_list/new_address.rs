//! A configuration that names another discovery. What that discovery lists counts as notified 4 s after SIGHUP.

use std::time::{Duration, Instant};

use super::drain_scenario::DrainScenario;
use super::outage::OUTAGE;
use super::overload::{DRAIN_DELAY, WAIT_BEFORE_FAILURE};
use super::{
    config, connect_and_open, request_until, start_daemon, wait_for_watches, DRAIN_GRACE, SOCKET_SLACK,
};
use crate::fake_servers::discovery::{endpoint, Discovery, Reply};
use crate::fake_servers::{wait_until, ManualServer};

/// Time after SIGHUP with another address of discovery from which changes that it lists count as notified.
const NOTIFIED_AFTER_SIGHUP: Duration = Duration::from_secs(4);
/// Delay of each answer of a slow discovery. It is longer than the lease and than the timeout of a call.
const SLOW_ANSWER: Duration = Duration::from_secs(6);
/// Time between two signals in quick succession.
const BETWEEN_SIGNALS: Duration = Duration::from_millis(1_500);

/// Replies of a discovery that runs, and does not answer in time.
fn late_replies() -> [Reply; 3] {
    [
        Reply::LateStatus(503, WAIT_BEFORE_FAILURE),
        Reply::LateReset(WAIT_BEFORE_FAILURE),
        Reply::LateEndpointList(SLOW_ANSWER),
    ]
}

/// Guards against a lease that a new address of discovery does not limit, or that the failed calls there clear.
#[test]
fn sends_nothing_to_a_server_that_drains_at_a_new_discovery_that_does_not_answer_in_time() {
    std::thread::scope(|scope| {
        for reply in late_replies() {
            scope.spawn(move || {
                let case = format!("{reply:?}");
                let mut scenario = DrainScenario::start();
                let _old = scenario.move_discovery(reply);
                let changed_at = Instant::now();

                scenario.drain_at(changed_at + DRAIN_DELAY, &case);
                scenario.expect_no_request_after_the_grace(changed_at + NOTIFIED_AFTER_SIGHUP, &case);
                scenario.expect_recovery(&case);
            });
        }
    });
}

/// Guards against a second change of the address that clears the limit of the first one, also where it returns
/// to the old discovery. What the first address listed counts as notified by then.
#[test]
fn a_second_new_address_of_discovery_does_not_extend_the_lease() {
    std::thread::scope(|scope| {
        for returns in [false, true] {
            scope.spawn(move || {
                let case = format!("returns to the old address: {returns}");
                let overloaded = Reply::LateStatus(503, WAIT_BEFORE_FAILURE);
                let mut scenario = DrainScenario::start();
                let old = scenario.move_discovery(overloaded.clone());
                let first_changed_at = Instant::now();
                request_until(&scenario.daemon.platform_address, first_changed_at + BETWEEN_SIGNALS);
                if returns {
                    old.set_reply(overloaded);
                    scenario.name_discovery(old.address);
                    scenario.discovery = old;
                } else {
                    scenario.move_discovery(overloaded);
                }

                let drains_at = first_changed_at + BETWEEN_SIGNALS + DRAIN_DELAY;
                scenario.drain_at(drains_at, &case);
                let notified_at = first_changed_at + NOTIFIED_AFTER_SIGHUP;
                scenario.expect_no_request_after_the_grace(notified_at, &case);
                scenario.expect_recovery(&case);
            });
        }
    });
}

/// Guards against an answer of the old discovery that renews the lease after SIGHUP: the answer and the signal
/// arrive in one wake-up of the daemon.
#[test]
fn an_answer_of_the_old_discovery_in_the_wake_up_of_sighup_does_not_extend_the_lease() {
    std::thread::scope(|scope| {
        for play in 0..4 {
            scope.spawn(move || {
                let case = format!("play {play}");
                let mut scenario = DrainScenario::start();
                scenario.daemon.suspend();
                let lists_sent = scenario.discovery.lists_sent();
                scenario.discovery.publish_unchanged();
                wait_until("the old discovery answers", || scenario.discovery.lists_sent() > lists_sent);
                let _old = scenario.move_discovery(Reply::LateStatus(503, WAIT_BEFORE_FAILURE));
                let changed_at = Instant::now();
                scenario.daemon.resume();

                scenario.drain_at(changed_at + DRAIN_DELAY, &case);
                scenario.expect_no_request_after_the_grace(changed_at + NOTIFIED_AFTER_SIGHUP, &case);
            });
        }
    });
}

/// Guards against a request that is written after the lease, because its connect began before the new address.
#[test]
fn does_not_forward_when_the_connect_completes_after_the_lease_at_a_new_discovery() {
    let mut server = ManualServer::start_with_full_queue();
    let known = [endpoint("s-00000001", server.address, "ready")];
    let old = Discovery::serving(&[("s-00000001", known[0].clone())]);
    let daemon = start_daemon(&old, "on_request", &known);
    wait_for_watches(&old, 1);
    let mut client = connect_and_open(&daemon.platform_address);
    std::thread::sleep(DRAIN_DELAY);

    let new = Discovery::serving(&[("s-00000001", known[0].clone())]);
    new.set_reply(Reply::LateStatus(503, WAIT_BEFORE_FAILURE));
    daemon.reload("config.json", &config(new.address, "on_request", &known));
    std::thread::sleep(NOTIFIED_AFTER_SIGHUP + DRAIN_GRACE + SOCKET_SLACK);
    server.empty_queue();

    assert!(client.read_line().starts_with("BUSY"), "no server is known to be ready");
    assert_eq!(daemon.metric("forwards"), 0);
}

/// Guards against requests that are refused because the new discovery is down: it lists no change then.
#[test]
fn serves_through_an_outage_of_a_new_discovery() {
    std::thread::scope(|scope| {
        for is_listening in [true, false] {
            scope.spawn(move || {
                let mut scenario = DrainScenario::start();
                if is_listening {
                    scenario.move_discovery(Reply::Status(503));
                } else {
                    let closed = Discovery::manual();
                    closed.stop_listening();
                    scenario.name_discovery(closed.address);
                }
                let served = request_until(&scenario.daemon.platform_address, Instant::now() + OUTAGE);

                let refused = served.iter().filter(|served| !**served).count();
                assert_eq!(refused, 0, "listening: {is_listening}, of {} requests", served.len());
            });
        }
    });
}
