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
    Drain(Drain),
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
}

/// Play the acquirer side's flows of a pcap file into a front, with loopback hosts only.
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

/// Have an issuer host drained: written at one node's store, it takes effect at all of them.
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
struct Drain {
    /// name of the issuer host
    #[argh(positional)]
    host: String,
    /// address of any node's store on this machine
    #[argh(option)]
    store: std::net::SocketAddr,
    /// take the host back into use
    #[argh(switch)]
    undo: bool,
}

/// Write a key of the store: host/NAME ("ADDRESS [ZONE [WEIGHT]]"), life/NAME (draining or gone) or
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

fn sources(config: Option<PathBuf>, irc: Option<PathBuf>) -> Sources {
    let platform = config.or_else(|| std::env::var_os("NODE_CONFIG").map(PathBuf::from));
    Sources { platform, irc, mgmt: std::env::var("NODE_MGMT").ok().filter(|text| !text.is_empty()) }
}

fn carry_out(command: Command) -> Result<(), String> {
    match command {
        Command::Serve(serve) => {
            let record = serve.record.as_deref().map(|path| (path, serve.record_mb << 20));
            transport::serve(sources(serve.config, serve.irc), record)
        }
        Command::Replay(replay) => {
            let config = match replay.front {
                transport::Which::Platform => config::read(Some(&replay.config), None, None)?,
                transport::Which::Irc => config::read(None, Some(&replay.config), None)?,
            };
            transport::replay(&replay.file, config, replay.front, replay.port)
        }
        Command::Check(check) => {
            let config = sources(check.config, check.irc).read()?;
            if let Some(platform) = config.platform {
                let hosts = platform.known.hosts.len();
                println!("platform: sound; {} on {}, {hosts} hosts known", platform.name, platform.listen);
            }
            if let Some(irc) = config.irc {
                println!("irc: sound; {} on {}, {} hosts", irc.setup.name, irc.listen, irc.hosts.len());
            }
            Ok(())
        }
        Command::Drain(drain) => {
            let value = (!drain.undo).then(|| "draining".to_owned());
            let entry = transport::write_at(drain.store, &format!("life/{}", drain.host), value)?;
            let does = if drain.undo { "is back in use" } else { "drains" };
            println!("{} {does}; written at node {} as {}", drain.host, entry.node, entry.counter);
            Ok(())
        }
        Command::Set(set) => {
            config::store_entry(&set.key, set.value.as_deref())?;
            let entry = transport::write_at(set.store, &set.key, set.value)?;
            let value = entry.value.as_deref().unwrap_or("nothing");
            println!("{} is {value}; written at node {} as {}", set.key, entry.node, entry.counter);
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
