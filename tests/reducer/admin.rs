//! Calls of the admin endpoint: metrics, readiness, exclusion and readmission of servers.

use std::collections::{BTreeMap, BTreeSet};

use connection_balancer::protocol::admin;
use connection_balancer::routing::store::WriteError;
use connection_balancer::routing::*;
use connection_balancer::{Micros, WatchFailure};
use proptest::prelude::*;

use crate::reducer_harness::{connection_request, pool_config, ReducerHarness, RESOURCE_LIMITS, SERVERS};

const ADMIN_CALL: AdminCallId = AdminCallId(77);

/// Makes a call, and returns the reply.
fn call(harness: &mut ReducerHarness, call: AdminCall) -> AdminResponse {
    match call_with_effects(harness, call).pop() {
        Some(Effect::AdminReply { admin_call: ADMIN_CALL, reply }) => reply,
        other => panic!("last effect of the call is {other:?}, expected a reply"),
    }
}

/// Makes a call, and returns all effects. The reply is the last one.
fn call_with_effects(harness: &mut ReducerHarness, call: AdminCall) -> Vec<Effect> {
    harness.feed(Input::AdminRequest { admin_call: ADMIN_CALL, call })
}

fn metrics(harness: &mut ReducerHarness) -> Metrics {
    match call(harness, AdminCall::Metrics) {
        AdminResponse::Metrics(metrics) => metrics,
        other => panic!("reply to a call for metrics is {other:?}"),
    }
}

/// Number of an attempt that is never opened.
const UNKNOWN_ATTEMPT: u32 = 9;

/// An attempt that is in flight or accepted.
#[derive(Clone, Copy)]
struct OpenAttempt {
    number: u32,
    forwarded: bool,
}

/// The expected metrics, counted independently of the reducer from its inputs and effects.
struct ExpectedMetrics {
    harness: ReducerHarness,
    /// All connections, each with the class that its request names.
    connections: Vec<(ConnectionId, &'static str)>,
    classes: BTreeMap<String, ClassCounters>,
    forwards: u64,
    /// Connections that are admitted and have not ended.
    open: BTreeSet<ConnectionId>,
    established: BTreeSet<ConnectionId>,
    attempts: BTreeMap<ConnectionId, OpenAttempt>,
}

impl ExpectedMetrics {
    fn new() -> ExpectedMetrics {
        let resource_limits = ResourceLimits { max_admitted_connections: 12, ..RESOURCE_LIMITS };
        ExpectedMetrics {
            harness: ReducerHarness::with_resource_limits(resource_limits),
            connections: Vec::new(),
            classes: ["chat", "wallet"].map(|class| (class.to_owned(), ClassCounters::default())).into(),
            forwards: 0,
            open: BTreeSet::new(),
            established: BTreeSet::new(),
            attempts: BTreeMap::new(),
        }
    }

    fn class_of(&self, connection: ConnectionId) -> &'static str {
        self.connections.iter().find(|(id, _)| *id == connection).map_or("", |(_, class)| class)
    }

    /// Returns the input of a random step, and counts its effect on the metrics. `connection_index` selects
    /// the connection of the step.
    fn next_input(&mut self, step: u8, connection_index: usize) -> Input {
        let selected = self.connections.get(connection_index % self.connections.len().max(1));
        let connection = selected.map_or(ConnectionId(u64::MAX), |&(connection, _)| connection);
        let open_attempt = self.attempts.get(&connection).copied();
        let attempt = open_attempt.map_or(UNKNOWN_ATTEMPT, |attempt| attempt.number);
        match step {
            0..=3 => self.request_connection(["chat", "wallet", "unconfigured", "chat"][usize::from(step)]),
            4 | 5 => {
                self.forwards += u64::from(open_attempt.is_some_and(|attempt| !attempt.forwarded));
                self.attempts.entry(connection).and_modify(|attempt| attempt.forwarded = true);
                Input::RequestForwarded { connection, attempt }
            }
            6 | 7 => {
                if open_attempt.is_some() && self.established.insert(connection) {
                    let class = self.class_of(connection).to_owned();
                    self.classes.entry(class).and_modify(|counters| counters.succeeded += 1);
                }
                Input::AttemptAccepted { connection, attempt }
            }
            8 => self.end_attempt(connection, attempt, AttemptOutcome::Rejected),
            9 => self.end_attempt(connection, attempt, AttemptOutcome::Reset),
            10 => {
                self.open.remove(&connection);
                Input::ClientDisconnected { connection }
            }
            _ if connection_index == 0 => Input::ShutdownRequested,
            _ => Input::EndpointWatchLost {
                pool: PoolId(0),
                failure: WatchFailure::Rejected,
                polled_ago: Micros::ZERO,
            },
        }
    }

