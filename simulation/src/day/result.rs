//! The result of a day.

use connection_balancer::rebalance::HoldReason;

/// Totals of a day, and its course second by second.
#[derive(Clone, Debug, Default)]
pub struct DayResult {
    /// Value of well-served seconds over the value of all that was requested, less the price of migrations.
    pub served_value: f64,
    /// Migrations for any reason.
    pub migrations: u64,
    /// Migrations for balance.
    pub migrations_for_balance: u64,
    /// Rejections and failures.
    pub rejected: u64,
    /// Minutes for which connections were established.
    pub connection_minutes: f64,
    /// Share of the requested value that was served, each second.
    pub quality: Vec<f64>,
    /// Connections of the fullest server over the mean of running servers, each second.
    pub spread: Vec<f64>,
    /// Each server, each second.
    pub servers: Vec<Vec<ServerSample>>,
    /// Migrations a second that the first balancer allows, each second.
    pub rates: Vec<f64>,
    /// Why rebalancing is on hold at the first balancer, each second.
    pub hold_reasons: Vec<Option<HoldReason>>,
    /// Mean number of servers at which a group of three or more has members, over the day.
    pub servers_per_group: f64,
    /// Descriptions of violated invariants.
    pub violations: Vec<String>,
}

/// A server at one point in time.
#[derive(Clone, Copy, Debug)]
pub struct ServerSample {
    /// Number of its connections.
    pub connections: usize,
    /// The mean time of a message, in milliseconds.
    pub message_millis: f64,
}
