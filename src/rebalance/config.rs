//! The settings of rebalancing: the operator's, and those that follow from the pool's configuration.

use crate::Micros;

/// What the operator sets for one pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RebalanceConfig {
    /// Whether any client is migrated for balance.
    pub enabled: bool,
    /// The most clients that this balancer migrates in a second; infinite to leave the limit to the learned rate.
    pub max_migrations_per_second: f64,
    /// The least gain of a migration, as a multiple of its cost.
    pub min_gain_over_cost: f64,
    /// Mean utilisation that is assumed of servers that do not report message times, as a share of their capacity.
    pub assumed_utilisation: f64,
}

impl Default for RebalanceConfig {
    /// Disabled; when it is enabled, at most two migrations a second that gain twice their cost.
    fn default() -> RebalanceConfig {
        RebalanceConfig {
            enabled: false,
            max_migrations_per_second: 2.0,
            min_gain_over_cost: 2.0,
            assumed_utilisation: 0.7,
        }
    }
}

/// The part of the pool's settings that rebalancing needs.
#[derive(Clone, Debug, PartialEq)]
pub struct RebalanceContext {
    /// Balancers that share the servers, this one included.
    pub balancers: u32,
    /// Each class's priority weight: the value of one second of its service.
    pub priority_weights: Vec<f64>,
    /// The tightest latency objective of a connection setup; zero where there is none.
    pub setup_objective: Micros,
    /// The tightest latency objective of a message; zero where unknown.
    pub message_objective: Micros,
    /// Whether servers report how long messages take.
    pub reports_message_time: bool,
    /// Price of migrating a client once, as a share of the value that its whole connection delivers.
    pub migration_cost: f64,
    /// Time after which a server that has started is warm.
    pub slow_start_duration: Micros,
}
