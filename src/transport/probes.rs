//! Probes of servers' load. The reducer requests each probe, and each probe feeds back one result.
//!
//! The connection of a probe is cached for the next probe of the same server, because a new connection costs
//! a server more than the probe itself.

use std::collections::HashMap;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{timeout, Instant};

use super::commands::ProbeCommand;
use super::reducer::ReducerHandle;
use crate::protocol::lines::{LineBuffer, NextLine};
use crate::protocol::{platform, MAX_LINE_LENGTH};
use crate::routing::{Input, ProbeOutcome, MAX_PROBES};
use crate::ServerId;

/// How long an idle connection is cached. The time is limited because servers close idle connections after a
/// while.
const CACHE_TIMEOUT: Duration = Duration::from_secs(4);
const READ_BUFFER_BYTES: usize = 512;

/// Target of a probe. The address alone does not identify the server, because another server may take over
/// the address.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ProbeTarget {
    server: ServerId,
    address: String,
}

/// A connection whose probe is complete, with the target that it is connected to.
struct IdleConnection {
    target: ProbeTarget,
    stream: TcpStream,
}

/// An idle connection for the next probe.
struct CachedConnection {
    stream: TcpStream,
    cached_at: Instant,
}

type ConnectionCache = HashMap<ProbeTarget, CachedConnection>;

/// A load report, and the connection on which it was received.
struct ProbeReport {
    line: Vec<u8>,
    stream: TcpStream,
}

/// Carries out probes by the reducer's commands. Returns only when the channel of commands is closed.
pub(super) async fn run_probes(reducer: ReducerHandle, mut commands: mpsc::UnboundedReceiver<ProbeCommand>) {
    let mut cache = ConnectionCache::new();
    let mut in_flight = JoinSet::new();
    loop {
        let next_expiry = cache.values().map(|cached| cached.cached_at + CACHE_TIMEOUT).min();
        tokio::select! {
            command = commands.recv() => {
                let Some(command) = command else { return };
                let target = ProbeTarget { server: command.server, address: command.address.clone() };
                let cached = cache.remove(&target).map(|cached| cached.stream);
                in_flight.spawn_local(carry_out_probe(reducer.clone(), command, cached));
            }
            Some(finished) = in_flight.join_next() => {
                let has_capacity = cache.len() + in_flight.len() < MAX_PROBES;
                if let (Ok(Some(IdleConnection { target, stream })), true) = (finished, has_capacity) {
                    cache.insert(target, CachedConnection { stream, cached_at: Instant::now() });
                }
            }
            () = wait_for_expiry(next_expiry) => {
                cache.retain(|_, cached| cached.cached_at.elapsed() < CACHE_TIMEOUT);
            }
        }
    }
}

async fn wait_for_expiry(expiry: Option<Instant>) {
    match expiry {
        Some(expiry) => tokio::time::sleep_until(expiry).await,
        None => std::future::pending().await,
    }
}

/// Carries out one probe. Returns its connection if the connection can be cached, which requires a complete
/// report.
async fn carry_out_probe(
    reducer: ReducerHandle,
    command: ProbeCommand,
    cached: Option<TcpStream>,
) -> Option<IdleConnection> {
    let ProbeCommand { pool, server, address, load_report_fields, timeout: probe_timeout } = command;
    let report = timeout(probe_timeout, request_report(&address, cached)).await;
    let (outcome, stream) = match report {
        Ok(Some(ProbeReport { line, stream })) => {
            let outcome = platform::parse_probe_answer(&line, &load_report_fields);
            (outcome, Some(stream).filter(|_| matches!(outcome, ProbeOutcome::Answered(_))))
        }
        _ => (ProbeOutcome::NoAnswer, None),
    };
    reducer.feed(Input::ProbeCompleted { pool, server, outcome });
    stream.map(|stream| IdleConnection { target: ProbeTarget { server, address }, stream })
}

/// Requests a report over the cached connection, and over a new connection if that fails.
async fn request_report(address: &str, cached: Option<TcpStream>) -> Option<ProbeReport> {
    if let Some(stream) = cached {
        if let Some(report) = exchange_report(stream).await {
            return Some(report);
        }
    }
    let stream = TcpStream::connect(address).await.ok()?;
    let _ = stream.set_nodelay(true);
    exchange_report(stream).await
}

async fn exchange_report(mut stream: TcpStream) -> Option<ProbeReport> {
    stream.write_all(platform::PROBE_REQUEST).await.ok()?;
    let mut lines = LineBuffer::default();
    let mut buffer = [0; READ_BUFFER_BYTES];
    loop {
        let length = stream.read(&mut buffer).await.ok().filter(|&length| length > 0)?;
        lines.push(&buffer[..length]);
        match lines.next_line(MAX_LINE_LENGTH) {
            // On a cached connection, bytes after the report would be read as the report of the next probe.
            NextLine::Line(line) if lines.is_empty() => return Some(ProbeReport { line, stream }),
            NextLine::Incomplete => {}
            _ => return None,
        }
    }
}
