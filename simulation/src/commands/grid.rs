//! Compares rebalancing off and on over a grid of conditions.

use argh::FromArgs;
use simulation::comparison::{
    grid_deployment, play_days, with_rebalancing, Comparison, GRID_GROUP_SIZES, GRID_RATES, GRID_SCENARIOS,
    GRID_STORES,
};
use simulation::deployment::Deployment;
use simulation::scenario::Scenario;
use simulation::session_store::StoreCondition;

use super::parallel::map_parallel;
use super::table::{print_header, print_row};

/// compare rebalancing off and on for all combinations of rate limit, session store, scenario and group size
#[derive(FromArgs)]
#[argh(subcommand, name = "grid")]
pub(crate) struct GridArgs {
    /// pairs of days for each row (default: 20)
    #[argh(option, default = "20")]
    seeds: u64,
    /// first seed (default: 0)
    #[argh(option, default = "0", long = "from")]
    first_seed: u64,
}

/// Conditions under which all rate limits are compared.
struct GridJob {
    deployment: Deployment,
    scenario: Scenario,
    store: StoreCondition,
}

fn grid_jobs() -> Vec<GridJob> {
    let mut jobs = Vec::new();
    for group_size in GRID_GROUP_SIZES {
        for scenario in GRID_SCENARIOS {
            for store in GRID_STORES {
                jobs.push(GridJob { deployment: grid_deployment(group_size), scenario, store });
            }
        }
    }
    jobs
}

/// Prints the grid. Returns whether rebalancing did no significant harm and no invariant was violated.
pub(crate) fn run_grid(args: &GridArgs) -> bool {
    let seeds = args.first_seed..args.first_seed + args.seeds;
    let jobs = grid_jobs();
    let comparisons = map_parallel(&jobs, |GridJob { deployment, scenario, store }| {
        let off = play_days(deployment, *scenario, *store, seeds.clone());
        GRID_RATES.map(|rate| {
            let on = play_days(&with_rebalancing(deployment, rate), *scenario, *store, seeds.clone());
            Comparison::new(&off, &on)
        })
    });
    print_header();
    let mut passed = true;
    for (GridJob { deployment, scenario, store }, rate_comparisons) in jobs.iter().zip(&comparisons) {
        let max_group = deployment.group_size.max;
        for (rate, comparison) in GRID_RATES.iter().zip(rate_comparisons) {
            let name =
                format!("{scenario:?}, {store:?}, groups of up to {max_group}, at most {rate} migrations/s");
            print_row(&name, comparison);
            passed &= comparison.is_harmless() && comparison.violations.is_empty();
        }
    }
    let upper_ends = comparisons.iter().flatten().map(|cell| cell.gain + cell.half_interval);
    let lowest_upper_end = upper_ends.fold(f64::INFINITY, f64::min);
    println!(
        "\nlowest upper end of a gain's 95% interval: {lowest_upper_end:+.4}; {}",
        if passed { "sound" } else { "NOT SOUND" }
    );
    passed
}
