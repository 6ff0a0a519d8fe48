//! The result of a day.

use connection_balancer::rebalance::HoldReason;

/// Totals of a day, and samples of each second.
#[derive(Clone, Debug, Default)]
pub struct DayResult {
    /// Served value divided by requested value, minus the cost of migrations. The requested value of a second
    /// is the priority weight of the client's class. The served value is that weight times the share of
    /// messages within the objective while the connection is established.
    pub served_value: f64,
    /// Number of migrations for any reason.
    pub migrations: u64,
    /// Number of migrations by rebalancing.
    pub migrations_for_balance: u64,
    /// Number of requests that were rejected or failed, including those whose clients stopped waiting.
    pub rejected: u64,
    /// Total time for which connections were established, in minutes.
    pub connection_minutes: f64,
    /// Served share of the requested value, each second.
    pub quality: Vec<f64>,
    /// Number of connections of the fullest server over the mean of running servers, each second.
    pub spread: Vec<f64>,
    /// Samples of all servers, each second.
    pub servers: Vec<Vec<ServerSample>>,
    /// Rate limit of the first balancer's rebalancing in migrations per second, each second.
    pub rates: Vec<f64>,
    /// Reason why rebalancing is on hold at the first balancer, each second; `None` while it is not on hold.
    pub hold_reasons: Vec<Option<HoldReason>>,
    /// Mean number of servers over which a group of three or more established connections is spread.
    pub servers_per_group: f64,
    /// Descriptions of violated invariants.
    pub violations: Vec<String>,
}

/// Sample of a server at one point in time.
#[derive(Clone, Copy, Debug)]
pub struct ServerSample {
    /// Number of connections that are established or being set up.
    pub connections: usize,
    /// Mean message time in milliseconds.
    pub message_millis: f64,
}
