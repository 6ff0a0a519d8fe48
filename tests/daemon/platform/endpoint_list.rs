//! The watch on the endpoint list: updates, failures, silence and reloads of the configuration.

use std::time::Duration;

use super::{config, connect_and_open, start_daemon, start_server};
use crate::fake_servers::discovery::{endpoint, endpoint_list, Discovery, Reply};
use crate::fake_servers::{irc_config, wait_until, Daemon};

#[test]
fn follows_endpoint_updates_and_renews_the_watch_after_a_failure() {
    let ((old, old_lines), (new, new_lines)) = (start_server("UP old", false), start_server("UP new", false));
    let first = endpoint_list(
        2,
        false,
        &[endpoint("s-00000001", old, "draining"), endpoint("s-00000002", new, "ready")],
    );
    let replies = vec![Reply::Body(first), Reply::Status(503), Reply::Body(endpoint_list(3, false, &[]))];
    let discovery = Discovery::scripted(replies);
    let daemon =
        start_daemon(discovery.address, &endpoint_list(1, true, &[endpoint("s-00000001", old, "ready")]));

    wait_until("the watch is renewed, and reopened after its failure", || {
        discovery.received_calls().len() >= 4
    });
    let calls = discovery.received_calls();
    let generations: Vec<_> =
        calls.iter().map(|call| call.request.split("from=").nth(1).unwrap()[..1].to_owned()).collect();
    assert_eq!(generations, ["1", "2", "2", "3"]);
    assert!(
        calls[1].received_at - calls[0].received_at < Duration::from_millis(200),
        "the watch was renewed too late"
    );
    assert!(calls[0].request.contains("&hold_ms="), "{}", calls[0].request);
    for _ in 0..5 {
        assert_eq!(connect_and_open(&daemon).read_line(), "UP new");
    }

    assert!(old_lines.lock().unwrap().is_empty());
    assert!(new_lines.lock().unwrap()[0].contains(" 7f3a c=chat,d="));
}

/// All 300 watches of a tier may fall silent at once. Changes that a silent watch misses count as notified
/// after 6 s, so the watch has to be reopened before that.
#[test]
fn reopens_a_silent_watch_before_missed_changes_count_as_notified() {
    let (server, _) = start_server("UP 1", false);
    let discovery = Discovery::scripted(Vec::new());
    let text = config(discovery.address, &endpoint_list(1, true, &[endpoint("s-00000001", server, "ready")]));
    let text = text.replacen(r#""must-ask-in": 2000"#, r#""must-ask-in": 10000"#, 1);
    let text = text.replacen(r#""zones""#, r#""balancers": 300, "zones""#, 1);
    let _daemon = Daemon::start(&irc_config(&[], ""), Some(&text));

    wait_until("the watch is reopened", || discovery.received_calls().len() >= 2);
    let calls = discovery.received_calls();
    let reopened_after = calls[1].received_at - calls[0].received_at;

    assert!(reopened_after < Duration::from_secs(6), "the watch was reopened after {reopened_after:?}");
    assert!(calls[1].request.contains("from=1&"), "{}", calls[1].request);
}

#[test]
fn ignores_an_interrupted_endpoint_list_and_requests_it_again() {
    let ((old, _), (new, _)) = (start_server("UP old", false), start_server("UP new", false));
    let changes = [endpoint("s-00000001", old, "gone"), endpoint("s-00000002", new, "ready")];
    // The call after the interrupted one is a watch on which nothing happens.
    let discovery = Discovery::scripted(vec![Reply::InterruptedBody(endpoint_list(2, false, &changes))]);
    let daemon =
        start_daemon(discovery.address, &endpoint_list(1, true, &[endpoint("s-00000001", old, "ready")]));

    wait_until("the list is requested again", || discovery.received_calls().len() >= 2);

    assert!(discovery.received_calls().iter().all(|call| call.request.contains("from=1&")));
    assert_eq!(connect_and_open(&daemon).read_line(), "UP old");
}

/// Without a handler, SIGHUP would end the process and all its connections.
#[test]
fn replaces_the_watch_and_keeps_connections_at_sighup_and_ignores_an_invalid_file() {
    let ((old, _), (new, _)) = (start_server("UP old", false), start_server("UP new", false));
    let known = endpoint_list(7, true, &[endpoint("s-00000001", old, "ready")]);
    let next = [endpoint("s-00000001", old, "draining"), endpoint("s-00000002", new, "ready")];
    let first = Discovery::scripted(Vec::new());
    let second = Discovery::scripted(vec![Reply::Body(endpoint_list(1, true, &next))]);
    let mut daemon = start_daemon(first.address, &known);

    let mut established = connect_and_open(&daemon);
    assert_eq!(established.read_line(), "UP old");
    wait_until("the first watch is open", || first.received_calls().len() == 1);

    daemon.reload("config.json", &config(second.address, &known).replace("3000", r#""soon""#));
    let line = daemon.log_line("the old configuration stays in force");
    assert!(line.contains("settings.classes[0].deadline: "), "{line}");
    assert!(second.received_calls().is_empty());

    // An operator may send several signals in quick succession.
    for _ in 0..3 {
        daemon.reload("config.json", &config(second.address, &known));
    }
    // The generation of another discovery is meaningless here: the daemon requests the whole list first, then
    // its changes.
    wait_until("the new watch is open", || second.received_calls().len() == 2);
    let calls = second.received_calls();
    assert!(calls[0].request.starts_with("GET /v1/servers HTTP"), "{}", calls[0].request);
    assert!(calls[1].request.contains("?from=1&"), "{}", calls[1].request);
    assert_eq!(connect_and_open(&daemon).read_line(), "UP new");
    established.send_line("M 1");
    assert_eq!(established.read_line(), "M 1");

    daemon.signal("-TERM");
    daemon.log_line("draining: ");
    daemon.reload("config.json", &config(first.address, &known));
    daemon.log_line(", reconfigured");

    assert_eq!(established.read_to_end(), "MOVE\r\n");
    assert!(daemon.wait_for_exit());
}

/// A change that discovery lists counts as notified after 6 s. A silent watch that is given up later than
/// that could let requests go to a draining server.
#[test]
fn gives_up_a_silent_watch_before_missed_changes_count_as_notified() {
    let discovery = Discovery::scripted(vec![Reply::Body(endpoint_list(1, false, &[]))]);
    let _daemon = start_daemon(discovery.address, &endpoint_list(1, true, &[]));

    wait_until("the silent watch is reopened", || discovery.received_calls().len() == 3);
    let calls = discovery.received_calls();

    let reopened_after = calls[2].received_at - calls[1].received_at;
    // The limit exceeds the 6 s to allow for a busy machine.
    assert!(reopened_after < Duration::from_secs(9), "the watch was reopened after {reopened_after:?}");
    // A call that discovery holds would look silent, too, while nothing changes.
    assert!(calls[2].request.contains("?from=1&hold_ms=0 "), "{}", calls[2].request);
}
