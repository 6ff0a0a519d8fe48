//! Result of an evaluation.

use super::HoldReason;
use crate::{ConnectionId, ServerId};

/// Changes that the reducer carries out after an evaluation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Decision {
    /// Connections to migrate.
    pub migrations: Vec<Migration>,
    /// Ceilings to raise.
    pub ceiling_increases: Vec<CeilingIncrease>,
    /// Servers whose ceilings are lowered to their occupied slots.
    pub ceilings_to_lower: Vec<ServerId>,
    /// Change to be logged: rebalancing was put on hold, or was resumed.
    pub hold_transition: Option<HoldTransition>,
}

/// Migration of one connection away from its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Migration {
    /// Connection to migrate.
    pub connection: ConnectionId,
    /// Server at which the connection is established.
    pub from: ServerId,
}

/// Increase of a ceiling that is too low for the expected capacity of the server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CeilingIncrease {
    /// Server whose ceiling is raised.
    pub server: ServerId,
    /// Smallest ceiling that the server should have, in slots.
    pub ceiling: f64,
}

/// Start or end of a hold, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldTransition {
    /// No client is migrated from now on, for this reason.
    Held(HoldReason),
    /// Clients may be migrated again.
    Resumed,
}
