//! Reasons for which no client is migrated for balance.

use std::fmt;

/// Reason for which no client may be migrated now.
///
/// The number in each description is [`HoldReason::code`], the value of the metric `rebalance.FRONT.held`.
///
/// The first eight reasons are decided in `hold_conditions.rs`, `SlowSetups` in `setup_times.rs`, and the
/// last three in `migration_rate.rs`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum HoldReason {
    /// 1: this balancer shuts down gracefully.
    ShuttingDown,
    /// 2: a hot restart is under way.
    HotRestart,
    /// 3: connections are established at servers that drain, are excluded, or are gone.
    Draining,
    /// 4: the configuration was reloaded recently.
    ConfigurationReloaded,
    /// 5: the endpoint list lost a large part of its servers recently.
    EndpointListShrank,
    /// 6: the endpoint list is unavailable.
    EndpointListUnavailable,
    /// 7: fewer than two servers are ready and without failures.
    TooFewServers,
    /// 8: many more clients arrive than usual.
    ArrivalStorm,
    /// 9: connection setups take far longer than usual, or too long for their objective.
    SlowSetups,
    /// 10: a migrated client was rejected, or its connection failed.
    ClientsRejected,
    /// 11: migrated clients do not reconnect.
    ClientsNotReconnecting,
    /// 12: migrations did not lower the largest excess of a server over its fair share.
    ExcessNotFalling,
}

impl fmt::Display for HoldReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            HoldReason::ShuttingDown => "this balancer is shutting down",
            HoldReason::HotRestart => "a hot restart is under way",
            HoldReason::Draining => "servers are draining",
            HoldReason::ConfigurationReloaded => "the configuration was reloaded",
            HoldReason::EndpointListShrank => "the endpoint list has lost a large part of its servers",
            HoldReason::EndpointListUnavailable => "the endpoint list is unavailable",
            HoldReason::TooFewServers => "fewer than two servers are ready and without failures",
            HoldReason::ArrivalStorm => "many more clients arrive than usual",
            HoldReason::SlowSetups => "connection setups are slow",
            HoldReason::ClientsRejected => "migrated clients were rejected",
            HoldReason::ClientsNotReconnecting => "migrated clients do not reconnect",
            HoldReason::ExcessNotFalling => "migrations do not lower the excess load",
        })
    }
}

impl HoldReason {
    /// Returns the number of the reason in the metrics, from 1. The metric is 0 while there is no hold.
    pub fn code(self) -> u64 {
        self as u64 + 1
    }
}
