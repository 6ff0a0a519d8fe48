//! Executable of the balancer. `connection-balancer help` lists its commands.
#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    connection_balancer::program::commands::run()
}
