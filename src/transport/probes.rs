//! Probes of servers' load: requested by the reducer, each with one result.
//!
//! The connection of a probe is cached for the next, since a new connection costs a server more than the probe.

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
use crate::routing::{Input, ProbeEnd, MAX_PROBES};
use crate::ServerId;

/// How long an idle connection is cached: servers close idle connections after a while.
const CACHE_TIMEOUT: Duration = Duration::from_secs(4);
const READ_BUFFER_BYTES: usize = 512;

/// The target of a probe. The address alone does not identify it: another server may take the address over.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ProbeTarget {
    server: ServerId,
    address: String,
}

/// A connection whose probe is complete.
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

/// A load report, and the connection that it came over.
struct ProbeReport {
    line: Vec<u8>,
    stream: TcpStream,
}

/// Carries out probes by the reducer's commands, for ever.
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
            Some(done) = in_flight.join_next() => {
                let has_capacity = cache.len() + in_flight.len() < MAX_PROBES;
                if let (Ok(Some(IdleConnection { target, stream })), true) = (done, has_capacity) {
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

/// Carries out one probe. Returns its connection if it can be cached, which takes a complete report.
async fn carry_out_probe(
    reducer: ReducerHandle,
    command: ProbeCommand,
    cached: Option<TcpStream>,
) -> Option<IdleConnection> {
    let ProbeCommand { pool, server, address, load_names, timeout: probe_timeout } = command;
    let report = timeout(probe_timeout, request_report(&address, cached)).await;
    let (end, stream) = match report {
        Ok(Some(ProbeReport { line, stream })) => {
            let end = platform::parse_probe_answer(&line, &load_names);
            (end, Some(stream).filter(|_| matches!(end, ProbeEnd::Answered(_))))
        }
        _ => (ProbeEnd::NoAnswer, None),
    };
    reducer.feed(Input::ProbeCompleted { pool, server, end });
    stream.map(|stream| IdleConnection { target: ProbeTarget { server, address }, stream })
}

/// Requests a report over the cached connection; if that fails, over a new one.
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
            // Bytes after the report would be read as the report of the next probe.
            NextLine::Line(line) if lines.is_empty() => return Some(ProbeReport { line, stream }),
            NextLine::Incomplete => {}
            _ => return None,
        }
    }
}
