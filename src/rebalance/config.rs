//! Settings of rebalancing: those set by the operator, and those derived from the pool's configuration.

use crate::Micros;

/// Settings of one pool that the operator configures.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RebalanceConfig {
    /// Whether clients are migrated for balance.
    pub enabled: bool,
    /// Largest number of clients that this balancer migrates per second. Infinite if only the learned rate
    /// limits it.
    pub max_migrations_per_second: f64,
    /// Smallest gain of a migration, as a multiple of its cost.
    pub min_gain_over_cost: f64,
    /// Assumed mean utilisation of servers that do not report message times, as a share of their capacity.
    pub assumed_utilisation: f64,
}

impl Default for RebalanceConfig {
    /// Returns disabled rebalancing. Once enabled, it makes at most two migrations per second, each with a
    /// gain of at least twice its cost.
    fn default() -> RebalanceConfig {
        RebalanceConfig {
            enabled: false,
            max_migrations_per_second: 2.0,
            min_gain_over_cost: 2.0,
            assumed_utilisation: 0.7,
        }
    }
}

/// Settings of the pool that rebalancing needs.
#[derive(Clone, Debug, PartialEq)]
pub struct RebalanceContext {
    /// Number of balancers that share the servers, including this one.
    pub balancers: u32,
    /// Priority weight of each class, which is the value of one second of its service.
    pub priority_weights: Vec<f64>,
    /// Tightest latency objective of a connection setup; zero if there is none.
    pub setup_objective: Micros,
    /// Tightest latency objective of a message; zero if unknown.
    pub message_objective: Micros,
    /// Whether servers report message times.
    pub reports_message_time: bool,
    /// Price of migrating a client once, as a share of the value that its connection delivers over its whole
    /// lifetime.
    pub migration_cost: f64,
    /// Time from the start of a server until it has its full capacity.
    pub slow_start_duration: Micros,
}
