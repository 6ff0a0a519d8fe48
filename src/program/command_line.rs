//! Commands and options of the command line, with their help texts.
// The doc comments on commands and options are printed as help texts, so they contain no Markdown.
#![allow(clippy::doc_markdown)]

use std::path::PathBuf;

use argh::FromArgs;

use crate::transport;

/// A connection balancer for the shop platform and IRC.
#[derive(FromArgs)]
pub(super) struct CommandLine {
    #[argh(subcommand)]
    pub(super) command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(super) enum Command {
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

/// Run the balancer in the foreground until SIGTERM. On SIGHUP it reads its configuration again.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
pub(super) struct Serve {
    /// configuration of the platform's front (default: $NODE_CONFIG)
    #[argh(option)]
    pub(super) config: Option<PathBuf>,
    /// operator's file of the IRC front, such as deploy/irc.json (default: no IRC)
    #[argh(option)]
    pub(super) irc: Option<PathBuf>,
    /// operator's file on rebalancing, such as deploy/rebalance.json (default: no rebalancing)
    #[argh(option)]
    pub(super) rebalance: Option<PathBuf>,
    /// pcap file to which the traffic of the fronts' connections is recorded (default: no recording)
    #[argh(option)]
    pub(super) record: Option<PathBuf>,
    /// maximum size of the recording in megabytes (default: 64)
    #[argh(option, default = "64")]
    pub(super) record_mb: usize,
}

/// Read and validate the configuration and report the first error.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub(super) struct Check {
    /// configuration of the platform's front (default: $NODE_CONFIG)
    #[argh(option)]
    pub(super) config: Option<PathBuf>,
    /// operator's file of the IRC front, such as deploy/irc.json (default: no IRC)
    #[argh(option)]
    pub(super) irc: Option<PathBuf>,
    /// operator's file on rebalancing, such as deploy/rebalance.json (default: no rebalancing)
    #[argh(option)]
    pub(super) rebalance: Option<PathBuf>,
}

/// Replay the clients' flows of a pcap file to a front. All its servers must have loopback addresses.
#[derive(FromArgs)]
#[argh(subcommand, name = "replay")]
pub(super) struct Replay {
    /// pcap file with the recorded flows
    #[argh(positional)]
    pub(super) file: PathBuf,
    /// configuration of the platform's front, or the operator's file with --front irc
    #[argh(option)]
    pub(super) config: PathBuf,
    /// front that receives the flows: platform or irc (default: platform)
    #[argh(option, default = "transport::FrontKind::Platform")]
    pub(super) front: transport::FrontKind,
    /// destination port of the recorded flows (default: the port that the front listens on)
    #[argh(option)]
    pub(super) port: Option<u16>,
}

/// Exclude a server, regardless of its state in any endpoint list, until it is included again.
#[derive(FromArgs)]
#[argh(subcommand, name = "exclude")]
pub(super) struct Exclude {
    /// name of the server
    #[argh(positional, arg_name = "host")]
    pub(super) server: String,
    /// address of a balancer's admin endpoint (default: $NODE_MGMT)
    #[argh(option)]
    pub(super) mgmt: Option<String>,
}

/// Readmit an excluded server.
#[derive(FromArgs)]
#[argh(subcommand, name = "include")]
pub(super) struct Include {
    /// name of the server
    #[argh(positional, arg_name = "host")]
    pub(super) server: String,
    /// address of a balancer's admin endpoint (default: $NODE_MGMT)
    #[argh(option)]
    pub(super) mgmt: Option<String>,
}

/// Ask a balancer whether it is ready to serve.
#[derive(FromArgs)]
#[argh(subcommand, name = "readyz")]
pub(super) struct Readyz {
    /// address of its admin endpoint (default: $NODE_MGMT)
    #[argh(option)]
    pub(super) mgmt: Option<String>,
}

/// Ask a balancer for its metrics.
#[derive(FromArgs)]
#[argh(subcommand, name = "telemetry")]
pub(super) struct Telemetry {
    /// address of its admin endpoint (default: $NODE_MGMT)
    #[argh(option)]
    pub(super) mgmt: Option<String>,
}

/// Write an entry of the replicated map: host/NAME ("ADDRESS [ZONE [WEIGHT]]"), life/NAME (gone) or
/// limit/connections (a number). An entry that is written at one node takes effect at all nodes.
#[derive(FromArgs)]
#[argh(subcommand, name = "set")]
pub(super) struct Set {
    /// key of the entry
    #[argh(positional)]
    pub(super) key: String,
    /// value of the entry; without a value the key is deleted
    #[argh(positional)]
    pub(super) value: Option<String>,
    /// address of the replica of any node on this machine
    #[argh(option)]
    pub(super) store: std::net::SocketAddr,
}

/// Print the version.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
pub(super) struct Version {}
