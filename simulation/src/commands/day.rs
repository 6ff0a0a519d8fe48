//! Simulates one day and prints it second by second.

use argh::FromArgs;
use simulation::comparison::with_rebalancing;
use simulation::day::{play, DayResult};
use simulation::deployment::Deployment;
use simulation::scenario::{Scenario, ALL_SCENARIOS};
use simulation::session_store::StoreCondition;

/// simulate one day and print it second by second
#[derive(FromArgs)]
#[argh(subcommand, name = "day")]
pub(crate) struct DayArgs {
    /// scenario, such as `ServerRestart`
    #[argh(positional)]
    scenario: String,
    /// seed (default: 0)
    #[argh(option, default = "0")]
    seed: u64,
    /// mean demand of the clients, as a share of capacity (default: 0.72)
    #[argh(option, default = "0.72", long = "used")]
    demand_share: f64,
    /// limit on migrations per second of each balancer; 0 turns rebalancing off (default: 2)
    #[argh(option, default = "2.0", long = "most")]
    max_migrations_per_second: f64,
}

fn find_scenario(name: &str) -> Option<Scenario> {
    ALL_SCENARIOS.into_iter().find(|scenario| format!("{scenario:?}").eq_ignore_ascii_case(name))
}

/// Simulates and prints a day. Returns whether no invariant was violated.
pub(crate) fn run_day(args: &DayArgs) -> bool {
    let Some(scenario) = find_scenario(&args.scenario) else {
        eprintln!("unknown scenario {}; expected one of {ALL_SCENARIOS:?}", args.scenario);
        return false;
    };
    let mut deployment = Deployment { demand_share: args.demand_share, ..Deployment::default() };
    if args.max_migrations_per_second > 0.0 {
        deployment = with_rebalancing(&deployment, args.max_migrations_per_second);
    }
    let result = play(&deployment, scenario, StoreCondition::Normal, args.seed);
    for second in 0..result.quality.len() {
        print_second(&result, second);
    }
    println!(
        "served value {:.4}, {} migrations, {} for balance",
        result.served_value, result.migrations, result.migrations_for_balance
    );
    println!("{} rejected, violations {:?}", result.rejected, result.violations);
    result.violations.is_empty()
}

fn print_second(result: &DayResult, second: usize) {
    let samples = result.servers[second].iter();
    let servers: Vec<String> =
        samples.map(|server| format!("{}/{:.0}", server.connections, server.message_millis)).collect();
    println!("{}", servers.join(" "));
    let hold_reason = result.hold_reasons[second].map_or(String::new(), |reason| reason.to_string());
    println!(
        "{second:3} s  served {:.3}  spread {:.2}  rate {:.2}  {hold_reason}",
        result.quality[second], result.spread[second], result.rates[second]
    );
}
