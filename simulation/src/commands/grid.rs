//! Rebalancing off against on, over a grid of conditions.

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

/// Rebalancing off against on, over all cells of rate, store, scenario and groups, as a table.
#[derive(FromArgs)]
#[argh(subcommand, name = "grid")]
pub(crate) struct GridArgs {
    /// pairs for each cell (default: 20)
    #[argh(option, default = "20")]
    seeds: u64,
    /// first seed (default: 0)
    #[argh(option, default = "0", long = "from")]
    first_seed: u64,
}

/// Conditions under which all rates are compared.
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

/// Prints the grid. Returns whether rebalancing did no harm and violated no invariant.
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
    let mut sound = true;
    for (GridJob { deployment, scenario, store }, of_rates) in jobs.iter().zip(&comparisons) {
        let max_group = deployment.group_size.max;
        for (rate, comparison) in GRID_RATES.iter().zip(of_rates) {
            let name = format!("{scenario:?}, {store:?}, groups to {max_group}, at most {rate}");
            print_row(&name, comparison);
            sound &= comparison.harmless() && comparison.violations.is_empty();
        }
    }
    let upper_ends = comparisons.iter().flatten().map(|cell| cell.gain + cell.half_interval);
    let worst = upper_ends.fold(f64::INFINITY, f64::min);
    println!("\nworst upper end of a gain: {worst:+.4}; {}", if sound { "sound" } else { "NOT SOUND" });
    sound
}
