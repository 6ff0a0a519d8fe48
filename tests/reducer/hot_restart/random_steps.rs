//! Connections across any number of hot restarts, in random steps.

use std::collections::BTreeMap;

use connection_balancer::routing::*;
use connection_balancer::Micros;
use proptest::prelude::*;

use super::{metrics, start_successor_with_effects};
use crate::reducer_harness::{connection_request, ReducerHarness, SERVERS};

/// An open connection.
#[derive(Clone, Copy)]
struct OpenConnection {
    /// Index of the process that has the connection.
    process: usize,
    /// Id of the connection at that process.
    connection: ConnectionId,
    /// Number of the attempt in flight or accepted.
    attempt: Option<u32>,
    established: bool,
}

/// A sequence of processes, of which the last one serves, and the expected state of their connections.
#[derive(Default)]
struct Model {
    harnesses: Vec<ReducerHarness>,
    /// Open connections, by their number in the test.
    open: BTreeMap<u64, OpenConnection>,
    /// Number of connections that were answered.
    answered: usize,
    /// Number of connections that were requested; also the number of the last one.
    requested: u64,
    excluded: Vec<&'static str>,
}

impl OpenConnection {
    fn is(&self, process: usize, connection: ConnectionId) -> bool {
        (self.process, self.connection) == (process, connection)
    }
}

impl Model {
    /// Executes a random step. `index` selects its connection or server.
    fn step(&mut self, step: u8, index: usize) -> Result<(), TestCaseError> {
        let serving = self.harnesses.len() - 1;
        let selected = self.open.values().nth(index % self.open.len().max(1)).copied();
        let connecting = selected.filter(|open| !open.established);
        let attempt_of = |open: OpenConnection| Some((open, open.attempt?));
        match (step, connecting.and_then(attempt_of)) {
            (0..=2, _) => self.request_connection(serving),
            (3 | 4, Some((open, attempt))) => self.accept_attempt(open, attempt),
            (5, Some((open, attempt))) => self.reject_attempt(open, attempt),
            (6, _) => self.exclude_or_readmit(serving, SERVERS[index % 2]),
            // The next restart begins only after all connections have left the predecessor.
            (7, _) if self.open.values().all(|open| open.process == serving) => self.restart(serving),
            _ => Ok(()),
        }
    }

    fn request_connection(&mut self, process: usize) -> Result<(), TestCaseError> {
        let connection = self.harnesses[process].connect_client();
        self.requested += 1;
        let open = OpenConnection { process, connection, attempt: None, established: false };
        self.open.insert(self.requested, open);
        self.feed(process, Input::ConnectionRequested { connection, request: connection_request() })
    }

    fn accept_attempt(&mut self, open: OpenConnection, attempt: u32) -> Result<(), TestCaseError> {
        let OpenConnection { process, connection, .. } = open;
        self.feed(process, Input::RequestForwarded { connection, attempt })?;
        if let Some(open) = self.find_open(process, connection) {
            open.established = true;
        }
        self.feed(process, Input::AttemptAccepted { connection, attempt })
    }

    fn reject_attempt(&mut self, open: OpenConnection, attempt: u32) -> Result<(), TestCaseError> {
        let OpenConnection { process, connection, .. } = open;
        if let Some(open) = self.find_open(process, connection) {
            open.attempt = None;
        }
        self.feed(process, Input::AttemptEnded { connection, attempt, outcome: AttemptOutcome::Rejected })
    }

    /// Excludes or readmits a server at the serving process and at its predecessor, if there is one.
    fn exclude_or_readmit(&mut self, serving: usize, server: &'static str) -> Result<(), TestCaseError> {
        let excluded = !self.excluded.contains(&server);
        self.excluded.retain(|name| *name != server);
        self.excluded.extend(excluded.then_some(server));
        (serving.saturating_sub(1)..=serving).try_for_each(|process| {
            self.feed(process, Input::ExclusionShared { server: server.to_owned(), excluded })
        })
    }

