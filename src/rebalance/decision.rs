//! What the rebalancer decides, and its metrics.

use super::HoldReason;
use crate::{ConnectionId, ServerId};

/// What is to be done after an evaluation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Decision {
    /// Migrate these connections.
    pub moves: Vec<Migration>,
    /// Raise these ceilings.
    pub ceilings: Vec<CeilingIncrease>,
    /// Lower the ceilings of these servers to what they hold.
    pub lowered: Vec<ServerId>,
    /// For the log: moves are held or may go on.
    pub log: Option<HoldTransition>,
}

/// A connection that is to leave its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Migration {
    /// The connection.
    pub connection: ConnectionId,
    /// The server that it leaves.
    pub from: ServerId,
}

/// A server whose ceiling is too low for what may be expected of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CeilingIncrease {
    /// The server.
    pub server: ServerId,
    /// The ceiling that it should have at least, in slots.
    pub ceiling: f64,
}

/// A change in whether moves are held, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldTransition {
    /// Moves are held for this reason from now on.
    Held(HoldReason),
    /// Moves are no longer held.
    Resumed,
}

/// Counts since the start of the process, the current rate and the current hold.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RebalanceMetrics {
    /// Clients migrated for balance.
    pub moved: u64,
    /// Of those, the ones that came back to this balancer.
    pub returned: u64,
    /// Of those, the ones that were then rejected or failed.
    pub rejected: u64,
    /// Moves a second that are allowed now.
    pub rate: f64,
    /// Why nothing may be moved now.
    pub hold_reason: Option<HoldReason>,
}