    fn request_connection(&mut self, class: &'static str) -> Input {
        let connection = self.harness.connect_client();
        self.connections.push((connection, class));
        self.open.insert(connection);
        let request = ConnectionRequest { class: class.to_owned(), ..connection_request() };
        Input::ConnectionRequested { connection, request }
    }

    fn end_attempt(&mut self, connection: ConnectionId, attempt: u32, outcome: AttemptOutcome) -> Input {
        self.attempts.remove(&connection);
        if self.established.contains(&connection) {
            self.open.remove(&connection);
        }
        Input::AttemptEnded { connection, attempt, outcome }
    }

    fn count_effect(&mut self, effect: Effect) {
        match effect {
            Effect::OpenAttempt { connection, attempt, .. } => {
                self.attempts.insert(connection, OpenAttempt { number: attempt, forwarded: false });
            }
            Effect::CloseAttempt { connection } => {
                self.attempts.remove(&connection);
            }
            Effect::Answer { connection, answer } => {
                self.open.remove(&connection);
                if let Some(counters) = self.classes.get_mut(self.class_of(connection)) {
                    counters.rejected += u64::from(matches!(answer, Answer::Rejected(_)));
                    counters.failed += u64::from(answer == Answer::Failed);
                }
            }
            _ => {}
        }
    }

    /// Feeds an input, and compares the reported metrics with the expected ones.
    fn feed_and_compare(&mut self, input: Input) -> Result<(), TestCaseError> {
        for effect in self.harness.feed(input) {
            self.count_effect(effect);
        }
        let reported = metrics(&mut self.harness);
        prop_assert_eq!(&reported.classes, &self.classes);
        let expected = (self.forwards, self.open.len() as u64);
        prop_assert_eq!((reported.forwards, reported.outstanding), expected);
        prop_assert_eq!(reported.discovered, 5);
        Ok(())
    }
}

