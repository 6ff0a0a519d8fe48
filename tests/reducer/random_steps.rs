//! Feeds random inputs to the reducer and checks its effects against a model of the rules.

use std::collections::{BTreeMap, BTreeSet};

use connection_balancer::routing::*;
use connection_balancer::{Micros, Time};
use proptest::prelude::*;

use crate::reducer_harness::{connection_request, ReducerHarness, CLIENT_TIMEOUT, SERVERS};

/// An attempt number that is never assigned, because a request has at most [`MAX_ATTEMPTS`] attempts.
const UNKNOWN_ATTEMPT: u32 = 9;
const MAX_ATTEMPTS: u32 = 6;

/// The reducer, and the record of events by which its next effects are checked.
struct Model {
    harness: ReducerHarness,
    /// All connections, each with the time of its request.
    connections: Vec<(ConnectionId, Time)>,
    /// Number of the attempt that each connection has in flight.
    in_flight: BTreeMap<ConnectionId, u32>,
    /// Time at which each connection was answered or established, or its client disconnected.
    answered: BTreeMap<ConnectionId, Time>,
    /// Number of attempts that each connection had.
    attempts: BTreeMap<ConnectionId, u32>,
    /// Addresses of draining servers.
    draining: BTreeSet<String>,
}

impl Model {
    fn new() -> Model {
        Model {
            harness: ReducerHarness::new(),
            connections: Vec::new(),
            in_flight: BTreeMap::new(),
            answered: BTreeMap::new(),
            attempts: BTreeMap::new(),
            draining: BTreeSet::new(),
        }
    }

    /// Feeds the input of a random step: `kind` selects the input, and `index` the connection or server.
    fn step(&mut self, kind: u8, index: usize, pause: u64) -> Vec<Effect> {
        let chosen = self.connections.get(index % self.connections.len().max(1));
        let connection = chosen.map_or(ConnectionId(u64::MAX), |&(connection, _)| connection);
        let attempt = self.in_flight.get(&connection).copied().unwrap_or(UNKNOWN_ATTEMPT);
        match kind {
            0..=2 => self.request_connection(),
            3 => self.harness.feed(Input::RequestForwarded { connection, attempt }),
            4 => {
                // An established connection counts as answered.
                if self.in_flight.contains_key(&connection) {
                    self.answered.entry(connection).or_insert(self.harness.now);
                }
                self.harness.feed(Input::AttemptAccepted { connection, attempt })
            }
            5 => self.end_attempt(connection, attempt, AttemptOutcome::Rejected),
            6 => self.end_attempt(connection, attempt, AttemptOutcome::Reset),
            7 => {
                self.in_flight.remove(&connection);
                self.answered.entry(connection).or_insert(self.harness.now);
                self.harness.feed(Input::ClientDisconnected { connection })
            }
            8 if index < SERVERS.len() => {
                self.draining.insert(self.harness.address(SERVERS[index]));
                self.harness.drain_server(index)
            }
            9 if index == 0 && pause < 40_000 => self.harness.feed(Input::ShutdownRequested),
            // This input arrives late: the request was received before.
            9 => self.harness.feed(Input::RequestTimedOut { connection }),
            _ => Vec::new(),
        }
    }

    fn request_connection(&mut self) -> Vec<Effect> {
        let connection = self.harness.connect_client();
        self.connections.push((connection, self.harness.now));
        self.harness.feed(Input::ConnectionRequested { connection, request: connection_request() })
    }

    fn end_attempt(
        &mut self,
        connection: ConnectionId,
        attempt: u32,
        outcome: AttemptOutcome,
    ) -> Vec<Effect> {
        self.in_flight.remove(&connection);
        self.harness.feed(Input::AttemptEnded { connection, attempt, outcome })
    }

    /// Checks effects against the rules, in order, and records them.
    fn check_effects(&mut self, effects: Vec<Effect>) -> Result<(), TestCaseError> {
        for effect in effects {
            match effect {
                Effect::OpenAttempt { connection, attempt, address, .. } => {
                    self.check_attempt(connection, attempt, &address)?;
                }
                Effect::CloseAttempt { connection } => drop(self.in_flight.remove(&connection)),
                Effect::Answer { connection, answer: Answer::Rejected(_) | Answer::Failed } => {
                    self.in_flight.remove(&connection);
                    let earlier = self.answered.insert(connection, self.harness.now);
                    prop_assert!(earlier.is_none(), "{connection:?} was answered twice");
                }
                _ => {}
            }
        }
        Ok(())
    }

    fn check_attempt(
        &mut self,
        connection: ConnectionId,
        attempt: u32,
        address: &str,
    ) -> Result<(), TestCaseError> {
        let earlier = self.in_flight.insert(connection, attempt);
        prop_assert!(earlier.is_none(), "{connection:?} has two attempts in flight");
        let count = self.attempts.entry(connection).or_default();
        *count += 1;
        prop_assert!(*count <= MAX_ATTEMPTS, "{count} attempts, the limit is {MAX_ATTEMPTS}");
        prop_assert!(
            !self.answered.contains_key(&connection),
            "an attempt of {connection:?} after its answer"
        );
        prop_assert!(!self.draining.contains(address), "an attempt at {address}, which drains");
        Ok(())
    }

    fn check_all_answered_in_time(&self) -> Result<(), TestCaseError> {
        for (connection, requested_at) in &self.connections {
            let is_overdue = self.harness.now.since(*requested_at) > CLIENT_TIMEOUT;
            let is_answered = self.answered.contains_key(connection);
            prop_assert!(
                !is_overdue || is_answered,
                "{connection:?} has no answer within {CLIENT_TIMEOUT:?}"
            );
        }
        Ok(())
    }

    /// Disconnects all clients, and checks that no connection remains admitted.
    fn check_nothing_remains(&mut self) -> Result<(), TestCaseError> {
        for &(connection, _) in &self.connections {
            self.harness.feed(Input::ClientDisconnected { connection });
        }
        let (admin_call, call) = (AdminCallId(0), AdminCall::Metrics);
        let effects = self.harness.feed(Input::AdminRequest { admin_call, call });
        let [Effect::AdminReply { reply: AdminResponse::Metrics(metrics), .. }] = &effects[..] else {
            panic!("{effects:?}")
        };
        prop_assert_eq!(metrics.outstanding, 0);
        Ok(())
    }
}

proptest! {
    /// For any order of inputs, each connection gets one answer and in time, has at most six attempts and
    /// never two at once, and no attempt is opened at a draining server. After all clients have left, no
    /// connection is admitted.
    #[test]
    fn rules_hold_under_random_steps(steps in prop::collection::vec((0u8..10, 0usize..8, 1u64..400_000), 1..200)) {
        let mut model = Model::new();
        for (kind, index, pause) in steps {
            model.harness.advance(Micros(pause));
            let effects = model.harness.feed(Input::TimerFired);
            model.check_effects(effects)?;
            let effects = model.step(kind, index, pause);
            model.check_effects(effects)?;
            model.check_all_answered_in_time()?;
        }
        model.check_nothing_remains()?;
    }
}
