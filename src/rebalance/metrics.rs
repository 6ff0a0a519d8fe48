//! Metrics of rebalancing.

use super::HoldReason;

/// Counts since the start of the process, the current rate, and the current hold.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RebalanceMetrics {
    /// Number of clients migrated for balance.
    pub migrated: u64,
    /// Number of migrated clients that reconnected to this balancer.
    pub reconnected: u64,
    /// Number of reconnected clients whose connection was then rejected or failed.
    pub rejected: u64,
    /// Number of migrations that are currently allowed per second.
    pub allowed_migrations_per_second: f64,
    /// Reason for which no client may be migrated now; `None` while there is no hold.
    pub hold_reason: Option<HoldReason>,
}