proptest! {
    /// After any sequence of steps, the reported metrics are equal to those counted from inputs and effects.
    #[test]
    fn metrics_match_inputs_and_effects(steps in prop::collection::vec((0u8..12, 0usize..8, 1u64..500_000), 1..200)) {
        let mut expected = ExpectedMetrics::new();
        for (step, connection_index, pause) in steps {
            expected.harness.advance(Micros(pause));
            expected.feed_and_compare(Input::TimerFired)?;
            let input = expected.next_input(step, connection_index);
            expected.feed_and_compare(input)?;
        }
    }

    /// Regardless of endpoint lists, reloads and repeated calls, no attempt is opened at an excluded server,
    /// and attempts there whose request is not written yet are closed. One call readmits the server.
    #[test]
    fn an_exclusion_holds_until_the_server_is_readmitted(steps in prop::collection::vec((0u8..9, 0usize..5, 1u64..400_000), 1..150)) {
        let mut harness = ReducerHarness::new();
        let (mut excluded, mut attempts) = (BTreeSet::new(), BTreeMap::<ConnectionId, (u32, String, bool)>::new());
        for (step, server, pause) in steps {
            harness.advance(Micros(pause));
            let name = SERVERS[server].to_owned();
            let connection = attempts.keys().nth(server).copied().unwrap_or(ConnectionId(u64::MAX));
            let attempt = attempts.get(&connection).map_or(UNKNOWN_ATTEMPT, |(number, ..)| *number);
            let effects = match step {
                0 => {
                    excluded.insert(harness.address(&name));
                    call_with_effects(&mut harness, AdminCall::Exclude(name))
                }
                1 => {
                    excluded.remove(&harness.address(&name));
                    call_with_effects(&mut harness, AdminCall::Readmit(name))
                }
                2 => harness.update_endpoint(server, Lifecycle::Gone),
                3 => harness.update_endpoint(server, Lifecycle::Ready),
                4 => {
                    let (pools, other_replicas) = (vec![pool_config()], Vec::new());
                    let resource_limits = RESOURCE_LIMITS;
                    harness.feed(Input::ConfigurationChanged { pools, other_replicas, resource_limits })
                }
                5 => {
                    attempts.entry(connection).and_modify(|(.., forwarded)| *forwarded = true);
                    harness.feed(Input::RequestForwarded { connection, attempt })
                }
                6 => {
                    attempts.remove(&connection);
                    let outcome = AttemptOutcome::Rejected;
                    harness.feed(Input::AttemptEnded { connection, attempt, outcome })
                }
                _ => {
                    let connection = harness.connect_client();
                    harness.feed(Input::ConnectionRequested { connection, request: connection_request() })
                }
            };
            for effect in effects {
                match effect {
                    Effect::OpenAttempt { connection, attempt, address, .. } => {
                        prop_assert!(!excluded.contains(&address), "attempt at the excluded server {address}");
                        attempts.insert(connection, (attempt, address, false));
                    }
                    Effect::CloseAttempt { connection } | Effect::Answer { connection, .. } => drop(attempts.remove(&connection)),
                    _ => {}
                }
            }
            for (_, address, forwarded) in attempts.values() {
                prop_assert!(
                    *forwarded || !excluded.contains(address),
                    "unwritten attempt left open at the excluded server {address}"
                );
            }
        }
    }

    /// Every line is parsed as a call or rejected.
    #[test]
    fn parses_or_rejects_any_line(line in prop::collection::vec(any::<u8>(), 0..300)) {
        let parsed = admin::parse_call(&line);
        let known: [&[u8]; 4] = [b"readyz", b"telemetry", b"exclude ", b"include "];
        prop_assert!(parsed.is_err() || known.iter().any(|call| line.starts_with(call)), "{parsed:?}");
    }
}

#[test]
fn writes_metrics_under_their_agreed_names_and_in_order() {
    let mut harness = ReducerHarness::new();
    let text = |harness: &mut ReducerHarness| {
        String::from_utf8(admin::encode_response(&call(harness, AdminCall::Metrics))).unwrap()
    };
    let classes = "edge_node.results.chat.succeeded:0|c\r\nedge_node.results.chat.declined:0|c\r\n\
        edge_node.results.chat.aborted:0|c\r\nedge_node.results.wallet.succeeded:0|c\r\n\
        edge_node.results.wallet.declined:0|c\r\nedge_node.results.wallet.aborted:0|c\r\n";
    let totals = "edge_node.forwards:0|c\r\nedge_node.outstanding:0|g\r\nedge_node.discovered:5|g\r\n\
        edge_node.ejected:0|g\r\nedge_node.refusals.admission_rate:0|c\r\nedge_node.refusals.no_server:0|c\r\n\
        edge_node.refusals.endpoint_list_expired:0|c\r\n\
        edge_node.refusals.attempts_spent:0|c\r\nedge_node.refusals.out_of_time:0|c\r\n\
        edge_node.refusals.shared_fault:0|c\r\nedge_node.discovery_failures:0|c\r\nEND\r\n";
    assert_eq!(text(&mut harness), format!("{classes}{totals}"));
    harness.establish_connection();
    let metrics = text(&mut harness);
    assert!(metrics.contains("edge_node.results.chat.succeeded:1|c\r\n"), "{metrics}");
    assert!(metrics.contains("edge_node.outstanding:1|g\r\n"), "{metrics}");
}

/// A poll without an answer is reported twice: the watch becomes silent, and the poll fails later.
#[test]
fn counts_each_failed_call_to_discovery_once() {
    let mut harness = ReducerHarness::new();
    harness.feed(Input::EndpointWatchLost {
        pool: PoolId(0),
        failure: WatchFailure::Rejected,
        polled_ago: Micros::ZERO,
    });
    harness.feed(Input::EndpointWatchSilent { pool: PoolId(0), polled_ago: Micros::from_secs(2) });
    harness.feed(Input::EndpointWatchLost {
        pool: PoolId(0),
        failure: WatchFailure::Unanswered,
        polled_ago: Micros::ZERO,
    });
    assert_eq!(metrics(&mut harness).discovery_failures, 2);
}

