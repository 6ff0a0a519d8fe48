//! The settings of moves for balance: the operator's, and those of the pool.

use crate::Micros;

/// What the operator sets for one pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RebalanceConfig {
    /// Whether any connection is migrated for balance.
    pub enabled: bool,
    /// Clients a second that this balancer migrates at the most; infinite for as many as the learned rate allows.
    pub max_moves_per_s: f64,
    /// A move's gain has to be so many times its cost.
    pub margin: f64,
    /// Where servers do not report how long messages take: the share of their capacity that servers use on average.
    pub assumed_use: f64,
}

impl Default for RebalanceConfig {
    /// Disabled; when it is enabled, at most 2 moves a second that gain twice their cost.
    fn default() -> RebalanceConfig {
        RebalanceConfig { enabled: false, max_moves_per_s: 2.0, margin: 2.0, assumed_use: 0.7 }
    }
}

/// The part of the pool's settings that concerns moves.
#[derive(Clone, Debug, PartialEq)]
pub struct RebalanceContext {
    /// Balancers that share the servers, this one included.
    pub balancers: u32,
    /// Each class's priority weight: the value of one second of its service.
    pub priority_weights: Vec<f64>,
    /// The tightest objective for setting a connection up, in microseconds; 0 where there is none.
    pub setup_objective: Micros,
    /// The tightest latency objective of a message, in microseconds; 0 where unknown.
    pub message_objective: Micros,
    /// Whether servers report how long messages take.
    pub reports_message_time: bool,
    /// Price of each client migrated once, as a share of all served value.
    pub migration_cost: f64,
    /// A server that starts is warm after this time.
    pub slow_start_duration: Micros,
}
