//! Observations of connections, from which the reports of replays are printed.

use std::collections::HashMap;
use std::fmt;

use crate::routing::{Answer, AttemptOutcome, ConnectionId, Effect, Input};
use crate::{Micros, Time};

/// An observed event of a connection.
#[derive(Clone, Debug)]
pub(super) enum Observation {
    /// A server accepted the connection.
    Established {
        /// Time since the client connected.
        after: Micros,
        /// Number of the accepted attempt, from 0.
        attempt: u32,
    },
    /// A server's rejection was forwarded to the client.
    VerdictForwarded,
    /// The balancer sent an answer to the client.
    Answered {
        /// Time since the client connected.
        after: Micros,
        /// The answer that was sent. A rejection contains its Retry-After.
        answer: Answer,
    },
    /// The client disconnected.
    ClientDisconnected,
    /// The server ended the connection.
    ServerEnded,
}

fn milliseconds(time: Micros) -> f64 {
    time.as_f64() / 1000.0
}

impl fmt::Display for Observation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match *self {
            Observation::Established { after, attempt } => {
                write!(formatter, "served after {:.1} ms on attempt {}", milliseconds(after), attempt + 1)
            }
            Observation::VerdictForwarded => write!(formatter, "rejected by the server"),
            Observation::Answered { after, answer: Answer::Rejected(retry_after) } => {
                let (after, retry_after) = (milliseconds(after), milliseconds(retry_after));
                write!(formatter, "rejected after {after:.1} ms with a Retry-After of {retry_after:.0} ms")
            }
            Observation::Answered { after, answer: Answer::Failed } => {
                write!(formatter, "failed after {:.1} ms", milliseconds(after))
            }
            Observation::Answered { answer: Answer::RequestTimedOut, .. } => {
                write!(formatter, "handshake timed out")
            }
            Observation::Answered { answer: Answer::Migrated, .. } => write!(formatter, "migrated"),
            Observation::ClientDisconnected => write!(formatter, "left"),
            Observation::ServerEnded => write!(formatter, "ended by the server"),
        }
    }
}

/// Collects the observations of all connections.
#[derive(Default)]
pub(super) struct Observer {
    connected_at: HashMap<ConnectionId, Time>,
    observations: HashMap<ConnectionId, Vec<Observation>>,
}

impl Observer {
    /// Returns the observations of a connection so far, in order.
    pub(super) fn observations(&self, connection: ConnectionId) -> Vec<Observation> {
        self.observations.get(&connection).cloned().unwrap_or_default()
    }

    /// Observes an input before it is fed to the reducer.
    pub(super) fn observe_input(&mut self, now: Time, input: &Input) {
        match *input {
            Input::ClientConnected { connection, .. } => {
                self.connected_at.insert(connection, now);
            }
            Input::AttemptAccepted { connection, attempt } => {
                let after = self.time_since_connected(now, connection);
                self.push(connection, Observation::Established { after, attempt });
            }
            Input::AttemptEnded { connection, outcome: AttemptOutcome::VerdictForwarded, .. } => {
                self.push(connection, Observation::VerdictForwarded);
            }
            Input::AttemptEnded {
                connection,
                outcome: AttemptOutcome::Served | AttemptOutcome::RedirectedByServer,
                ..
            } => self.push(connection, Observation::ServerEnded),
            Input::ClientDisconnected { connection } => {
                self.push(connection, Observation::ClientDisconnected);
            }
            _ => {}
        }
    }

    /// Observes an effect before it is carried out.
    pub(super) fn observe_effect(&mut self, now: Time, effect: &Effect) {
        if let Effect::Answer { connection, answer } = *effect {
            let after = self.time_since_connected(now, connection);
            self.push(connection, Observation::Answered { after, answer });
        }
    }

    fn time_since_connected(&self, now: Time, connection: ConnectionId) -> Micros {
        now.since(self.connected_at.get(&connection).copied().unwrap_or_default())
    }

    fn push(&mut self, connection: ConnectionId, observation: Observation) {
        self.observations.entry(connection).or_default().push(observation);
    }
}
