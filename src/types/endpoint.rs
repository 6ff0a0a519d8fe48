//! Entries of the endpoint list, and the state that a balancer learns about each server.

use super::{CellId, ServerId, Time, ZoneId};

/// Weight from which a weight counts as unknown: a sum of such weights could overflow to infinity.
const MAX_WEIGHT: f64 = 1e9;

/// State of a server according to the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// The server runs and accepts new connections.
    Serving,
    /// The server shuts down gracefully and must not receive new connections.
    Draining,
    /// The server no longer runs.
    #[default]
    Gone,
}

/// Entry of the endpoint list.
#[derive(Clone, Copy, Debug, Default)]
pub struct EndpointEntry {
    /// Server that the entry describes.
    pub server: ServerId,
    /// Zone of the server.
    pub zone: ZoneId,
    /// Cell of the server.
    pub cell: CellId,
    /// State of the server.
    pub state: EndpointState,
    /// Time at which the server process started; `None` if that is unknown or long ago.
    pub started_at: Option<Time>,
    /// Capacity relative to the other servers. A value of 0 or less, or of 1e9 or more, counts as unknown.
    pub weight: f64,
}

impl EndpointEntry {
    /// Returns the weight, or 1 if the list has none or an invalid one.
    pub(crate) fn valid_weight(&self) -> f64 {
        Some(self.weight).filter(|weight| *weight > 0.0 && *weight < MAX_WEIGHT).unwrap_or(1.0)
    }
}

/// Slots that this balancer occupies at a server, and their limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Occupancy {
    /// Slots occupied by this balancer's connections, including attempts in progress.
    pub occupied_slots: f64,
    /// Learned concurrency limit of the server, in slots.
    pub ceiling: f64,
}

/// State that a balancer has learned about a server. A hot restart transfers it to the successor. Each rule
/// of the decision module stores its own part; see `src/policy/server.rs`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LearnedState {
    /// Learned concurrency limit, in slots.
    pub ceiling: f64,
    /// Time of the last fault, as defined in `policy::concurrency_limit`; may be in the future.
    pub last_fault: Option<Time>,
    /// Failure score (`policy::outlier_detection`). While it is above 0, the server gets single trials.
    pub failure_score: u32,
    /// Time of the last failure.
    pub last_failure: Option<Time>,
    /// Time before which a server with failures gets no trial.
    pub ejected_until: Time,
    /// Time before which a server in slow start gets no attempt.
    pub next_slow_start_attempt_at: Time,
    /// Time at which a client was last asked to migrate away from the server.
    pub last_migration: Option<Time>,
}
