//! The command line.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;

use super::config;
use crate::transport;

/// A connection balancer for the shop platform and IRC.
#[derive(FromArgs)]
struct Line {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Serve(Serve),
    Check(Check),
    Version(Version),
}

/// Run the balancer in the foreground until SIGTERM.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct Serve {
    /// configuration file (default: $NODE_CONFIG)
    #[argh(option)]
    config: Option<PathBuf>,
}

/// Read and check the configuration, and say what is wrong with it.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// configuration file (default: $NODE_CONFIG)
    #[argh(option)]
    config: Option<PathBuf>,
}

/// Print the version.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

fn path(given: Option<PathBuf>) -> Result<PathBuf, String> {
    let from_env = || std::env::var_os("NODE_CONFIG").map(PathBuf::from);
    given
        .or_else(from_env)
        .ok_or_else(|| "no configuration: give --config FILE or set NODE_CONFIG".to_owned())
}

fn carry_out(command: Command) -> Result<(), String> {
    match command {
        Command::Serve(serve) => transport::serve(config::read(&path(serve.config)?)?),
        Command::Check(check) => {
            let config = config::read(&path(check.config)?)?;
            println!("{}: sound; listens on {}", config.name, config.listen);
            Ok(())
        }
        Command::Version(_) => {
            println!("sagemount {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    }
}

/// Runs the program.
pub fn run() -> ExitCode {
    let line: Line = argh::from_env();
    match carry_out(line.command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            crate::log!(error, "{problem}");
            ExitCode::FAILURE
        }
    }
}
