//! The daemon. See `connection-balancer help`.
#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    connection_balancer::program::commands::run()
}