/// Operators' scripts read these lines.
#[test]
fn writes_the_agreed_reason_of_each_rejection() {
    let cases: [(AdminRejection, &str); 10] = [
        (AdminRejection::ShuttingDown, "NO leaving\r\n"),
        (AdminRejection::ReplacedBySuccessor, "NO another process serves in its place\r\n"),
        (AdminRejection::NotListening, "NO not listening yet\r\n"),
        (AdminRejection::NoEndpointList, "NO no routing table yet\r\n"),
        (AdminRejection::CatchingUp, "NO the store is not caught up with its peers yet\r\n"),
        (AdminRejection::ExclusionsNotAccepted, "NO not ready yet\r\n"),
        (AdminRejection::UnknownServer("s-1".to_owned()), "NO no host s-1 was ever listed\r\n"),
        (AdminRejection::NotStored(WriteError::MapFull), "NO the store is full\r\n"),
        (AdminRejection::NoReply, "NO no answer\r\n"),
        (AdminRejection::InvalidCall("readyz is wanted".to_owned()), "NO readyz is wanted\r\n"),
    ];
    for (rejection, line) in cases {
        assert_eq!(admin::encode_response(&AdminResponse::No(rejection)), line.as_bytes());
    }
}

#[test]
fn logs_an_exclusion_and_a_readmission_once() {
    let mut harness = ReducerHarness::new();
    let server = SERVERS[1].to_owned();
    let logged = |effects: Vec<Effect>| -> Vec<LogEvent> {
        let event = |effect| if let Effect::Log(event) = effect { Some(event) } else { None };
        effects.into_iter().filter_map(event).collect()
    };
    let excluded = logged(call_with_effects(&mut harness, AdminCall::Exclude(server.clone())));
    assert_eq!(excluded, [LogEvent::ServerExcluded { server: server.clone() }]);
    let repeated = logged(call_with_effects(&mut harness, AdminCall::Exclude(server.clone())));
    assert_eq!(repeated, [], "exclusion of an excluded server logged");
    let readmitted = logged(call_with_effects(&mut harness, AdminCall::Readmit(server.clone())));
    assert_eq!(readmitted, [LogEvent::ServerReadmitted { server }]);
}

/// A server that resets an attempt is avoided only for a limited time, which has passed after 60 s.
#[test]
fn counts_a_server_as_ejected_only_while_it_is_avoided() {
    let mut harness = ReducerHarness::new();
    let (connection, _) = harness.forward_request();
    harness.feed(Input::AttemptEnded { connection, attempt: 0, outcome: AttemptOutcome::Reset });
    assert_eq!(metrics(&mut harness).ejected, 1);
    harness.advance(Micros::from_secs(60));
    assert_eq!(metrics(&mut harness).ejected, 0);
}

#[test]
fn is_ready_with_an_endpoint_list_and_listeners_and_not_during_shutdown() {
    let mut harness = ReducerHarness::with_cached_endpoints();
    assert!(
        matches!(call(&mut harness, AdminCall::Readiness), AdminResponse::No(_)),
        "ready before the fronts listen"
    );
    harness.feed(Input::Listening);
    // The cached list must suffice, or no process could become ready while discovery is down or overloaded.
    assert_eq!(call(&mut harness, AdminCall::Readiness), AdminResponse::Yes);
    harness.feed(Input::CachedEndpoints { pool: PoolId(0), endpoints: Vec::new() });
    assert!(
        matches!(call(&mut harness, AdminCall::Readiness), AdminResponse::No(_)),
        "ready with an empty cached list"
    );
    harness.feed(Input::EndpointsUpdated { pool: PoolId(0), is_snapshot: false, endpoints: Vec::new() });
    assert_eq!(call(&mut harness, AdminCall::Readiness), AdminResponse::Yes);
    harness.feed(Input::ShutdownRequested);
    assert!(matches!(call(&mut harness, AdminCall::Readiness), AdminResponse::No(_)));
}

