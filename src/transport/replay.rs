//! Replays the clients' flows of a capture into a front, at their recorded spacing.

use std::cell::RefCell;
use std::fmt::Write;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::str::FromStr;
use std::time::Duration;

use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Mutex};
use tokio::task::JoinHandle;
use tokio::time::{sleep, sleep_until, timeout, Instant};

use super::connection;
use super::driver::{ConnectionFactory, Driver};
use super::fronts::{irc_factory, platform_factory, Fronts};
use super::observation::Observation;
use crate::program::config::{read_file, Config};
use crate::protocol::flows::{self, Flow};
use crate::protocol::pcap::{self, BadFile, Close};
use crate::routing::{ConnectionId, PoolId};
use crate::Micros;

/// How long a flow waits, after its last recorded byte, for what still comes back.
const LAST_ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// How long what was sent after an answer waits for one, beyond its recorded time.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// A flow whose end was not captured is ended after this.
const UNCAPTURED_END_DELAY: Duration = Duration::from_secs(1);
const READ_BUFFER_BYTES: usize = 4096;
/// Any port of this machine: the replay listens there.
const LOOPBACK: &str = "127.0.0.1:0";

/// A front that takes flows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FrontKind {
    /// The platform's front.
    Platform,
    /// The IRC front.
    Irc,
}

