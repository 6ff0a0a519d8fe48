//! The command line.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;

use super::config::{self, Sources};
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
    Replay(Replay),
    Exclude(Exclude),
    Include(Include),
    Readyz(Readyz),
    Telemetry(Telemetry),
    Set(Set),
    Version(Version),
}

/// Run the balancer in the foreground until SIGTERM; SIGHUP has it read its configuration again.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct Serve {
    /// configuration of the platform's front (default: $NODE_CONFIG)
    #[argh(option)]
    config: Option<PathBuf>,
    /// operator's file of the IRC front, such as deploy/irc.json (default: no IRC)
    #[argh(option)]
    irc: Option<PathBuf>,
    /// operator's file on rebalancing, such as deploy/rebalance.json (default: nobody is moved for balance)
    #[argh(option)]
    rebalance: Option<PathBuf>,
    /// record what goes over the fronts' connections to this pcap file
    #[argh(option)]
    record: Option<PathBuf>,
    /// megabytes that the recording may grow to (default: 64)
    #[argh(option, default = "64")]
    record_mb: usize,
}

/// Read and check the configuration, and say what is wrong with it.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// configuration of the platform's front (default: $NODE_CONFIG)
    #[argh(option)]
    config: Option<PathBuf>,
    /// operator's file of the IRC front, such as deploy/irc.json (default: no IRC)
    #[argh(option)]
    irc: Option<PathBuf>,
    /// operator's file on rebalancing, such as deploy/rebalance.json (default: nobody is moved for balance)
    #[argh(option)]
    rebalance: Option<PathBuf>,
}

/// Play the client's flows of a pcap file into a front, with loopback servers only.
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
    #[argh(option, default = "transport::Which::Platform")]
    front: transport::Which,
    /// port that the flows went to (default: the one that the front listens on)
    #[argh(option)]
    port: Option<u16>,
}

/// Take a server out, whatever any list says, until it is included again.
#[derive(FromArgs)]
#[argh(subcommand, name = "exclude")]
struct Exclude {
    /// name of the server
    #[argh(positional, arg_name = "host")]
    server: String,
    /// address of a balancer's operators' door (default: $NODE_MGMT)
    #[argh(option)]
    mgmt: Option<String>,
}

/// Use a server again that was excluded.
#[derive(FromArgs)]
#[argh(subcommand, name = "include")]
struct Include {
    /// name of the server
    #[argh(positional, arg_name = "host")]
    server: String,
    /// address of a balancer's operators' door (default: $NODE_MGMT)
    #[argh(option)]
    mgmt: Option<String>,
}

/// Ask a balancer whether it can serve.
#[derive(FromArgs)]
#[argh(subcommand, name = "readyz")]
struct Readyz {
    /// address of its operators' door (default: $NODE_MGMT)
    #[argh(option)]
    mgmt: Option<String>,
}

/// Ask a balancer for its figures.
#[derive(FromArgs)]
#[argh(subcommand, name = "telemetry")]
struct Telemetry {
    /// address of its operators' door (default: $NODE_MGMT)
    #[argh(option)]
    mgmt: Option<String>,
}

/// Write a key of the store: host/NAME ("ADDRESS [ZONE [WEIGHT]]"), life/NAME (gone) or
/// limit/connections (a number). Written at one node, it takes effect at all of them.
#[derive(FromArgs)]
#[argh(subcommand, name = "set")]
struct Set {
    /// key
    #[argh(positional)]
    key: String,
    /// value; without one the key is taken away
    #[argh(positional)]
    value: Option<String>,
    /// address of any node's store on this machine
    #[argh(option)]
    store: std::net::SocketAddr,
}

/// Print the version.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

fn mgmt_of_environment() -> Option<String> {
    std::env::var("NODE_MGMT").ok().filter(|text| !text.is_empty())
}

/// Makes a call at a balancer's door, and prints the answer.
fn ask(mgmt: Option<String>, call: &str) -> Result<(), String> {
    let mgmt = mgmt.or_else(mgmt_of_environment).ok_or("give --mgmt ADDRESS or set NODE_MGMT")?;
    let answer = transport::call_admin_endpoint(&mgmt, call).map_err(|error| error.to_string())?;
    print!("{}", answer.replace('\r', ""));
    if answer.starts_with("NO") {
        return Err(format!("{call}: not done"));
    }
    Ok(())
}

fn sources(config: Option<PathBuf>, irc: Option<PathBuf>, rebalance: Option<PathBuf>) -> Sources {
    let platform = config.or_else(|| std::env::var_os("NODE_CONFIG").map(PathBuf::from));
    Sources { platform, irc, rebalance, mgmt: mgmt_of_environment() }
}

fn carry_out(command: Command) -> Result<(), String> {
    match command {
        Command::Serve(serve) => {
            let max_bytes = serve.record_mb << 20;
            let record = serve.record.map(|path| transport::RecordingConfig { path, max_bytes });
            transport::serve(sources(serve.config, serve.irc, serve.rebalance), record)
                .map_err(|error| error.to_string())
        }
        Command::Replay(replay) => {
            let config = match replay.front {
                transport::Which::Platform => config::read(Some(&replay.config), None, None)?,
                transport::Which::Irc => config::read(None, Some(&replay.config), None)?,
            };
            transport::replay(&replay.file, config, replay.front, replay.port)
                .map_err(|error| error.to_string())
        }
        Command::Check(check) => {
            let config = sources(check.config, check.irc, check.rebalance).read()?;
            if let Some(platform) = config.platform {
                let servers = platform.known.endpoints.len();
                println!("platform: sound; {} on {}, {servers} hosts known", platform.name, platform.listen);
            }
            if let Some(irc) = config.irc {
                println!("irc: sound; {} on {}, {} hosts", irc.setup.name, irc.listen, irc.endpoints.len());
            }
            Ok(())
        }
        Command::Exclude(Exclude { server, mgmt }) => ask(mgmt, &format!("exclude {server}")),
        Command::Include(Include { server, mgmt }) => ask(mgmt, &format!("include {server}")),
        Command::Readyz(Readyz { mgmt }) => ask(mgmt, "readyz"),
        Command::Telemetry(Telemetry { mgmt }) => ask(mgmt, "telemetry"),
        Command::Set(set) => {
            config::store_entry(&set.key, set.value.as_deref())?;
            let entry = transport::write_store_entry(set.store, &set.key, set.value)
                .map_err(|error| error.to_string())?;
            let value = entry.value.as_deref().unwrap_or("nothing");
            println!("{} is {value}; written at node {} as {}", set.key, entry.node, entry.counter);
            Ok(())
        }
        Command::Version(_) => {
            println!("connection-balancer {}", env!("CARGO_PKG_VERSION"));
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
            // Where nothing was read yet that says how.
            super::log::start(&super::log::LogConfig::default());
            crate::log!(error, "{problem}");
            ExitCode::FAILURE
        }
    }
}
