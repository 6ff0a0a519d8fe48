//! The metrics of rebalancing.

use super::HoldReason;

/// Counts since the start of the process, the current rate and the current hold.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RebalanceMetrics {
    /// Clients migrated for balance.
    pub migrated: u64,
    /// Migrated clients that reconnected to this balancer.
    pub returned: u64,
    /// Returned clients that were then rejected or failed.
    pub rejected: u64,
    /// Migrations that are allowed in a second now.
    pub migrations_per_second: f64,
    /// Why nobody may be migrated now.
    pub hold_reason: Option<HoldReason>,
}
