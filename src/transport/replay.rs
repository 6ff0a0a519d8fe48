//! Replays the client's flows of a capture into a front, at their recorded spacing.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Mutex;
use tokio::time::{sleep_until, timeout, Instant};

use super::driver::{ConnectionFactory, Driver, Seen};
use super::{connection, irc_factory, platform_factory, Fronts};
use crate::program::config::{read_file, Config};
use crate::protocol::flows::{self, Flow, FlowChunk, FlowEnd};
use crate::protocol::pcap::{self, Close};

/// After its last recorded byte a flow waits so long for what still comes back.
const PATIENCE: Duration = Duration::from_secs(5);
/// What was sent after an answer waits so long for one, beyond its recorded time.
const IN_STEP: Duration = Duration::from_secs(1);
/// A flow whose end was not captured is ended after this.
const LINGER: Duration = Duration::from_secs(1);

/// Which front takes the flows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Which {
    Platform,
    Irc,
}

impl std::str::FromStr for Which {
    type Err = String;
    fn from_str(text: &str) -> Result<Which, String> {
        match text {
            "platform" => Ok(Which::Platform),
            "irc" => Ok(Which::Irc),
            _ => Err("platform or irc is wanted".to_owned()),
        }
    }
}

/// Counts of how flows ended.
#[derive(Default)]
struct Tally {
    flows: usize,
    served: usize,
}

/// Replays a file's flows and prints what came of each.
pub fn replay(file: &Path, config: Config, which: Which, port: Option<u16>) -> Result<(), String> {
    let bytes = read_file(file).map_err(|error| error.to_string())?;
    let segments = pcap::read_segments(&bytes).map_err(|bad| format!("{}: {bad}", file.display()))?;
    let listen = match which {
        Which::Platform => config.platform.as_ref().map(|p| p.listen),
        Which::Irc => config.irc.as_ref().map(|irc| irc.listen),
    };
    let listen = listen.ok_or_else(|| format!("the configuration has no {which:?} front"))?;
    let port = port.unwrap_or(listen.port());
    let flows = flows::reassemble_flows(&segments, port);
    if flows.is_empty() {
        return Err(format!("{}: no flow to port {port}; --port names another", file.display()));
    }
    let endpoints = config.platform.iter().flat_map(|p| &p.known.endpoints);
    for server in endpoints.chain(config.irc.iter().flat_map(|irc| &irc.endpoints)) {
        // Danger: a replay must never reach a server in service.
        if !server.address.parse().is_ok_and(|at: SocketAddr| at.ip().is_loopback()) {
            return Err(format!(
                "host {} is at {}: a replay uses loopback hosts only",
                server.name, server.address
            ));
        }
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("cannot start: {e}"))?;
    tokio::task::LocalSet::new().block_on(&runtime, run(flows, config, which))
}

async fn run(flows: Vec<Flow>, config: Config, which: Which) -> Result<(), String> {
    let fronts = Fronts::open(&config);
    let factory = match (which, config.irc) {
        (Which::Irc, Some(irc)) => irc_factory(irc.setup),
        _ => platform_factory(),
    };
    fronts.driver.observe();
    tokio::task::spawn_local(fronts.driver.clone().keep_time());
    let gate = TcpListener::bind("127.0.0.1:0").await.map_err(|e| format!("no loopback: {e}"))?;
    let gate = Rc::new(Mutex::new(gate));
    let (first, begin) = (flows.iter().map(|flow| flow.start).min().unwrap_or(0), Instant::now());
    let fronts = Rc::new(fronts);
    let tally = Rc::new(RefCell::new(Tally::default()));
    let tasks: Vec<_> = flows
        .into_iter()
        .map(|flow| {
            let (fronts, gate, tally, factory) =
                (fronts.clone(), gate.clone(), tally.clone(), factory.clone());
            tokio::task::spawn_local(async move {
                let told = play(&fronts, &gate, &flow, which, &factory, begin, first).await;
                let mut tally = tally.borrow_mut();
                tally.flows += 1;
                tally.served += usize::from(told.as_ref().is_ok_and(|told| told.contains("served")));
                let at = (flow.start - first) as f64 / 1e6;
                println!("{} at {at:.3} s: {}", flow.from, told.unwrap_or_else(|problem| problem));
            })
        })
        .collect();
    for task in tasks {
        // A task that panicked has said so itself.
        let _ = task.await;
    }
    let tally = tally.borrow();
    println!("{} flows, {} served", tally.flows, tally.served);
    Ok(())
}

