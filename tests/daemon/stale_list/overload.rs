//! A discovery that runs, and does not answer in time: its calls wait, and then fail as if it were down. No request
//! may reach a server that drains meanwhile, once the drain counts as notified and its grace has ended.

use std::time::{Duration, Instant};

use super::drain_scenario::{in_parallel, DrainScenario, DRAIN_DELAY};
use super::{
    config, connect_and_open, request_until, start_daemon, wait_for_watches, DRAIN_GRACE, NOTIFIED_AFTER,
    SOCKET_SLACK,
};
use crate::fake_servers::discovery::{endpoint, endpoint_list, Discovery, Reply};
use crate::fake_servers::{wait_until, ManualServer};

/// Time after SIGHUP with another address of discovery from which the changes that it lists count as notified.
const NOTIFIED_AFTER_SIGHUP: Duration = Duration::from_secs(4);
/// Time after a successor is ready from which the changes that discovery lists count as notified there.
const NOTIFIED_AFTER_HOT_RESTART: Duration = Duration::from_secs(2);
/// Time for which an overloaded discovery lets a call wait before it fails.
const WAIT_BEFORE_FAILURE: Duration = Duration::from_secs(1);
/// Time from a drain to the outage that follows the overload.
const OVERLOAD_BEFORE_OUTAGE: Duration = Duration::from_secs(3);
/// Delay of each answer of a slow discovery. It is longer than the lease and than the timeout of a call.
const SLOW_ANSWER: Duration = Duration::from_secs(6);
/// Time between two signals in quick succession.
const BETWEEN_SIGNALS: Duration = Duration::from_millis(1_500);

/// Reply of an overloaded discovery.
const OVERLOADED: Reply = Reply::LateStatus(503, WAIT_BEFORE_FAILURE);
const LATE_RESET: Reply = Reply::LateReset(WAIT_BEFORE_FAILURE);

/// Guards against a list that never expires because calls fail after the watch was reset: they waited at an overloaded
/// discovery, or have an answer without a list, so discovery runs and may have listed a drain meanwhile.
#[test]
fn sends_nothing_to_a_server_that_drains_after_watches_are_reset_by_an_overloaded_discovery() {
    let interrupted = Reply::InterruptedBody(endpoint_list(9, true, &[]));
    let replies = [OVERLOADED, LATE_RESET, Reply::Body("{}".to_owned()), Reply::Status(404), interrupted];
    in_parallel(replies, |reply| {
        let (scenario, case) = (DrainScenario::start(), format!("{reply:?}"));
        scenario.discovery.reset_open_calls(reply);
        let drains_at = scenario.drain();
        scenario.expect_no_request_after_the_grace(drains_at + NOTIFIED_AFTER, &case);
    });
}

/// Guards against a list that is renewed by the first sign of an outage after an overload: the changes that
/// the overloaded discovery listed before it went down count as notified anyway.
#[test]
fn sends_nothing_to_a_server_that_drains_before_an_overloaded_discovery_goes_down() {
    let scenario = DrainScenario::start();
    scenario.discovery.reset_open_calls(OVERLOADED);
    let drains_at = scenario.drain();
    request_until(&scenario.daemon.platform_address, drains_at + OVERLOAD_BEFORE_OUTAGE);
    scenario.discovery.set_reply(Reply::Status(503));
    scenario.expect_no_request_after_the_grace(drains_at + NOTIFIED_AFTER, "503 at once");
}

/// Guards against a cached list that never expires because discovery has not answered since the start.
#[test]
fn sends_nothing_to_a_server_that_drains_while_discovery_is_overloaded_since_the_start() {
    let replies = [OVERLOADED, LATE_RESET, Reply::Body("{}".to_owned()), Reply::Silence];
    in_parallel(replies, |reply| {
        let case = format!("{reply:?}");
        let scenario = DrainScenario::start_with_reply(reply);
        let drains_at = scenario.drain();
        scenario.expect_no_request_after_the_grace(drains_at + NOTIFIED_AFTER, &case);
    });
}

