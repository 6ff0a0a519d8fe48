//! The daemon. See `sagemount help`.
#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    sagemount::program::commands::run()
}
