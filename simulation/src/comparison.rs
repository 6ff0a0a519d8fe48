//! Comparison of pairs of days with the same clients and faults, one with rebalancing off and one with it on.

use statrs::distribution::{ContinuousCDF, StudentsT};

use crate::day::{play, DayResult};
use crate::deployment::{Deployment, GroupSize};
use crate::scenario::Scenario;
use crate::session_store::StoreCondition;

/// Rate limits of the grid, in migrations per second of each balancer.
pub const GRID_RATES: [f64; 5] = [0.1, 1.0, 5.0, 20.0, f64::INFINITY];
/// Conditions of the session store in the grid.
pub const GRID_STORES: [StoreCondition; 3] =
    [StoreCondition::Normal, StoreCondition::Slow, StoreCondition::SlowMidway];
/// Scenarios of the grid.
pub const GRID_SCENARIOS: [Scenario; 5] = [
    Scenario::None,
    Scenario::ServerRestart,
    Scenario::RestartWave,
    Scenario::BalancerRestart,
    Scenario::SlowServer,
];
/// Group sizes of the grid.
pub const GRID_GROUP_SIZES: [GroupSize; 2] = [GroupSize::SINGLE, GroupSize { min: 5, max: 60 }];

/// Quantile at the upper end of the two-sided 95% interval around a gain.
const UPPER_QUANTILE: f64 = 0.975;
/// Quantile of Student's t-distribution that is used if it cannot be computed.
const FALLBACK_QUANTILE: f64 = 2.0;
/// Lower bound of a divisor in connection-minutes, which avoids a division by zero.
const MIN_CONNECTION_MINUTES: f64 = 1e-9;

/// Returns the deployment of the grid. Its servers have the capacity for the largest group, and its demand is
/// high enough for imbalance to have an effect.
pub fn grid_deployment(group_size: GroupSize) -> Deployment {
    let server_capacity = if group_size.has_groups() { 120.0 } else { 30.0 };
    // Groups that are spread over several servers add load to the demand of the clients.
    let demand_share = if group_size.has_groups() { 0.6 } else { 0.8 };
    Deployment { group_size, server_capacity, demand_share, ..Deployment::default() }
}

/// Effect of rebalancing on the served value, over pairs of days.
#[derive(Clone, Debug)]
pub struct Comparison {
    /// Mean served value with rebalancing off.
    pub served_value_off: f64,
    /// Mean gain in served value by rebalancing.
    pub gain: f64,
    /// Half the width of the 95% interval around the gain.
    pub half_interval: f64,
    /// Migrations by rebalancing per day.
    pub migrations_per_day: f64,
    /// Migrations by rebalancing per connection-minute.
    pub migrations_per_minute: f64,
    /// Descriptions of violated invariants, with rebalancing off or on.
    pub violations: Vec<String>,
}

impl Comparison {
    /// Compares pairs of days; entries with the same index form a pair.
    pub fn new(off: &[DayResult], on: &[DayResult]) -> Comparison {
        let pairs = off.len().min(on.len()).max(1) as f64;
        let gains: Vec<f64> =
            off.iter().zip(on).map(|(off, on)| on.served_value - off.served_value).collect();
        let gain = gains.iter().sum::<f64>() / pairs;
        let migrations: u64 = on.iter().map(|day| day.migrations_for_balance).sum();
        let minutes: f64 = on.iter().map(|day| day.connection_minutes).sum();
        Comparison {
            served_value_off: off.iter().map(|day| day.served_value).sum::<f64>() / pairs,
            gain,
            half_interval: half_interval(&gains, gain, pairs),
            migrations_per_day: migrations as f64 / pairs,
            migrations_per_minute: migrations as f64 / minutes.max(MIN_CONNECTION_MINUTES),
            violations: off.iter().chain(on).flat_map(|day| day.violations.clone()).collect(),
        }
    }

    /// Returns whether rebalancing did no significant harm: the 95% interval of the gain reaches 0 or above.
    pub fn is_harmless(&self) -> bool {
        self.gain >= -self.half_interval
    }
}

/// Returns half the width of the 95% interval around the mean of paired gains.
fn half_interval(gains: &[f64], mean: f64, pairs: f64) -> f64 {
    let degrees_of_freedom = (pairs - 1.0).max(1.0);
    let variance = gains.iter().map(|gain| (gain - mean).powi(2)).sum::<f64>() / degrees_of_freedom;
    let distribution = StudentsT::new(0.0, 1.0, degrees_of_freedom);
    let quantile = distribution.map_or(FALLBACK_QUANTILE, |t| t.inverse_cdf(UPPER_QUANTILE));
    quantile * (variance / pairs).sqrt()
}

/// Simulates one day for each seed.
pub fn play_days(
    deployment: &Deployment,
    scenario: Scenario,
    store: StoreCondition,
    seeds: std::ops::Range<u64>,
) -> Vec<DayResult> {
    seeds.map(|seed| play(deployment, scenario, store, seed)).collect()
}

/// Returns the deployment with rebalancing enabled and a rate limit for each balancer.
pub fn with_rebalancing(deployment: &Deployment, max_migrations_per_second: f64) -> Deployment {
    let mut deployment = deployment.clone();
    deployment.rebalance.enabled = true;
    deployment.rebalance.max_migrations_per_second = max_migrations_per_second;
    deployment
}
