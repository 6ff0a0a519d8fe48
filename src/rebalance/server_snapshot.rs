//! The state of a server at the time of an evaluation.

use crate::{ServerId, Time};

/// What the policy and the endpoint list know of a server now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerSnapshot {
    /// The server.
    pub server: ServerId,
    /// Whether it is listed for use and its last attempt did not fail.
    pub ready: bool,
    /// Slots that this balancer's connections occupy there.
    pub occupied_slots: f64,
    /// Concurrency limit: the most slots that this balancer's connections may occupy there.
    pub ceiling: f64,
    /// Its weight in the endpoint list.
    pub weight: f64,
    /// Share of its capacity that is available during its slow start, 0 to 1.
    pub warmth: f64,
    /// When its process started, if the endpoint list says so.
    pub started: Option<Time>,
    /// When it last rejected, dropped or delayed a request, in this incarnation.
    pub last_fault: Option<Time>,
}
