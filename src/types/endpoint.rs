//! Entries of the endpoint list, and what a balancer learns of the servers behind them.

use super::{CellId, ServerId, Time, ZoneId};

/// Weights from here on count as unknown: a sum of such weights would be infinite.
const MAX_WEIGHT: f64 = 1e9;

/// The state of a server according to the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// Its process runs and takes new connections.
    Serving,
    /// It shuts down gracefully: nothing new may go there.
    Draining,
    /// It is gone.
    #[default]
    Gone,
}

/// One entry of the endpoint list.
#[derive(Clone, Copy, Debug, Default)]
pub struct EndpointEntry {
    /// The server.
    pub server: ServerId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// Its state.
    pub state: EndpointState,
    /// When its process started, if not long ago.
    pub started: Option<Time>,
    /// Its size relative to the other servers; anything not above 0, or of 1e9 and more, counts as unknown.
    pub weight: f64,
}

impl EndpointEntry {
    /// The weight; 1 where the list carries none or an invalid one.
    pub(crate) fn valid_weight(&self) -> f64 {
        Some(self.weight).filter(|weight| *weight > 0.0 && *weight < MAX_WEIGHT).unwrap_or(1.0)
    }
}

/// What a balancer holds at a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Occupancy {
    /// Slots that its connections occupy, established or being set up.
    pub occupied_slots: f64,
    /// The server's ceiling, in slots.
    pub ceiling: f64,
}

/// What a balancer has learned of a server, as a hot restart hands it over. Each rule of the decision module
/// keeps its own part of this; see `src/policy/server.rs`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LearnedState {
    /// The ceiling, in slots.
    pub ceiling: f64,
    /// When it last rejected, dropped or was slow.
    pub last_fault: Option<Time>,
    /// Its failure score (`policy::outlier_detection`); while it is above 0 the server gets single trials.
    pub failure_score: u32,
    /// When it last failed.
    pub last_failure: Option<Time>,
    /// With failures, it gets no trial before this.
    pub ejected_until: Time,
    /// During slow start, it gets no attempt before this.
    pub next_slow_start_send: Time,
    /// When a connection was last asked to migrate away from it.
    pub last_migration: Option<Time>,
}
