//! State of a server at the time of an evaluation.

use crate::{ServerId, Time};

/// State of a server according to the policy and the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerSnapshot {
    /// Server that the snapshot describes.
    pub server: ServerId,
    /// Whether the server is listed as ready and its failure score is 0.
    pub is_ready: bool,
    /// Slots that this balancer's connections occupy at the server.
    pub occupied_slots: f64,
    /// Concurrency limit: the number of slots up to which this balancer's connections are placed at the
    /// server by free slots. Overflow may exceed it.
    pub ceiling: f64,
    /// Weight of the server in the endpoint list.
    pub weight: f64,
    /// Share of the capacity that is available during slow start, from 0 to 1.
    pub warmth: f64,
    /// Time at which the server process started; `None` if the endpoint list does not contain it.
    pub started_at: Option<Time>,
    /// Time of the last fault of the current server process, as `policy::concurrency_limit` defines it. An
    /// observation of another balancer may set it to a time in the future.
    pub last_fault_at: Option<Time>,
}
