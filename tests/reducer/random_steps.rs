//! The reducer under random steps, against what its rules allow.

use std::collections::{BTreeMap, BTreeSet};

use connection_balancer::routing::*;
use connection_balancer::{Micros, Time};
use proptest::prelude::*;

use crate::reducer_harness::{connection_request, ReducerHarness, SERVERS, WAIT};

/// The number of an attempt that is never opened.
const UNKNOWN_ATTEMPT: u32 = 9;
const MAX_ATTEMPTS: u32 = 6;

/// The reducer, and what its rules allow at each moment.
struct Model {
    harness: ReducerHarness,
    /// All connections, and when they requested.
    connections: Vec<(ConnectionId, Time)>,
    /// The attempt in flight of each connection.
    in_flight: BTreeMap<ConnectionId, u32>,
    /// When each connection was answered or established, or its client left.
    answered: BTreeMap<ConnectionId, Time>,
    /// How many attempts each connection had.
    attempts: BTreeMap<ConnectionId, u32>,
    /// Addresses of servers that drain.
    drained: BTreeSet<String>,
}

impl Model {
    fn new() -> Model {
        Model {
            harness: ReducerHarness::new(),
            connections: Vec::new(),
            in_flight: BTreeMap::new(),
            answered: BTreeMap::new(),
            attempts: BTreeMap::new(),
            drained: BTreeSet::new(),
        }
    }

    /// Feeds the input of a random step.
    fn step(&mut self, what: u8, which: usize, pause: u64) -> Vec<Effect> {
        let chosen = self.connections.get(which % self.connections.len().max(1));
        let connection = chosen.map_or(ConnectionId(u64::MAX), |&(connection, _)| connection);
        let attempt = self.in_flight.get(&connection).copied().unwrap_or(UNKNOWN_ATTEMPT);
        match what {
            0..=2 => self.request_connection(),
            3 => self.harness.feed(Input::RequestForwarded { connection, attempt }),
            4 => {
                // From here on the client is served.
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
            8 if which < SERVERS.len() => {
                self.drained.insert(self.harness.address(SERVERS[which]));
                self.harness.drain_server(which)
            }
            9 if which == 0 && pause < 40_000 => self.harness.feed(Input::ShutdownRequested),
            // Late: the request has come.
            9 => self.harness.feed(Input::HandshakeTimedOut { connection }),
            _ => Vec::new(),
        }
    }

    fn request_connection(&mut self) -> Vec<Effect> {
        let connection = self.harness.connect_client();
        self.connections.push((connection, self.harness.now));
        self.harness.feed(Input::ConnectionRequested { connection, request: connection_request() })
    }

    fn end_attempt(&mut self, connection: ConnectionId, attempt: u32, end: AttemptOutcome) -> Vec<Effect> {
        self.in_flight.remove(&connection);
        self.harness.feed(Input::AttemptEnded { connection, attempt, end })
    }

    /// Checks effects against the rules, in order.
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
                    prop_assert!(earlier.is_none(), "answered twice");
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
        prop_assert!(earlier.is_none(), "two attempts at once");
        let count = self.attempts.entry(connection).or_default();
        *count += 1;
        prop_assert!(*count <= MAX_ATTEMPTS, "{count} attempts");
        prop_assert!(!self.answered.contains_key(&connection), "an attempt after the answer");
        prop_assert!(!self.drained.contains(address), "an attempt to a server that drains");
        Ok(())
    }

    fn check_all_answered_in_time(&self) -> Result<(), TestCaseError> {
        for (connection, since) in &self.connections {
            let late = self.harness.now.since(*since) > WAIT;
            prop_assert!(!late || self.answered.contains_key(connection), "no answer in time");
        }
        Ok(())
    }

    /// Has all clients leave, and checks that nothing is in flight after that.
    fn check_nothing_remains(&mut self) -> Result<(), TestCaseError> {
        for &(connection, _) in &self.connections {
            self.harness.feed(Input::ClientDisconnected { connection });
        }
        let (admin_client, call) = (AdminClientId(0), AdminCall::Metrics);
        let effects = self.harness.feed(Input::AdminRequest { admin_client, call });
        let [Effect::AdminReply { reply: AdminResponse::Metrics(metrics), .. }] = &effects[..] else {
            panic!("{effects:?}")
        };
        prop_assert_eq!(metrics.outstanding, 0);
        Ok(())
    }
}

proptest! {
    /// Whatever happens in whatever order: one answer for each connection and in time, at most six
    /// attempts and never two at once, no new attempt to a server that drains, and none in flight in the end.
    #[test]
    fn rules_hold_under_random_steps(steps in prop::collection::vec((0u8..10, 0usize..8, 1u64..400_000), 1..200)) {
        let mut model = Model::new();
        for (what, which, pause) in steps {
            model.harness.advance(Micros(pause));
            let effects = model.harness.feed(Input::TimerFired);
            model.check_effects(effects)?;
            let effects = model.step(what, which, pause);
            model.check_effects(effects)?;
            model.check_all_answered_in_time()?;
        }
        model.check_nothing_remains()?;
    }
}
