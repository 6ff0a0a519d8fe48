//! The reasons for which no connection is moved.

use std::fmt;

/// Why nothing may be moved now. The order is that of [`HoldReason::code`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum HoldReason {
    /// This balancer shuts down gracefully.
    ShuttingDown,
    /// A hot restart is under way.
    HotRestart,
    /// Connections are at servers that drain.
    Draining,
    /// The configuration was read again a short time ago.
    Reload,
    /// The endpoint list lost a good part of its servers a short time ago.
    ListShrank,
    /// The endpoint list cannot be had.
    ListLost,
    /// Fewer than two servers are in use.
    FewServers,
    /// Many more clients arrive than usual.
    Storm,
    /// Setups take far longer than usual, or too long for their objective.
    SlowSetups,
    /// Migrated clients were rejected or failed.
    Rejected,
    /// Migrated clients do not come back.
    NotReturning,
    /// The excess does not fall.
    NoEffect,
}

impl fmt::Display for HoldReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            HoldReason::ShuttingDown => "this balancer is shutting down",
            HoldReason::HotRestart => "another process serves beside this one",
            HoldReason::Draining => "servers are draining",
            HoldReason::Reload => "the configuration was read again",
            HoldReason::ListShrank => "the endpoint list has lost a good part of its servers",
            HoldReason::ListLost => "the endpoint list cannot be had",
            HoldReason::FewServers => "fewer than two servers are in use",
            HoldReason::Storm => "many clients arrive at once",
            HoldReason::SlowSetups => "setups are slow",
            HoldReason::Rejected => "migrated clients were rejected",
            HoldReason::NotReturning => "migrated clients do not come back",
            HoldReason::NoEffect => "moves do not help",
        })
    }
}

impl HoldReason {
    /// Its number in the metrics, from 1: 0 there means that moves are not held.
    pub fn code(self) -> u64 {
        self as u64 + 1
    }
}
