//! How soon load is even again after servers restarted.

use argh::FromArgs;
use simulation::comparison::{grid_deployment, play_days, with_rebalancing};
use simulation::day::{DayResult, ServerSample};
use simulation::deployment::{Deployment, GroupSize};
use simulation::scenario::Scenario;
use simulation::session_store::StoreCondition;

use super::parallel::map_parallel;

/// Seconds of the day before the first fault, over which the usual spread is averaged.
const USUAL_SECONDS: std::ops::Range<usize> = 10..19;
/// Seconds in a row for which a condition has to hold.
const HOLDING_SECONDS: usize = 3;
/// The emptiest server counts as filled from this share of the mean on.
const FILLED_SHARE: f64 = 0.5;

/// Seconds from the last return of a server until load is even again, off and on.
#[derive(FromArgs)]
#[argh(subcommand, name = "settle")]
pub(crate) struct SettleArgs {
    /// pairs for each scenario (default: 60)
    #[argh(option, default = "60")]
    seeds: u64,
    /// most migrations a second (default: 2)
    #[argh(option, default = "2.0", long = "most")]
    max_migrations_per_second: f64,
}

/// A scenario and the second in which its last server is back.
struct SettleJob {
    scenario: Scenario,
    restarted_second: usize,
}

const SETTLE_JOBS: [SettleJob; 3] = [
    SettleJob { scenario: Scenario::ServerRestart, restarted_second: 24 },
    SettleJob { scenario: Scenario::TwoServers, restarted_second: 24 },
    SettleJob { scenario: Scenario::RestartWave, restarted_second: 45 },
];

/// Seconds, or their mean over days.
#[derive(Clone, Copy)]
struct SettleTimes {
    /// Until the spread is as usual.
    even: f64,
    /// Until the emptiest server is filled.
    filled: f64,
}

/// Prints the table.
pub(crate) fn run_settle(args: &SettleArgs) -> bool {
    println!("| scenario | worst over mean as before, off | on | lightest at half the mean, off | on |");
    println!("| --- | --- | --- | --- | --- |");
    for job in SETTLE_JOBS {
        let off = grid_deployment(GroupSize::SINGLE);
        let on = with_rebalancing(&off, args.max_migrations_per_second);
        let deployments = [off, on];
        let times = map_parallel(&deployments, |deployment| mean_settle_times(deployment, &job, args.seeds));
        let [off, on] = times[..] else { return false };
        println!(
            "| {:?} | {:.1} s | {:.1} s | {:.1} s | {:.1} s |",
            job.scenario, off.even, on.even, off.filled, on.filled
        );
    }
    true
}

fn mean_settle_times(deployment: &Deployment, job: &SettleJob, seeds: u64) -> SettleTimes {
    let mut sum = SettleTimes { even: 0.0, filled: 0.0 };
    for day in play_days(deployment, job.scenario, StoreCondition::Normal, 0..seeds) {
        let times = settle_times(&day, job.restarted_second);
        sum.even += times.even;
        sum.filled += times.filled;
    }
    SettleTimes { even: sum.even / seeds as f64, filled: sum.filled / seeds as f64 }
}

fn settle_times(day: &DayResult, restarted_second: usize) -> SettleTimes {
    // The spread that random placement gave before anything happened.
    let usual_spread = day.spread[USUAL_SECONDS].iter().sum::<f64>() / USUAL_SECONDS.len() as f64;
    let is_even = |second: usize| day.spread[second] <= usual_spread;
    let is_filled = |second: usize| emptiest_share(&day.servers[second]) >= FILLED_SHARE;
    SettleTimes {
        even: seconds_until(restarted_second, day.spread.len(), is_even),
        filled: seconds_until(restarted_second, day.servers.len(), is_filled),
    }
}

/// Connections of the emptiest server, over the mean.
fn emptiest_share(servers: &[ServerSample]) -> f64 {
    let connections = servers.iter().map(|server| server.connections as f64);
    let mean = connections.clone().sum::<f64>() / servers.len() as f64;
    connections.fold(f64::INFINITY, f64::min) / mean.max(1.0)
}

/// Seconds from this one until the condition holds, or until the end of the day.
fn seconds_until(from: usize, seconds: usize, holds: impl Fn(usize) -> bool) -> f64 {
    let mut candidates = from..seconds - (HOLDING_SECONDS - 1);
    let found = candidates.find(|&second| (second..second + HOLDING_SECONDS).all(&holds));
    (found.unwrap_or(seconds) - from) as f64
}
