//! Measures the CPU time of rebalancing at a balancer without traffic.

use std::time::Instant;

use argh::FromArgs;
use simulation::idle_balancer::IdleBalancer;

/// Number of measurements for rebalancing off and for rebalancing on, of which the fastest counts.
const ROUNDS: usize = 3;
/// Allowed CPU time of rebalancing, in percent of a core.
const MAX_COST_PERCENT: f64 = 1.0;

/// measure the CPU time of a reducer with established connections and no traffic, rebalancing off and on
#[derive(FromArgs)]
#[argh(subcommand, name = "cost")]
pub(crate) struct CostArgs {
    /// established connections (default: 10000)
    #[argh(option, default = "10000", long = "standing")]
    connections: usize,
    /// virtual seconds to simulate (default: 60)
    #[argh(option, default = "60")]
    seconds: u64,
}

/// Prints the CPU time. Returns whether the cost of rebalancing is below [`MAX_COST_PERCENT`].
pub(crate) fn run_cost(args: &CostArgs) -> bool {
    // Measurements with rebalancing off and on alternate, so that other load of the machine affects both.
    let (mut off, mut on) = (f64::INFINITY, f64::INFINITY);
    for _ in 0..ROUNDS {
        off = off.min(measure_percent(args, false));
        on = on.min(measure_percent(args, true));
    }
    println!(
        "{} connections: {off:.4}% of a core with rebalancing off, {on:.4}% with rebalancing on, {:.4}% more",
        args.connections,
        on - off
    );
    on - off < MAX_COST_PERCENT
}

/// Returns the CPU time of a balancer, in percent of a core.
fn measure_percent(args: &CostArgs, rebalance: bool) -> f64 {
    let mut balancer = IdleBalancer::new(args.connections, rebalance);
    let started = Instant::now();
    balancer.run_seconds(args.seconds);
    started.elapsed().as_secs_f64() / args.seconds as f64 * 100.0
}
