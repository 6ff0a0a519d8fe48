//! The deployment that a day simulates: sizes, rates and delays.

use connection_balancer::rebalance::RebalanceConfig;

/// Point in virtual time, in microseconds from the start of the day.
pub type VirtualTime = u64;

/// Duration in virtual time, in microseconds.
pub type VirtualDuration = u64;

/// Microseconds in a second.
pub const SECOND: VirtualDuration = 1_000_000;

/// Sizes and behaviour of servers, balancers, clients, session store and discovery.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Number of servers.
    pub servers: usize,
    /// Capacity of a warm server, in mean connections.
    pub server_capacity: f64,
    /// Mean load that the clients demand, as a share of the capacity of all servers.
    pub demand_share: f64,
    /// Number of balancers.
    pub balancers: usize,
    /// Distribution of the durations for which clients want their connections.
    pub lifetime: Lifetime,
    /// Distribution of the number of connections in a group.
    pub group_size: GroupSize,
    /// Rate of the session store while it is not slow, as a multiple of the day's mean arrival rate of
    /// clients.
    pub store_rate_factor: f64,
    /// Longest duration until a change of the endpoint list reaches a balancer. The shortest is half of it.
    pub list_delay: VirtualDuration,
    /// Probability that a client reconnects after a migration.
    pub return_probability: f64,
    /// Whether servers report their message times.
    pub reports_message_time: bool,
    /// Configuration of rebalancing.
    pub rebalance: RebalanceConfig,
    /// Length of the day in seconds.
    pub seconds: u64,
}

/// A log-normal distribution of connection lifetimes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Lifetime {
    /// Mean lifetime in seconds.
    pub mean_seconds: f64,
    /// Standard deviation of the logarithm of a lifetime.
    pub log_deviation: f64,
}

/// A uniform distribution of group sizes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupSize {
    /// Smallest number of connections in a group.
    pub min: usize,
    /// Largest number of connections in a group.
    pub max: usize,
}

impl GroupSize {
    /// Single clients without groups.
    pub const SINGLE: GroupSize = GroupSize { min: 1, max: 1 };

    /// Returns the mean number of connections in a group.
    pub fn mean(self) -> f64 {
        (self.min + self.max) as f64 / 2.0
    }

    /// Returns whether there are groups of several connections.
    pub fn has_groups(self) -> bool {
        self.max > 1
    }
}

impl Default for Deployment {
    /// Returns a deployment of about the shop's size: 10 servers with a capacity of 300 mean connections in
    /// all, 3 balancers, and connections with a mean lifetime of 40 s.
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
