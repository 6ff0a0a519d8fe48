//! The result of an evaluation.

use super::HoldReason;
use crate::{ConnectionId, ServerId};

/// What is to be done after an evaluation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Decision {
    /// Connections to migrate.
    pub migrations: Vec<Migration>,
    /// Ceilings to raise.
    pub ceiling_increases: Vec<CeilingIncrease>,
    /// Servers whose ceilings are to be lowered to the slots that are occupied.
    pub ceilings_to_lower: Vec<ServerId>,
    /// For the log: rebalancing was put on hold or resumed.
    pub hold_transition: Option<HoldTransition>,
}

/// A connection that has to leave its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Migration {
    /// The connection.
    pub connection: ConnectionId,
    /// The server that it leaves.
    pub from: ServerId,
}

/// A ceiling that is too low for the capacity that the server is expected to have.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CeilingIncrease {
    /// The server.
    pub server: ServerId,
    /// The least ceiling that it should have, in slots.
    pub ceiling: f64,
}

/// A change in whether rebalancing is on hold, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldTransition {
    /// Nobody is migrated from now on, for this reason.
    Held(HoldReason),
    /// Clients may be migrated again.
    Resumed,
}
