//! Measures the time from the restart of servers until load is even again.

use argh::FromArgs;
use simulation::comparison::{grid_deployment, play_days, with_rebalancing};
use simulation::day::{DayResult, ServerSample};
use simulation::deployment::{Deployment, GroupSize};
use simulation::scenario::Scenario;
use simulation::session_store::StoreCondition;

use super::parallel::map_parallel;

/// Seconds of the day, before the first fault, over which the usual spread is averaged.
const USUAL_SECONDS: std::ops::Range<usize> = 10..19;
/// Number of consecutive seconds for which a condition has to hold.
const HOLDING_SECONDS: usize = 3;
/// Connections of the emptiest server, as a share of the mean, from which it counts as filled.
const FILLED_SHARE: f64 = 0.5;

/// measure the seconds from the last restart of a server until load is even, rebalancing off and on
#[derive(FromArgs)]
#[argh(subcommand, name = "settle")]
pub(crate) struct SettleArgs {
    /// pairs of days for each scenario (default: 60)
    #[argh(option, default = "60")]
    seeds: u64,
    /// limit on migrations per second of each balancer (default: 2)
    #[argh(option, default = "2.0", long = "most")]
    max_migrations_per_second: f64,
}

/// A scenario and the second of the day in which its last server restarts.
struct SettleJob {
    scenario: Scenario,
    restarted_second: usize,
}

const SETTLE_JOBS: [SettleJob; 3] = [
    SettleJob { scenario: Scenario::ServerRestart, restarted_second: 24 },
    SettleJob { scenario: Scenario::TwoServers, restarted_second: 24 },
    SettleJob { scenario: Scenario::RestartWave, restarted_second: 45 },
];

/// Durations from the last restart in seconds, of one day or as the mean of several days.
#[derive(Clone, Copy)]
struct SettleTimes {
    /// Until the spread is at most the usual spread.
    until_even: f64,
    /// Until the emptiest server is filled.
    until_filled: f64,
}

/// Prints the table. Returns true, because the table has no checks.
pub(crate) fn run_settle(args: &SettleArgs) -> bool {
    println!(
        "| scenario | until usual spread, off | on | until emptiest server at half the mean, off | on |"
    );
    println!("| --- | --- | --- | --- | --- |");
    for job in SETTLE_JOBS {
        let off = grid_deployment(GroupSize::SINGLE);
        let on = with_rebalancing(&off, args.max_migrations_per_second);
        let deployments = [off, on];
        let times = map_parallel(&deployments, |deployment| mean_settle_times(deployment, &job, args.seeds));
        let [off, on] = times[..] else { return false };
        println!(
            "| {:?} | {:.1} s | {:.1} s | {:.1} s | {:.1} s |",
            job.scenario, off.until_even, on.until_even, off.until_filled, on.until_filled
        );
    }
    true
}

fn mean_settle_times(deployment: &Deployment, job: &SettleJob, seeds: u64) -> SettleTimes {
    let mut sum = SettleTimes { until_even: 0.0, until_filled: 0.0 };
    for day in play_days(deployment, job.scenario, StoreCondition::Normal, 0..seeds) {
        let times = settle_times(&day, job.restarted_second);
        sum.until_even += times.until_even;
        sum.until_filled += times.until_filled;
    }
    SettleTimes { until_even: sum.until_even / seeds as f64, until_filled: sum.until_filled / seeds as f64 }
}

fn settle_times(day: &DayResult, restarted_second: usize) -> SettleTimes {
    // The spread from random placement, before the first fault.
    let usual_spread = day.spread[USUAL_SECONDS].iter().sum::<f64>() / USUAL_SECONDS.len() as f64;
    let is_even = |second: usize| day.spread[second] <= usual_spread;
    let is_filled = |second: usize| emptiest_share(&day.servers[second]) >= FILLED_SHARE;
    SettleTimes {
        until_even: seconds_until(restarted_second, day.spread.len(), is_even),
        until_filled: seconds_until(restarted_second, day.servers.len(), is_filled),
    }
}

/// Returns the connections of the emptiest server, as a share of the mean.
fn emptiest_share(servers: &[ServerSample]) -> f64 {
    let connections = servers.iter().map(|server| server.connections as f64);
    let mean = connections.clone().sum::<f64>() / servers.len() as f64;
    connections.fold(f64::INFINITY, f64::min) / mean.max(1.0)
}

/// Returns the seconds after `from` until the condition holds for [`HOLDING_SECONDS`], or until the end of
/// the day. `seconds` is the length of the day.
fn seconds_until(from: usize, seconds: usize, holds: impl Fn(usize) -> bool) -> f64 {
    let mut candidates = from..seconds - (HOLDING_SECONDS - 1);
    let found = candidates.find(|&second| (second..second + HOLDING_SECONDS).all(&holds));
    (found.unwrap_or(seconds) - from) as f64
}
