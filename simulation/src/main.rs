//! Command line of the simulation.

mod commands;

use std::process::ExitCode;

use argh::FromArgs;
use commands::{CostArgs, DayArgs, FaultsArgs, GridArgs, SettleArgs};

/// Simulates days of a deployment of the connection balancer.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Grid(GridArgs),
    Faults(FaultsArgs),
    Day(DayArgs),
    Cost(CostArgs),
    Settle(SettleArgs),
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let passed = match args.command {
        Command::Grid(args) => commands::run_grid(&args),
        Command::Faults(args) => commands::run_faults(&args),
        Command::Day(args) => commands::run_day(&args),
        Command::Cost(args) => commands::run_cost(&args),
        Command::Settle(args) => commands::run_settle(&args),
    };
    if passed {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