    /// Ends the predecessor of the serving process, if there is one, and starts a successor.
    fn restart(&mut self, serving: usize) -> Result<(), TestCaseError> {
        self.feed(serving, Input::PeerProcessLost)?;
        let (successor, effects) = start_successor_with_effects(&mut self.harnesses[serving]);
        self.harnesses.push(successor);
        self.apply_effects(serving, effects)
    }

    fn feed(&mut self, process: usize, input: Input) -> Result<(), TestCaseError> {
        let effects = self.harnesses[process].feed(input);
        self.apply_effects(process, effects)
    }

    fn find_open(&mut self, process: usize, connection: ConnectionId) -> Option<&mut OpenConnection> {
        self.open.values_mut().find(|open| open.is(process, connection))
    }

    fn number_of(&self, process: usize, connection: ConnectionId) -> Option<u64> {
        self.open.iter().find(|(_, open)| open.is(process, connection)).map(|(&number, _)| number)
    }

    fn apply_effects(&mut self, process: usize, effects: Vec<Effect>) -> Result<(), TestCaseError> {
        for effect in effects {
            match effect {
                Effect::OpenAttempt { connection, attempt, address, .. } => {
                    let is_excluded = self.excluded.iter().any(|server| address.starts_with(server));
                    prop_assert!(!is_excluded, "attempt opened at the excluded server {address}");
                    let open = self
                        .find_open(process, connection)
                        .expect("the connection of the attempt is open at this process");
                    prop_assert!(open.attempt.is_none(), "connection has two attempts at the same time");
                    open.attempt = Some(attempt);
                }
                Effect::CloseAttempt { connection } => {
                    if let Some(open) = self.find_open(process, connection) {
                        open.attempt = None;
                    }
                }
                Effect::Answer { connection, .. } => {
                    let number = self
                        .number_of(process, connection)
                        .expect("the answered connection is open at this process");
                    self.open.remove(&number);
                    self.answered += 1;
                }
                Effect::TransferConnection { connection, established, .. } => {
                    self.transfer(process, connection, established)?;
                }
                _ => {}
            }
        }
        Ok(())
    }

    fn transfer(
        &mut self,
        process: usize,
        connection: ConnectionId,
        established: TransferredConnection,
    ) -> Result<(), TestCaseError> {
        let number =
            self.number_of(process, connection).expect("a transferred connection is open at its process");
        let received = ConnectionId(1_000_000 + number);
        let open =
            self.find_open(process, connection).expect("a transferred connection is open at its process");
        prop_assert!(open.established, "connection transferred before it was established");
        *open = OpenConnection {
            process: process + 1,
            connection: received,
            attempt: Some(0),
            established: true,
        };
        self.feed(process, Input::ConnectionTransferred { connection })?;
        self.feed(
            process + 1,
            Input::ConnectionReceived { connection: received, pool: PoolId(0), established },
        )
    }
}

proptest! {
    /// Across any number of hot restarts at any time, each connection is either open at exactly one process
    /// or was answered exactly once, and no attempt is opened at an excluded server.
    #[test]
    fn loses_no_connection_through_hot_restarts(steps in prop::collection::vec((0u8..8, 0usize..6, 1u64..300_000), 1..120)) {
        let mut model = Model { harnesses: vec![ReducerHarness::new()], ..Model::default() };
        for (step, index, pause) in steps {
            model.harnesses.iter_mut().for_each(|harness| harness.advance(Micros(pause)));
            model.step(step, index)?;
            for process in 0..model.harnesses.len() {
                model.feed(process, Input::TimerFired)?;
            }
            let outstanding: u64 = model.harnesses.iter_mut().map(|harness| metrics(harness).outstanding).sum();
            prop_assert_eq!(outstanding, model.open.len() as u64);
            prop_assert_eq!(model.open.len() + model.answered, model.requested as usize);
        }
    }
}
