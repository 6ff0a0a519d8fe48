//! The deployment that a day is played on: sizes, speeds and delays.

use connection_balancer::rebalance::RebalanceConfig;

/// The simulation's virtual time in microseconds: a moment since the start of the day, or a length of time.
pub type VirtualTime = u64;

/// Microseconds in a second.
pub const SECOND: VirtualTime = 1_000_000;

/// Servers, balancers, clients and what is between them.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Number of servers.
    pub servers: usize,
    /// Capacity of a warm server, in mean connections.
    pub server_capacity: f64,
    /// Mean demand of the clients, as a share of all capacity.
    pub demand_share: f64,
    /// Number of balancers.
    pub balancers: usize,
    /// How long clients want their connections.
    pub lifetime: Lifetime,
    /// How many connections a client's group has.
    pub group_size: GroupSize,
    /// Rate of the session store, as a multiple of the mean rate of new connections.
    pub store_rate_factor: f64,
    /// The longest delay after which a change of the endpoint list reaches a balancer; the shortest is half of it.
    pub list_delay: VirtualTime,
    /// Probability that a client reconnects after a migration.
    pub return_probability: f64,
    /// Whether servers report how long messages take.
    pub reports_message_time: bool,
    /// How established connections are migrated for balance.
    pub rebalance: RebalanceConfig,
    /// Length of the day in seconds.
    pub seconds: u64,
}

/// A log-normal distribution of connection lifetimes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Lifetime {
    /// The mean, in seconds.
    pub mean_seconds: f64,
    /// Standard deviation of the logarithm.
    pub log_deviation: f64,
}

/// A uniform distribution of group sizes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupSize {
    /// The least number of connections.
    pub min: usize,
    /// The largest number of connections.
    pub max: usize,
}

impl GroupSize {
    /// Every client is alone.
    pub const SINGLE: GroupSize = GroupSize { min: 1, max: 1 };

    /// The mean number of connections.
    pub fn mean(self) -> f64 {
        (self.min + self.max) as f64 / 2.0
    }

    /// Whether there are groups of several connections.
    pub fn has_groups(self) -> bool {
        self.max > 1
    }
}

impl Default for Deployment {
    /// About the size of the shop: 10 servers, 3 balancers, 300 connections that last 40 s.
    fn default() -> Deployment {
        Deployment {
            servers: 10,
            server_capacity: 30.0,
            demand_share: 0.72,
            balancers: 3,
            lifetime: Lifetime { mean_seconds: 40.0, log_deviation: 1.0 },
            group_size: GroupSize::SINGLE,
            store_rate_factor: 6.0,
            list_delay: 1_500_000,
            return_probability: 1.0,
            reports_message_time: true,
            rebalance: RebalanceConfig::default(),
            seconds: 80,
        }
    }
}
