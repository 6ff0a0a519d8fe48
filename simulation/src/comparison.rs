//! Days in pairs: the same clients and faults with rebalancing off and on.

use statrs::distribution::{ContinuousCDF, StudentsT};

use crate::day::{play, DayResult};
use crate::deployment::{Deployment, GroupSize};
use crate::scenario::Scenario;
use crate::session_store::StoreCondition;

/// The grid's limits on migrations a second, for each balancer.
pub const GRID_RATES: [f64; 5] = [0.1, 1.0, 5.0, 20.0, f64::INFINITY];
/// The grid's conditions of the session store.
pub const GRID_STORES: [StoreCondition; 3] =
    [StoreCondition::Normal, StoreCondition::Slow, StoreCondition::SlowMidway];
/// The grid's scenarios.
pub const GRID_SCENARIOS: [Scenario; 5] = [
    Scenario::None,
    Scenario::ServerRestart,
    Scenario::RestartWave,
    Scenario::BalancerRestart,
    Scenario::SlowServer,
];
/// The grid's group sizes.
pub const GRID_GROUP_SIZES: [GroupSize; 2] = [GroupSize::SINGLE, GroupSize { min: 5, max: 60 }];

/// Two-sided confidence of the interval around a gain, as the quantile of its upper end.
const UPPER_QUANTILE: f64 = 0.975;
/// The quantile of Student's distribution that is assumed if it cannot be computed.
const FALLBACK_QUANTILE: f64 = 2.0;
/// The least connection-minutes that are divided by: avoids a division by zero.
const MIN_CONNECTION_MINUTES: f64 = 1e-9;

/// The grid's deployment: servers that can take its largest group, at a load at which imbalance has an effect.
pub fn grid_deployment(group_size: GroupSize) -> Deployment {
    let server_capacity = if group_size.has_groups() { 120.0 } else { 30.0 };
    // Split groups add to the demand of the clients.
    let demand_share = if group_size.has_groups() { 0.6 } else { 0.8 };
    Deployment { group_size, server_capacity, demand_share, ..Deployment::default() }
}

/// What rebalancing did to the served value of a day, over pairs of days.
#[derive(Clone, Debug)]
pub struct Comparison {
    /// Mean served value with rebalancing off.
    pub off: f64,
    /// Mean gain in served value.
    pub gain: f64,
    /// Half of the 95% interval around the gain.
    pub half_interval: f64,
    /// Migrations for balance a day.
    pub migrations_per_day: f64,
    /// Migrations for balance a connection-minute.
    pub migrations_per_minute: f64,
    /// Invariants violated, on either side.
    pub violations: Vec<String>,
}

impl Comparison {
    /// Compares days that were played in pairs.
    pub fn new(off: &[DayResult], on: &[DayResult]) -> Comparison {
        let pairs = off.len().min(on.len()).max(1) as f64;
        let gains: Vec<f64> =
            off.iter().zip(on).map(|(off, on)| on.served_value - off.served_value).collect();
        let gain = gains.iter().sum::<f64>() / pairs;
        let migrations: u64 = on.iter().map(|day| day.migrations_for_balance).sum();
        let minutes: f64 = on.iter().map(|day| day.connection_minutes).sum();
        Comparison {
            off: off.iter().map(|day| day.served_value).sum::<f64>() / pairs,
            gain,
            half_interval: half_interval(&gains, gain, pairs),
            migrations_per_day: migrations as f64 / pairs,
            migrations_per_minute: migrations as f64 / minutes.max(MIN_CONNECTION_MINUTES),
            violations: off.iter().chain(on).flat_map(|day| day.violations.clone()).collect(),
        }
    }

    /// Whether rebalancing did no harm that the pairs' noise does not explain.
    pub fn harmless(&self) -> bool {
        self.gain >= -self.half_interval
    }
}

fn half_interval(gains: &[f64], mean: f64, pairs: f64) -> f64 {
    let degrees = (pairs - 1.0).max(1.0);
    let variance = gains.iter().map(|gain| (gain - mean).powi(2)).sum::<f64>() / degrees;
    let distribution = StudentsT::new(0.0, 1.0, degrees);
    let quantile = distribution.map_or(FALLBACK_QUANTILE, |t| t.inverse_cdf(UPPER_QUANTILE));
    quantile * (variance / pairs).sqrt()
}

/// Plays days of these seeds.
pub fn play_days(
    deployment: &Deployment,
    scenario: Scenario,
    store: StoreCondition,
    seeds: std::ops::Range<u64>,
) -> Vec<DayResult> {
    seeds.map(|seed| play(deployment, scenario, store, seed)).collect()
}

/// The same deployment with rebalancing on, with a limit on the migrations of each balancer.
pub fn with_rebalancing(deployment: &Deployment, max_migrations_per_second: f64) -> Deployment {
    let mut deployment = deployment.clone();
    deployment.rebalance.enabled = true;
    deployment.rebalance.max_migrations_per_second = max_migrations_per_second;
    deployment
}
