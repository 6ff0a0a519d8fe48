//! The command line.
// The comments on options are printed as help, where backticks would only disturb.
#![allow(clippy::doc_markdown)]

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use thiserror::Error;

use super::config::{self, ConfigError, ReplicatedEntryError, Sources};
use crate::transport;

/// Environment variable with the address of the admin endpoint.
const ADMIN_ADDRESS_VARIABLE: &str = "NODE_MGMT";
/// Environment variable with the path of the platform's configuration.
const CONFIG_PATH_VARIABLE: &str = "NODE_CONFIG";
/// What the answer to an admin call that failed begins with.
const ADMIN_FAILURE: &str = "NO";
const BYTES_PER_MB_SHIFT: u32 = 20;

/// A connection balancer for the shop platform and IRC.
#[derive(FromArgs)]
struct CommandLine {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Serve(Serve),
    Check(Check),
    Replay(Replay),
    Exclude(Exclude),
    Include(Include),
    Readyz(Readyz),
    Telemetry(Telemetry),
    Set(Set),
    Version(Version),
}

/// Run the balancer in the foreground until SIGTERM; on SIGHUP it reads its configuration again.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct Serve {
    /// configuration of the platform's front (default: $NODE_CONFIG)
    #[argh(option)]
    config: Option<PathBuf>,
    /// operator's file of the IRC front, such as deploy/irc.json (default: no IRC)
    #[argh(option)]
    irc: Option<PathBuf>,
    /// operator's file on rebalancing, such as deploy/rebalance.json (default: clients are not moved for balance)
    #[argh(option)]
    rebalance: Option<PathBuf>,
    /// record what goes over the fronts' connections to this pcap file
    #[argh(option)]
    record: Option<PathBuf>,
    /// megabytes that the recording may grow to (default: 64)
    #[argh(option, default = "64")]
    record_mb: usize,
}

/// Read and check the configuration, and report what is wrong with it.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// configuration of the platform's front (default: $NODE_CONFIG)
    #[argh(option)]
    config: Option<PathBuf>,
    /// operator's file of the IRC front, such as deploy/irc.json (default: no IRC)
    #[argh(option)]
    irc: Option<PathBuf>,
    /// operator's file on rebalancing, such as deploy/rebalance.json (default: clients are not moved for balance)
    #[argh(option)]
    rebalance: Option<PathBuf>,
}

/// Replay the clients' flows of a pcap file into a front, with loopback servers only.
#[derive(FromArgs)]
#[argh(subcommand, name = "replay")]
struct Replay {
    /// pcap file
    #[argh(positional)]
    file: PathBuf,
    /// configuration of the platform's front, or the operator's file with --front irc
    #[argh(option)]
    config: PathBuf,
    /// front that takes the flows: platform or irc (default: platform)
    #[argh(option, default = "transport::FrontKind::Platform")]
    front: transport::FrontKind,
    /// port that the flows went to (default: the one that the front listens on)
    #[argh(option)]
    port: Option<u16>,
}

/// Exclude a server, whatever any endpoint list holds, until it is included again.
#[derive(FromArgs)]
#[argh(subcommand, name = "exclude")]
struct Exclude {
    /// name of the server
    #[argh(positional, arg_name = "host")]
    server: String,
    /// address of a balancer's admin endpoint (default: $NODE_MGMT)
    #[argh(option)]
    mgmt: Option<String>,
}

/// Readmit a server that was excluded.
#[derive(FromArgs)]
#[argh(subcommand, name = "include")]
struct Include {
    /// name of the server
    #[argh(positional, arg_name = "host")]
    server: String,
    /// address of a balancer's admin endpoint (default: $NODE_MGMT)
    #[argh(option)]
    mgmt: Option<String>,
}

/// Ask a balancer whether it is ready to serve.
#[derive(FromArgs)]
#[argh(subcommand, name = "readyz")]
struct Readyz {
    /// address of its admin endpoint (default: $NODE_MGMT)
    #[argh(option)]
    mgmt: Option<String>,
}