/// Plays one flow, and says what came of it.
async fn play(
    fronts: &Fronts,
    gate: &Mutex<TcpListener>,
    flow: &Flow,
    which: Which,
    factory: &ConnectionFactory,
    begin: Instant,
    first: u64,
) -> Result<String, String> {
    let when = |at: u64| begin + Duration::from_micros(at.saturating_sub(first));
    sleep_until(when(flow.start)).await;
    let problem = |e: std::io::Error| format!("not played: {e}");
    let (stream, connection) = {
        // One after the other, so that each finds its own other end.
        let gate = gate.lock().await;
        let stream = TcpStream::connect(gate.local_addr().map_err(problem)?).await.map_err(problem)?;
        let (other, _) = gate.accept().await.map_err(problem)?;
        let pool = match which {
            Which::Platform => fronts.platform,
            Which::Irc => fronts.irc,
        };
        (stream, connection::start(&fronts.driver, pool.ok_or("no such front")?, other, factory()))
    };
    let (mut reader, mut writer) = stream.into_split();
    let (lines, mut told) = tokio::sync::watch::channel(0);
    let reading = tokio::task::spawn_local(async move {
        let (mut piece, mut count) = ([0; 4096], 0);
        while let Ok(n) = reader.read(&mut piece).await {
            if n == 0 {
                break;
            }
            count += n;
            lines.send_modify(|lines| *lines += piece[..n].iter().filter(|&&b| b == b'\n').count());
        }
        count
    });
    // Danger: servers here may be slower than those recorded. What was sent after an answer, an end above all,
    // would overtake it and mean something else. One that answers with fewer lines is waited for once.
    let mut in_step = true;
    let mut wait = async |at: u64| {
        sleep_until(when(at)).await;
        let wanted = flow.answers_before(at);
        if in_step {
            in_step = timeout(IN_STEP, told.wait_for(|lines| *lines >= wanted)).await.is_ok();
        }
    };
    let mut cut = false;
    for FlowChunk { at, bytes } in &flow.chunks {
        wait(*at).await;
        if writer.write_all(bytes).await.is_err() {
            cut = true;
            break;
        }
    }
    match flow.end {
        Some(FlowEnd { at, close: Close::Orderly }) => {
            wait(at).await;
            let _ = writer.shutdown().await;
        }
        Some(FlowEnd { at, close: Close::Reset }) => {
            wait(at).await;
            let _ = socket2::SockRef::from(writer.as_ref()).set_linger(Some(Duration::ZERO));
            drop(writer);
        }
        None => {
            tokio::time::sleep(LINGER).await;
            let _ = writer.shutdown().await;
        }
    }
    let back = timeout(PATIENCE, reading).await.ok().and_then(Result::ok);
    let mut told = fronts.driver.seen(connection).iter().map(Seen::to_string).collect::<Vec<_>>().join(", ");
    if told.is_empty() {
        told = "never asked".to_owned();
    }
    match back {
        Some(back) => told += &format!("; {back} bytes back"),
        None => told += "; not ended by the front",
    }
    if cut {
        told += "; ended before all was sent";
    }
    if let Some(gap) = flow.gap {
        told += &format!("; gap in the capture after {gap} bytes, the rest left out");
    }
    if flow.began_before_capture {
        told += "; its begin was not captured";
    }
    Ok(told)
}

impl Driver {
    /// What was seen of a connection.
    fn seen(&self, connection: crate::routing::ConnectionId) -> Vec<Seen> {
        self.observed.borrow().as_ref().and_then(|seen| seen.get(&connection).cloned()).unwrap_or_default()
    }
}