/// The name of no front.
#[derive(Clone, Copy, Debug, Error)]
#[error("platform or irc is wanted")]
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
    ReadFile(#[source] Box<dyn std::error::Error + Send + Sync>),
    /// The capture is no pcap file.
    #[error("{}: {bad_file}", path.display())]
    BadFile {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        bad_file: BadFile,
    },
    /// The front is not configured.
    #[error("the configuration has no {front:?} front")]
    NoFront {
        /// The front.
        front: FrontKind,
    },
    /// The capture holds nothing for the front.
    #[error("{}: no flow to port {port}; --port names another", path.display())]
    NoFlows {
        /// The file.
        path: PathBuf,
        /// The port that flows were looked for by.
        port: u16,
    },
    /// A configured server is not on loopback. A replay must never reach a server in service.
    #[error("host {name} is at {address}: a replay uses loopback hosts only")]
    ServerNotOnLoopback {
        /// Name of the server.
        name: String,
        /// Its address.
        address: String,
    },
    /// The asynchronous runtime cannot be built.
    #[error("cannot start: {0}")]
    RuntimeStart(#[source] io::Error),
    /// The replay cannot listen on loopback.
    #[error("no loopback: {0}")]
    Listen(#[source] io::Error),
}

/// Why one flow was not played.
#[derive(Debug, Error)]
enum FlowError {
    #[error("not played: {0}")]
    Connect(#[from] io::Error),
    #[error("no such front")]
    NoFront,
}

/// Replays a file's flows and prints what became of each.
///
/// # Errors
///
/// When the file cannot be read, or the configuration does not fit it. A single flow that cannot be played is printed.
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
    let bytes = read_file(file).map_err(|error| ReplayError::ReadFile(error.into()))?;
    let segments =
        pcap::read(&bytes).map_err(|bad_file| ReplayError::BadFile { path: file.to_owned(), bad_file })?;
    let listen = match front {
        FrontKind::Platform => config.platform.as_ref().map(|platform| platform.listen),
        FrontKind::Irc => config.irc.as_ref().map(|irc| irc.listen),
    };
    let listen = listen.ok_or(ReplayError::NoFront { front })?;
    let port = port.unwrap_or(listen.port());
    let flows = flows::to_port(&segments, port);
    if flows.is_empty() {
        return Err(ReplayError::NoFlows { path: file.to_owned(), port });
    }
    Ok(flows)
}

fn check_servers_on_loopback(config: &Config) -> Result<(), ReplayError> {
    let platform = config.platform.iter().flat_map(|platform| &platform.known.endpoints);
    let irc = config.irc.iter().flat_map(|irc| &irc.endpoints);
    for server in platform.chain(irc) {
        if !server.address.parse().is_ok_and(|address: SocketAddr| address.ip().is_loopback()) {
            let (name, address) = (server.name.clone(), server.address.clone());
            return Err(ReplayError::ServerNotOnLoopback { name, address });
        }
    }
    Ok(())
}

/// Counts of flows.
#[derive(Default)]
struct FlowCounts {
    played: usize,
    served: usize,
}

/// What all flows of a replay share.
struct Replay {
    driver: Rc<Driver>,
    pool: Option<PoolId>,
    factory: ConnectionFactory,
    /// The front's listener. Flows connect one after the other, so that each finds its own other end.
    listener: Mutex<TcpListener>,
    started: Instant,
    /// Recorded time of the first flow.
    first_start: Micros,
    counts: RefCell<FlowCounts>,
}

async fn play_all(flows: Vec<Flow>, config: Config, front: FrontKind) -> Result<(), ReplayError> {
    let fronts = Fronts::set_up(&config);
    let factory = match (front, config.irc) {
        (FrontKind::Irc, Some(irc)) => irc_factory(irc.setup),
        _ => platform_factory(),
    };
    let pool = match front {
        FrontKind::Platform => fronts.platform,
        FrontKind::Irc => fronts.irc,
    };
    fronts.driver.start_observing();
    tokio::task::spawn_local(fronts.driver.clone().run_timer());
    let listener = TcpListener::bind(LOOPBACK).await.map_err(ReplayError::Listen)?;
    let replay = Rc::new(Replay {
        driver: fronts.driver.clone(),
        pool,
        factory,
        listener: Mutex::new(listener),
        first_start: flows.iter().map(|flow| flow.start).min().unwrap_or(0),
        started: Instant::now(),
        counts: RefCell::default(),
    });
    let play = |flow| tokio::task::spawn_local(replay.clone().play_and_print(flow));
    let tasks: Vec<_> = flows.into_iter().map(play).collect();
    for task in tasks {
        // A task that panicked has reported that itself.
        let _ = task.await;
    }
    let counts = replay.counts.borrow();
    println!("{} flows, {} served", counts.played, counts.served);
    Ok(())
}

/// What became of a flow.
struct FlowReport {
    observations: Vec<Observation>,
    /// Bytes that the front sent, if it closed the connection in time.
    answered_bytes: Option<usize>,
    /// Whether the front closed the connection before all was sent.
    cut: bool,
    /// Where the capture has a gap, in bytes.
    gap: Option<usize>,
    /// Whether the flow's begin was not captured.
    headless: bool,
}

impl FlowReport {
    fn is_served(&self) -> bool {
        let is_established = |observation| matches!(observation, &Observation::Established { .. });
        self.observations.iter().any(is_established)
    }
}

impl std::fmt::Display for FlowReport {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        if self.observations.is_empty() {
            formatter.write_str("never asked")?;
        }
        for (index, observation) in self.observations.iter().enumerate() {
            let separator = if index == 0 { "" } else { ", " };
            write!(formatter, "{separator}{observation}")?;
        }
        match self.answered_bytes {
            Some(bytes) => write!(formatter, "; {bytes} bytes back")?,
            None => formatter.write_str("; not ended by the front")?,
        }
        if self.cut {
            formatter.write_str("; ended before all was sent")?;
        }
        if let Some(gap) = self.gap {
            write!(formatter, "; gap in the capture after {gap} bytes, the rest left out")?;
        }
        if self.headless {
            formatter.write_str("; its begin was not captured")?;
        }
        Ok(())
    }
}

impl Replay {
    async fn play_and_print(self: Rc<Self>, flow: Flow) {
        let result = self.play(&flow).await;
        let mut counts = self.counts.borrow_mut();
        counts.played += 1;
        counts.served += usize::from(result.as_ref().is_ok_and(FlowReport::is_served));
        let at = (flow.start - self.first_start) as f64 / 1e6;
        let mut line = format!("{} at {at:.3} s: ", flow.from);
        // Writing to a string does not fail.
        let _ = match result {
            Ok(report) => write!(line, "{report}"),
            Err(error) => write!(line, "{error}"),
        };
        println!("{line}");
    }

    /// When a recorded time comes in the replay.
    fn replay_time(&self, recorded: Micros) -> Instant {
        self.started + Duration::from_micros(recorded.saturating_sub(self.first_start))
    }

    async fn play(&self, flow: &Flow) -> Result<FlowReport, FlowError> {
        sleep_until(self.replay_time(flow.start)).await;
        let (stream, connection) = self.connect().await?;
        let (reader, mut writer) = stream.into_split();
        let (lines, received_lines) = watch::channel(0);
        let reading = tokio::task::spawn_local(count_answers(reader, lines));
        let mut pacer = Pacer { replay: self, flow, received_lines, in_step: true };
        let sent = send_pieces(&mut pacer, &mut writer).await;
        // Kept until the answers are counted: dropped, it would close the socket.
        let _writer = end_flow(&mut pacer, writer).await;
        Ok(FlowReport {
            answered_bytes: wait_for_end(reading).await,
            observations: self.driver.observations(connection),
            cut: sent.is_err(),
            gap: flow.gap,
            headless: flow.headless,
        })
    }

    /// Connects a client to the front.
    async fn connect(&self) -> Result<(TcpStream, ConnectionId), FlowError> {
        let listener = self.listener.lock().await;
        let stream = TcpStream::connect(listener.local_addr()?).await?;
        let (accepted, _) = listener.accept().await?;
        let pool = self.pool.ok_or(FlowError::NoFront)?;
        let connection = connection::start(&self.driver, pool, accepted, (self.factory)());
        Ok((stream, connection))
    }
}

/// Counts the bytes that the front sends until it ends, and reports the number of lines among them.
async fn count_answers(mut reader: OwnedReadHalf, lines: watch::Sender<usize>) -> usize {
    let mut buffer = [0; READ_BUFFER_BYTES];
    let mut count = 0;
    while let Ok(length) = reader.read(&mut buffer).await {
        if length == 0 {
            break;
        }
        count += length;
        let new_lines = buffer[..length].iter().filter(|&&byte| byte == b'\n').count();
        lines.send_modify(|lines| *lines += new_lines);
    }
    count
}

/// Waits until a reading task ends; none if it does not in time.
async fn wait_for_end(reading: JoinHandle<usize>) -> Option<usize> {
    timeout(LAST_ANSWER_TIMEOUT, reading).await.ok().and_then(Result::ok)
}

/// Times what a flow sends. Servers of a replay may be slower than those recorded: what was sent after an answer, an end
/// above all, would overtake it and mean something else.
struct Pacer<'a> {
    replay: &'a Replay,
    flow: &'a Flow,
    received_lines: watch::Receiver<usize>,
    /// Whether all answers came so far. One that answers with fewer lines is waited for once.
    in_step: bool,
}

