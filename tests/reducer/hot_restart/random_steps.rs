//! Connections through any number of hot restarts.

use std::collections::BTreeMap;

use connection_balancer::routing::*;
use connection_balancer::Micros;
use proptest::prelude::*;

use super::{metrics, start_successor_with_effects};
use crate::reducer_harness::{connection_request, ReducerHarness, SERVERS};

/// An open connection: at which process, its id there, the attempt in flight, and whether it is established.
#[derive(Clone, Copy)]
struct OpenConnection {
    process: usize,
    connection: ConnectionId,
    attempt: Option<u32>,
    established: bool,
}

/// One process after the other, the last of which serves.
#[derive(Default)]
struct Model {
    harnesses: Vec<ReducerHarness>,
    open: BTreeMap<u64, OpenConnection>,
    done: usize,
    next: u64,
    excluded: Vec<&'static str>,
}

impl OpenConnection {
    fn is(&self, process: usize, connection: ConnectionId) -> bool {
        (self.process, self.connection) == (process, connection)
    }
}

impl Model {
    fn step(&mut self, what: u8, which: usize) -> Result<(), TestCaseError> {
        let now = self.harnesses.len() - 1;
        let chosen = self.open.values().nth(which % self.open.len().max(1)).copied();
        let connecting = chosen.filter(|open| !open.established);
        let attempt_of = |open: OpenConnection| Some((open, open.attempt?));
        match (what, connecting.and_then(attempt_of)) {
            (0..=2, _) => self.request_connection(now),
            (3 | 4, Some((open, attempt))) => self.accept_attempt(open, attempt),
            (5, Some((open, attempt))) => self.reject_attempt(open, attempt),
            (6, _) => self.exclude_or_readmit(now, SERVERS[which % 2]),
            // Not before all connections of the process before it are there.
            (7, _) if self.open.values().all(|open| open.process == now) => self.restart(now),
            _ => Ok(()),
        }
    }

    fn request_connection(&mut self, process: usize) -> Result<(), TestCaseError> {
        let connection = self.harnesses[process].connect_client();
        self.next += 1;
        let open = OpenConnection { process, connection, attempt: None, established: false };
        self.open.insert(self.next, open);
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
        self.feed(process, Input::AttemptEnded { connection, attempt, end: AttemptOutcome::Rejected })
    }

    /// Whichever process is called, the other is notified.
    fn exclude_or_readmit(&mut self, now: usize, server: &'static str) -> Result<(), TestCaseError> {
        let excluded = !self.excluded.contains(&server);
        self.excluded.retain(|name| *name != server);
        self.excluded.extend(excluded.then_some(server));
        (now.saturating_sub(1)..=now).try_for_each(|process| {
            self.feed(process, Input::ExclusionShared { server: server.to_owned(), excluded })
        })
    }

    /// Starts a successor of the process that serves.
    fn restart(&mut self, now: usize) -> Result<(), TestCaseError> {
        self.feed(now, Input::PeerProcessLost)?;
        let (new, effects) = start_successor_with_effects(&mut self.harnesses[now]);
        self.harnesses.push(new);
        self.carry_out(now, effects)
    }

    fn feed(&mut self, process: usize, input: Input) -> Result<(), TestCaseError> {
        let effects = self.harnesses[process].feed(input);
        self.carry_out(process, effects)
    }

    fn find_open(&mut self, process: usize, connection: ConnectionId) -> Option<&mut OpenConnection> {
        self.open.values_mut().find(|open| open.is(process, connection))
    }

    fn number_of(&self, process: usize, connection: ConnectionId) -> Option<u64> {
        self.open.iter().find(|(_, open)| open.is(process, connection)).map(|(&number, _)| number)
    }

    fn carry_out(&mut self, process: usize, effects: Vec<Effect>) -> Result<(), TestCaseError> {
        for effect in effects {
            match effect {
                Effect::OpenAttempt { connection, attempt, address, .. } => {
                    let is_excluded = self.excluded.iter().any(|server| address.starts_with(server));
                    prop_assert!(!is_excluded, "an attempt to {address}");
                    let open = self.find_open(process, connection).expect("it is open here");
                    prop_assert!(open.attempt.is_none(), "two attempts at once");
                    open.attempt = Some(attempt);
                }
                Effect::CloseAttempt { connection } => {
                    if let Some(open) = self.find_open(process, connection) {
                        open.attempt = None;
                    }
                }
                Effect::Answer { connection, .. } => {
                    let number = self.number_of(process, connection).expect("answered here, and once");
                    self.open.remove(&number);
                    self.done += 1;
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
        established: EstablishedConnection,
    ) -> Result<(), TestCaseError> {
        let number = self.number_of(process, connection).expect("it is open here");
        let received = ConnectionId(1_000_000 + number);
        let open = self.find_open(process, connection).expect("it is open here");
        prop_assert!(open.established, "only established connections are transferred");
        *open = OpenConnection {
            process: process + 1,
            connection: received,
            attempt: Some(0),
            established: true,
        };
        self.feed(process, Input::ConnectionTransferred { connection })?;
        self.feed(process + 1, Input::ConnectionReceived { connection: received, pool: 0, established })
    }
}

proptest! {
    /// Through any number of hot restarts at any moment each connection is answered once or established, at one
    /// process, and nothing new goes to an excluded server.
    #[test]
    fn loses_no_connection_through_hot_restarts(steps in prop::collection::vec((0u8..8, 0usize..6, 1u64..300_000), 1..120)) {
        let mut model = Model { harnesses: vec![ReducerHarness::new()], ..Model::default() };
        for (what, which, pause) in steps {
            model.harnesses.iter_mut().for_each(|harness| harness.advance(Micros(pause)));
            model.step(what, which)?;
            for process in 0..model.harnesses.len() {
                model.feed(process, Input::TimerFired)?;
            }
            let outstanding: u64 = model.harnesses.iter_mut().map(|harness| metrics(harness).outstanding).sum();
            prop_assert_eq!(outstanding, model.open.len() as u64);
            prop_assert_eq!(model.open.len() + model.done, model.next as usize);
        }
    }
}