/// Ask a balancer for its metrics.
#[derive(FromArgs)]
#[argh(subcommand, name = "telemetry")]
struct Telemetry {
    /// address of its admin endpoint (default: $NODE_MGMT)
    #[argh(option)]
    mgmt: Option<String>,
}

/// Write an entry of the replicated map: host/NAME ("ADDRESS [ZONE [WEIGHT]]"), life/NAME (gone) or
/// limit/connections (a number). Written at one node, it takes effect at all of them.
#[derive(FromArgs)]
#[argh(subcommand, name = "set")]
struct Set {
    /// key
    #[argh(positional)]
    key: String,
    /// value; without one the key is deleted
    #[argh(positional)]
    value: Option<String>,
    /// address of any node's replica on this machine
    #[argh(option)]
    store: std::net::SocketAddr,
}

/// Print the version.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

/// Why a command failed.
#[derive(Debug, Error)]
enum CommandError {
    #[error("give --mgmt ADDRESS or set NODE_MGMT")]
    NoAdminAddress,
    #[error("{call}: not done")]
    AdminCallFailed { call: String },
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

/// Makes a call at the admin endpoint of a balancer, and prints the answer.
fn make_admin_call(mgmt: Option<String>, call: &str) -> Result<(), CommandError> {
    let address = mgmt.or_else(admin_address_from_environment).ok_or(CommandError::NoAdminAddress)?;
    let answer = transport::call_admin_endpoint(&address, call)?;
    print!("{}", answer.replace('\r', ""));
    if answer.starts_with(ADMIN_FAILURE) {
        return Err(CommandError::AdminCallFailed { call: call.to_owned() });
    }
    Ok(())
}

fn sources(config: Option<PathBuf>, irc: Option<PathBuf>, rebalance: Option<PathBuf>) -> Sources {
    let platform = config.or_else(|| std::env::var_os(CONFIG_PATH_VARIABLE).map(PathBuf::from));
    Sources { platform, irc, rebalance, mgmt: admin_address_from_environment() }
}

fn serve(options: Serve) -> Result<(), CommandError> {
    let max_bytes = options.record_mb << BYTES_PER_MB_SHIFT;
    let record = options.record.map(|path| transport::RecordingConfig { path, max_bytes });
    let sources = sources(options.config, options.irc, options.rebalance);
    Ok(transport::serve(sources, record)?)
}

fn check(options: Check) -> Result<(), CommandError> {
    let config = sources(options.config, options.irc, options.rebalance).read()?;
    if let Some(platform) = config.platform {
        let servers = platform.known.endpoints.len();
        println!("platform: sound; {} on {}, {servers} hosts known", platform.name, platform.listen);
    }
    if let Some(irc) = config.irc {
        println!("irc: sound; {} on {}, {} hosts", irc.setup.name, irc.listen, irc.endpoints.len());
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
        Command::Exclude(Exclude { server, mgmt }) => make_admin_call(mgmt, &format!("exclude {server}")),
        Command::Include(Include { server, mgmt }) => make_admin_call(mgmt, &format!("include {server}")),
        Command::Readyz(Readyz { mgmt }) => make_admin_call(mgmt, "readyz"),
        Command::Telemetry(Telemetry { mgmt }) => make_admin_call(mgmt, "telemetry"),
        Command::Set(options) => write_replicated_entry(options),
        Command::Version(_) => {
            println!("connection-balancer {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    }
}

/// Parses the command line and runs its command. An error is logged, and makes the exit code a failure.
pub fn run() -> ExitCode {
    let line: CommandLine = argh::from_env();
    match run_command(line.command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            // The log is started only once the configuration has been read, which may not have happened.
            super::log::start(&super::log::LogConfig::default());
            crate::log!(error, "{error}");
            ExitCode::FAILURE
        }
    }
}