/// Guards against a lease that a new address of discovery does not limit, or that the failed calls there clear.
#[test]
fn sends_nothing_to_a_server_that_drains_at_a_new_discovery_that_does_not_answer_in_time() {
    in_parallel([OVERLOADED, LATE_RESET, Reply::LateEndpointList(SLOW_ANSWER)], |reply| {
        let (mut scenario, case) = (DrainScenario::start(), format!("{reply:?}"));
        scenario.move_discovery(reply);
        let changed_at = Instant::now();
        scenario.drain();
        scenario.expect_no_request_after_the_grace(changed_at + NOTIFIED_AFTER_SIGHUP, &case);
    });
}

/// Guards against a second change of the address that clears the limit of the first one, also where it returns to the
/// old discovery. What the first address listed counts as notified by then.
#[test]
fn a_second_new_address_of_discovery_does_not_extend_the_lease() {
    in_parallel([false, true], |returns| {
        let mut scenario = DrainScenario::start();
        scenario.move_discovery(OVERLOADED);
        let first_changed_at = Instant::now();
        request_until(&scenario.daemon.platform_address, first_changed_at + BETWEEN_SIGNALS);
        if returns {
            scenario.return_to_old_discovery(OVERLOADED);
        } else {
            scenario.move_discovery(OVERLOADED);
        }
        scenario.drain();
        let notified_at = first_changed_at + NOTIFIED_AFTER_SIGHUP;
        scenario.expect_no_request_after_the_grace(notified_at, &format!("returns: {returns}"));
    });
}

/// Guards against an answer of the old discovery that renews the lease after SIGHUP: the answer and the signal arrive in
/// one wake-up of the daemon.
#[test]
fn an_answer_of_the_old_discovery_in_the_wake_up_of_sighup_does_not_extend_the_lease() {
    in_parallel(0..4, |play| {
        let mut scenario = DrainScenario::start();
        scenario.daemon.suspend();
        let lists_sent = scenario.discovery.lists_sent();
        scenario.discovery.publish_unchanged();
        wait_until("the old discovery answers", || scenario.discovery.lists_sent() > lists_sent);
        scenario.move_discovery(OVERLOADED);
        let changed_at = Instant::now();
        scenario.daemon.resume();
        scenario.drain();
        let notified_at = changed_at + NOTIFIED_AFTER_SIGHUP;
        scenario.expect_no_request_after_the_grace(notified_at, &format!("play {play}"));
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
    new.set_reply(OVERLOADED);
    daemon.reload("config.json", &config(new.address, "on_request", &known));
    std::thread::sleep(NOTIFIED_AFTER_SIGHUP + DRAIN_GRACE + SOCKET_SLACK);
    server.empty_queue();

    assert!(client.read_line().starts_with("BUSY"), "no server is known to be ready");
    assert_eq!(daemon.metric("forwards"), 0);
}

/// Guards against a successor that takes over an expired list as one that has not expired.
#[test]
fn a_hot_restart_does_not_revive_an_expired_list() {
    let mut scenario = DrainScenario::start();
    let silent_since = Instant::now();
    scenario.discovery.silence_open_calls(OVERLOADED);
    scenario.drain();
    let expired_at = silent_since + NOTIFIED_AFTER;
    request_until(&scenario.daemon.platform_address, expired_at + DRAIN_GRACE + SOCKET_SLACK);
    scenario.restart();
    scenario.expect_no_request_after_the_grace(expired_at, "after the restart");
}

/// Guards against a successor whose list is used for longer than 2 s without an answer of discovery.
#[test]
fn a_successor_sends_nothing_to_a_server_that_drains_while_discovery_is_overloaded() {
    let mut scenario = DrainScenario::start();
    scenario.discovery.reset_open_calls(OVERLOADED);
    scenario.drain();
    scenario.restart();
    let notified_at = Instant::now() + NOTIFIED_AFTER_HOT_RESTART;
    scenario.expect_no_request_after_the_grace(notified_at, "after the restart");
}
