//! Compares rebalancing off and on for every scenario.

use argh::FromArgs;
use simulation::comparison::{grid_deployment, play_days, with_rebalancing, Comparison, GRID_GROUP_SIZES};
use simulation::deployment::{Deployment, Lifetime};
use simulation::scenario::{Scenario, ALL_SCENARIOS};
use simulation::session_store::StoreCondition;

use super::parallel::map_parallel;
use super::table::{print_header, print_row};

/// compare rebalancing off and on for every scenario of faults
#[derive(FromArgs)]
#[argh(subcommand, name = "troubles")]
pub(crate) struct FaultsArgs {
    /// pairs of days for each row (default: 20)
    #[argh(option, default = "20")]
    seeds: u64,
    /// limit on migrations per second of each balancer (default: 2)
    #[argh(option, default = "2.0", long = "most")]
    max_migrations_per_second: f64,
    /// mean lifetime of a connection in seconds (default: 40)
    #[argh(option, default = "40.0", long = "life")]
    mean_lifetime_seconds: f64,
    /// servers do not report message times
    #[argh(switch)]
    silent: bool,
    /// mean demand of the clients, as a share of capacity (default: 0.72)
    #[argh(option, default = "0.72", long = "used")]
    demand_share: f64,
}

struct FaultsJob {
    deployment: Deployment,
    scenario: Scenario,
}

fn faults_jobs(args: &FaultsArgs) -> Vec<FaultsJob> {
    let mut jobs = Vec::new();
    for group_size in GRID_GROUP_SIZES {
        for scenario in ALL_SCENARIOS {
            let deployment = Deployment {
                reports_message_time: !args.silent,
                demand_share: args.demand_share,
                lifetime: Lifetime { mean_seconds: args.mean_lifetime_seconds, log_deviation: 1.0 },
                ..grid_deployment(group_size)
            };
            jobs.push(FaultsJob { deployment, scenario });
        }
    }
    jobs
}

/// Prints the table. Returns whether rebalancing did no significant harm and no invariant was violated.
pub(crate) fn run_faults(args: &FaultsArgs) -> bool {
    let jobs = faults_jobs(args);
    let comparisons = map_parallel(&jobs, |FaultsJob { deployment, scenario }| {
        let rebalancing = with_rebalancing(deployment, args.max_migrations_per_second);
        let off = play_days(deployment, *scenario, StoreCondition::Normal, 0..args.seeds);
        let on = play_days(&rebalancing, *scenario, StoreCondition::Normal, 0..args.seeds);
        Comparison::new(&off, &on)
    });
    print_header();
    for (FaultsJob { deployment, scenario }, comparison) in jobs.iter().zip(&comparisons) {
        print_row(&format!("{scenario:?}, groups of up to {}", deployment.group_size.max), comparison);
    }
    comparisons.iter().all(|comparison| comparison.is_harmless() && comparison.violations.is_empty())
}