#[test]
fn excludes_and_readmits_a_server_by_name_only_if_it_was_ever_listed() {
    let mut harness = ReducerHarness::new();
    let server = SERVERS[1].to_owned();
    let unlisted = "s-0000dead".to_owned();
    for call_of in [AdminCall::Exclude, AdminCall::Readmit] {
        assert!(matches!(call(&mut harness, call_of(unlisted.clone())), AdminResponse::No(_)));
    }
    for _ in 0..3 {
        assert_eq!(
            call_with_effects(&mut harness, AdminCall::Exclude(server.clone())).pop(),
            Some(reply_yes())
        );
        assert_eq!(metrics(&mut harness).ejected, 1);
    }
    // The name of a server remains known while the server is not listed.
    harness.update_endpoint(1, Lifecycle::Gone);
    assert_eq!(call(&mut harness, AdminCall::Exclude(server.clone())), AdminResponse::Yes);
    harness.update_endpoint(1, Lifecycle::Ready);
    assert_eq!(metrics(&mut harness).ejected, 1, "exclusion ended by an update of the endpoint list");
    assert_eq!(call(&mut harness, AdminCall::Readmit(server)), AdminResponse::Yes);
    assert_eq!(metrics(&mut harness).ejected, 0, "still excluded after one call for readmission");
}

fn reply_yes() -> Effect {
    Effect::AdminReply { admin_call: ADMIN_CALL, reply: AdminResponse::Yes }
}

/// Excluded servers restart after 1.5 s, which breaks the connections that are not migrated by then.
#[test]
fn migrates_clients_of_an_excluded_server_gradually_and_soon() {
    let mut harness = ReducerHarness::new();
    let connections: Vec<ConnectionId> = (0..60).map(|_| harness.establish_connection()).collect();
    let server = SERVERS[2].to_owned();
    let (mut migrated, mut steps) = (BTreeSet::new(), 0);
    let mut effects = call_with_effects(&mut harness, AdminCall::Exclude(server));
    for _ in 0..15 {
        let migrated_before = migrated.len();
        migrated.extend(effects.iter().filter_map(|effect| match effect {
            Effect::Answer { connection, answer: Answer::Migrated } => Some(*connection),
            _ => None,
        }));
        steps += usize::from(migrated.len() > migrated_before);
        harness.advance(Micros::from_millis(100));
        effects = harness.feed(Input::TimerFired);
    }
    assert!(
        migrated.len() > 4 && migrated.len() < connections.len(),
        "{} of 60 clients migrated",
        migrated.len()
    );
    assert!(steps > 3, "migrations in only {steps} of 15 steps");
}

/// A readmitted server is usually a new, cold process. The state learned before does not apply to it, and it
/// must be filled no faster than any cold server, even if the endpoint list does not show the restart yet.
#[test]
fn uses_a_readmitted_server_soon_but_as_cold() {
    let mut harness = ReducerHarness::new();
    for _ in 0..60 {
        harness.establish_connection();
    }
    let (server, address) = (SERVERS[2].to_owned(), harness.address(SERVERS[2]));
    let attempts_at_server = |harness: &mut ReducerHarness, requests: usize| {
        let mut attempts = 0;
        for _ in 0..requests {
            harness.advance(Micros::from_millis(50));
            let connection = harness.connect_client();
            let effects =
                harness.feed(Input::ConnectionRequested { connection, request: connection_request() });
            attempts += effects
                .iter()
                .filter(|effect| matches!(effect, Effect::OpenAttempt { address: opened, .. } if *opened == address))
                .count();
            harness.feed(Input::RequestForwarded { connection, attempt: 0 });
            harness.feed(Input::AttemptAccepted { connection, attempt: 0 });
        }
        attempts
    };
    call(&mut harness, AdminCall::Exclude(server.clone()));
    assert_eq!(attempts_at_server(&mut harness, 40), 0);
    call(&mut harness, AdminCall::Readmit(server));
    let in_first_second = attempts_at_server(&mut harness, 20);
    assert!(
        in_first_second <= 8,
        "{in_first_second} of 20 requests in the first second sent to a cold server"
    );
    assert!(in_first_second + attempts_at_server(&mut harness, 80) > 0, "readmitted server unused for 5 s");
}
