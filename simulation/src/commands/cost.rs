//! The CPU time of rebalancing at a balancer without traffic.

use std::time::Instant;

use argh::FromArgs;
use simulation::idle_balancer::IdleBalancer;

/// Runs of each side, of which the fastest counts.
const ROUNDS: usize = 3;
/// The most that rebalancing may cost, in percent of a core.
const MAX_COST_PERCENT: f64 = 1.0;

/// CPU time of a reducer that only holds connections, with rebalancing off and on, in one run.
#[derive(FromArgs)]
#[argh(subcommand, name = "cost")]
pub(crate) struct CostArgs {
    /// established connections (default: 10000)
    #[argh(option, default = "10000", long = "standing")]
    connections: usize,
    /// seconds that pass (default: 60)
    #[argh(option, default = "60")]
    seconds: u64,
}

/// Prints the cost. Returns whether it is small.
pub(crate) fn run_cost(args: &CostArgs) -> bool {
    // The sides take turns, so that whatever else the machine does affects both.
    let (mut off, mut on) = (f64::INFINITY, f64::INFINITY);
    for _ in 0..ROUNDS {
        off = off.min(measure_percent(args, false));
        on = on.min(measure_percent(args, true));
    }
    println!("{} connections: {off:.4}% of a core off, {on:.4}% on, {:.4}% more", args.connections, on - off);
    on - off < MAX_COST_PERCENT
}

/// The share of a core that a balancer uses, in percent.
fn measure_percent(args: &CostArgs, rebalance: bool) -> f64 {
    let mut balancer = IdleBalancer::new(args.connections, rebalance);
    let since = Instant::now();
    balancer.run_seconds(args.seconds);
    since.elapsed().as_secs_f64() / args.seconds as f64 * 100.0
}