impl Pacer<'_> {
    /// Waits for a recorded time, and for the answers that had come by then.
    async fn wait(&mut self, recorded: Micros) {
        sleep_until(self.replay.replay_time(recorded)).await;
        let wanted = self.flow.answers_before(recorded);
        if self.in_step {
            let answered = self.received_lines.wait_for(|lines| *lines >= wanted);
            self.in_step = timeout(ANSWER_TIMEOUT, answered).await.is_ok();
        }
    }
}

async fn send_pieces(pacer: &mut Pacer<'_>, writer: &mut OwnedWriteHalf) -> io::Result<()> {
    for (at, bytes) in &pacer.flow.pieces {
        pacer.wait(*at).await;
        writer.write_all(bytes).await?;
    }
    Ok(())
}

/// Ends a flow as it was recorded. Returns the writer unless the connection is broken off.
async fn end_flow(pacer: &mut Pacer<'_>, mut writer: OwnedWriteHalf) -> Option<OwnedWriteHalf> {
    match pacer.flow.end {
        Some((at, Close::InOrder)) => {
            pacer.wait(at).await;
            let _ = writer.shutdown().await;
            Some(writer)
        }
        Some((at, Close::Broken)) => {
            pacer.wait(at).await;
            // Closed with no time to linger, the socket is reset.
            let _ = socket2::SockRef::from(writer.as_ref()).set_linger(Some(Duration::ZERO));
            None
        }
        None => {
            sleep(UNCAPTURED_END_DELAY).await;
            let _ = writer.shutdown().await;
            Some(writer)
        }
    }
}
