//! Runs the commands of the command line and prints their results.

use std::path::PathBuf;
use std::process::ExitCode;

use thiserror::Error;

use super::command_line::{
    Check, Command, CommandLine, Exclude, Include, Readyz, Replay, Serve, Set, Telemetry,
};
use super::config::{self, ConfigError, ReplicatedEntryError, Sources};
use crate::protocol::admin;
use crate::routing::AdminCall;
use crate::transport;

/// Environment variable with the address of the admin endpoint, used where no option or file gives one.
const ADMIN_ADDRESS_VARIABLE: &str = "NODE_MGMT";
/// Environment variable with the path of the platform's configuration, used without the option --config.
const CONFIG_PATH_VARIABLE: &str = "NODE_CONFIG";
/// Number of bits by which megabytes are shifted left to convert them to bytes.
const MEGABYTE_SHIFT: u32 = 20;

/// The reason why a command failed.
#[derive(Debug, Error)]
enum CommandError {
    #[error("no address of an admin endpoint: give --mgmt ADDRESS or set NODE_MGMT")]
    NoAdminAddress,
    #[error("{call}: the balancer answered {answer:?}")]
    AdminCallFailed { call: String, answer: String },
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error(transparent)]
    ReplicatedEntry(#[from] ReplicatedEntryError),
    #[error(transparent)]
    Transport(#[from] transport::TransportError),
    #[error(transparent)]
    Client(#[from] transport::ClientError),
    #[error(transparent)]
    Replay(#[from] transport::ReplayError),
}

fn admin_address_from_environment() -> Option<String> {
    std::env::var(ADMIN_ADDRESS_VARIABLE).ok().filter(|text| !text.is_empty())
}

/// Sends a call to the admin endpoint of a balancer and prints the answer.
fn make_admin_call(admin_address: Option<String>, call: &AdminCall) -> Result<(), CommandError> {
    let call = admin::encode_call(call);
    let address =
        admin_address.or_else(admin_address_from_environment).ok_or(CommandError::NoAdminAddress)?;
    let answer = transport::call_admin_endpoint(&address, &call)?;
    print!("{}", answer.replace('\r', ""));
    if admin::is_failure(&answer) {
        return Err(CommandError::AdminCallFailed { call, answer: answer.trim_end().to_owned() });
    }
    Ok(())
}

fn sources(config: Option<PathBuf>, irc: Option<PathBuf>, rebalance: Option<PathBuf>) -> Sources {
    let platform = config.or_else(|| std::env::var_os(CONFIG_PATH_VARIABLE).map(PathBuf::from));
    Sources { platform, operator: irc, rebalance, admin_address: admin_address_from_environment() }
}

fn serve(options: Serve) -> Result<(), CommandError> {
    let max_bytes = options.record_mb << MEGABYTE_SHIFT;
    let record = options.record.map(|path| transport::RecordingConfig { path, max_bytes });
    let sources = sources(options.config, options.irc, options.rebalance);
    Ok(transport::serve(sources, record)?)
}

fn check(options: Check) -> Result<(), CommandError> {
    let config = sources(options.config, options.irc, options.rebalance).read()?;
    if let Some(platform) = config.platform {
        let servers = platform.cached_endpoints.endpoints.len();
        println!("platform: sound; {} on {}, {servers} hosts known", platform.name, platform.listen);
    }
    if let Some(irc) = config.irc {
        println!("irc: sound; {} on {}, {} hosts", irc.protocol.name, irc.listen, irc.endpoints.len());
    }
    Ok(())
}

fn replay(options: Replay) -> Result<(), CommandError> {
    let config = match options.front {
        transport::FrontKind::Platform => config::read_config(Some(&options.config), None, None)?,
        transport::FrontKind::Irc => config::read_config(None, Some(&options.config), None)?,
    };
    Ok(transport::replay(&options.file, config, options.front, options.port)?)
}

fn write_replicated_entry(options: Set) -> Result<(), CommandError> {
    config::check_replicated_entry(&options.key, options.value.as_deref())?;
    let entry = transport::write_store_entry(options.store, &options.key, options.value)?;
    let value = entry.value.as_deref().unwrap_or("nothing");
    println!("{} is {value}; written at node {} as {}", options.key, entry.node, entry.counter);
    Ok(())
}

fn run_command(command: Command) -> Result<(), CommandError> {
    match command {
        Command::Serve(options) => serve(options),
        Command::Check(options) => check(options),
        Command::Replay(options) => replay(options),
        Command::Exclude(Exclude { server, mgmt }) => make_admin_call(mgmt, &AdminCall::Exclude(server)),
        Command::Include(Include { server, mgmt }) => make_admin_call(mgmt, &AdminCall::Readmit(server)),
        Command::Readyz(Readyz { mgmt }) => make_admin_call(mgmt, &AdminCall::Readiness),
        Command::Telemetry(Telemetry { mgmt }) => make_admin_call(mgmt, &AdminCall::Metrics),
        Command::Set(options) => write_replicated_entry(options),
        Command::Version(_) => {
            println!("connection-balancer {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    }
}

/// Parses the command line and runs its command. If the command fails, logs the error and returns a failure
/// exit code.
pub fn run() -> ExitCode {
    let command_line: CommandLine = argh::from_env();
    match run_command(command_line.command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            // The log is started only after the configuration has been read. The error may have occurred
            // before.
            super::log::start(&super::log::LogConfig::default());
            crate::log!(error, "{error}");
            ExitCode::FAILURE
        }
    }
}
