//! Replays the clients' flows in a capture to a front, with their recorded timing.
//!
//! The replay runs a front on loopback in this process and connects one client for each flow. The servers of
//! the configuration must also be on loopback.

mod player;
mod report;

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::str::FromStr;

use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::Mutex;
use tokio::time::Instant;

use super::assembly::Assembly;
use super::fronts::{irc_factory, platform_factory};
use crate::program::config::{read_file, Config, ConfigError};
use crate::protocol::flows::{self, Flow};
use crate::protocol::pcap::{self, PcapError};
use player::Replay;

/// Local address on which the replay listens. The system chooses the port.
const LOOPBACK: &str = "127.0.0.1:0";

/// The front to which flows are replayed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FrontKind {
    /// The platform's front.
    Platform,
    /// The IRC front.
    Irc,
}

/// A text that is not the name of a front.
#[derive(Clone, Copy, Debug, Error)]
#[error("the front must be platform or irc")]
pub struct UnknownFront;

impl FromStr for FrontKind {
    type Err = UnknownFront;

    fn from_str(text: &str) -> Result<FrontKind, UnknownFront> {
        match text {
            "platform" => Ok(FrontKind::Platform),
            "irc" => Ok(FrontKind::Irc),
            _ => Err(UnknownFront),
        }
    }
}

/// Why a capture cannot be replayed.
#[derive(Debug, Error)]
pub enum ReplayError {
    /// The capture cannot be read.
    #[error("{0}")]
    ReadFile(#[source] ConfigError),
    /// The capture is not a valid pcap file.
    #[error("{}: {source}", path.display())]
    BadFile {
        /// Path of the capture.
        path: PathBuf,
        /// First error in the capture, with its offset.
        source: PcapError,
    },
    /// The front is not configured.
    #[error("the configuration has no {front:?} front")]
    NoFront {
        /// Front that the command line selected.
        front: FrontKind,
    },
    /// The capture contains no flow to the front's port.
    #[error("{}: no flow to port {port}; use --port to select another port", path.display())]
    NoFlows {
        /// Path of the capture.
        path: PathBuf,
        /// Destination port by which flows were selected.
        port: u16,
    },
    /// A configured server is not on loopback. A replay must never reach a server in service.
    #[error("host {name} is at {address}: a replay uses loopback hosts only")]
    ServerNotOnLoopback {
        /// Name of the server.
        name: String,
        /// Configured address of the server.
        address: String,
    },
    /// The asynchronous runtime cannot be built.
    #[error("cannot build the asynchronous runtime: {0}")]
    RuntimeStart(#[source] io::Error),
    /// The replay cannot listen on loopback.
    #[error("cannot listen on {LOOPBACK}: {0}")]
    Listen(#[source] io::Error),
}

/// Replays the flows in a capture, and prints the outcome of each flow.
///
/// `port` is the destination port by which flows are selected. Without it the front's configured port is
/// used.
///
/// # Errors
///
/// Returns an error if the file cannot be read, or the configuration does not match it. A single flow that
/// cannot be played is only printed.
pub fn replay(file: &Path, config: Config, front: FrontKind, port: Option<u16>) -> Result<(), ReplayError> {
    let flows = read_flows(file, &config, front, port)?;
    check_servers_on_loopback(&config)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(ReplayError::RuntimeStart)?;
    tokio::task::LocalSet::new().block_on(&runtime, play_all(flows, config, front))
}

fn read_flows(
    file: &Path,
    config: &Config,
    front: FrontKind,
    port: Option<u16>,
) -> Result<Vec<Flow>, ReplayError> {
    let bytes = read_file(file).map_err(ReplayError::ReadFile)?;
    let segments = pcap::read_segments(&bytes)
        .map_err(|source| ReplayError::BadFile { path: file.to_owned(), source })?;
    let listen = match front {
        FrontKind::Platform => config.platform.as_ref().map(|platform| platform.listen),
        FrontKind::Irc => config.irc.as_ref().map(|irc| irc.listen),
    };
    let listen = listen.ok_or(ReplayError::NoFront { front })?;
    let port = port.unwrap_or(listen.port());
    let flows = flows::reassemble_flows(&segments, port);
    if flows.is_empty() {
        return Err(ReplayError::NoFlows { path: file.to_owned(), port });
    }
    Ok(flows)
}

fn check_servers_on_loopback(config: &Config) -> Result<(), ReplayError> {
    let platform = config.platform.iter().flat_map(|platform| &platform.cached_endpoints.endpoints);
    let irc = config.irc.iter().flat_map(|irc| &irc.endpoints);
    for server in platform.chain(irc) {
        if !server.address.parse().is_ok_and(|address: SocketAddr| address.ip().is_loopback()) {
            let (name, address) = (server.name.clone(), server.address.clone());
            return Err(ReplayError::ServerNotOnLoopback { name, address });
        }
    }
    Ok(())
}

async fn play_all(flows: Vec<Flow>, config: Config, front: FrontKind) -> Result<(), ReplayError> {
    let assembly = Assembly::new(&config);
    let factory = match (front, config.irc) {
        (FrontKind::Irc, Some(irc)) => irc_factory(irc.protocol),
        _ => platform_factory(),
    };
    let pool = match front {
        FrontKind::Platform => assembly.platform,
        FrontKind::Irc => assembly.irc,
    };
    assembly.reducer.start_observing();
    tokio::task::spawn_local(assembly.reducer.clone().run_timer());
    let listener = TcpListener::bind(LOOPBACK).await.map_err(ReplayError::Listen)?;
    let replay = Rc::new(Replay {
        context: assembly.connection_context(),
        pool,
        factory,
        listener: Mutex::new(listener),
        first_flow_start: flows.iter().map(|flow| flow.started_at).min().unwrap_or_default(),
        started_at: Instant::now(),
        counts: RefCell::default(),
    });
    let play = |flow| tokio::task::spawn_local(replay.clone().play_and_print(flow));
    let tasks: Vec<_> = flows.into_iter().map(play).collect();
    for task in tasks {
        // The result is ignored: a panic of a task has already been printed.
        let _ = task.await;
    }
    let counts = replay.counts.borrow();
    println!("{} flows, {} served", counts.played, counts.served);
    Ok(())
}
