//! The reasons for which nobody is migrated for balance.

use std::fmt;

/// Why nobody may be migrated now. The order is that of [`HoldReason::code`].
///
/// The first eight are decided in `hold_conditions.rs`, `SlowSetups` in `setup_times.rs`, and the last three in
/// `migration_rate.rs`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum HoldReason {
    /// This balancer shuts down gracefully.
    ShuttingDown,
    /// A hot restart is under way.
    HotRestart,
    /// Connections are established at servers that drain.
    Draining,
    /// The configuration was reloaded recently.
    ConfigurationReloaded,
    /// The endpoint list lost a large part of its servers recently.
    EndpointListShrank,
    /// The endpoint list is unavailable.
    EndpointListUnavailable,
    /// Fewer than two servers are ready.
    TooFewServers,
    /// Many more clients arrive than usual.
    ArrivalStorm,
    /// Connection setups take far longer than usual, or too long for their objective.
    SlowSetups,
    /// A migrated client was rejected or failed.
    ClientsRejected,
    /// Migrated clients do not reconnect.
    ClientsNotReturning,
    /// Migrations did not lower the worst excess.
    ExcessNotFalling,
}

impl fmt::Display for HoldReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            HoldReason::ShuttingDown => "this balancer is shutting down",
            HoldReason::HotRestart => "another process serves beside this one",
            HoldReason::Draining => "servers are draining",
            HoldReason::ConfigurationReloaded => "the configuration was reloaded",
            HoldReason::EndpointListShrank => "the endpoint list has lost a large part of its servers",
            HoldReason::EndpointListUnavailable => "the endpoint list is unavailable",
            HoldReason::TooFewServers => "fewer than two servers are ready",
            HoldReason::ArrivalStorm => "many more clients arrive than usual",
            HoldReason::SlowSetups => "connection setups are slow",
            HoldReason::ClientsRejected => "migrated clients were rejected",
            HoldReason::ClientsNotReturning => "migrated clients do not reconnect",
            HoldReason::ExcessNotFalling => "migrations do not lower the excess load",
        })
    }
}

impl HoldReason {
    /// Its number in the metrics, from 1; 0 there means that nothing is on hold.
    pub fn code(self) -> u64 {
        self as u64 + 1
    }
}
