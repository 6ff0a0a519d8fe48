//! Probes of servers: asked for by the reducer, each with one answer to it. A connection that has carried one
//! is kept for the next, since each new one costs its server more than the probe does.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{timeout, Instant};

use super::commands::Probe;
use super::driver::Driver;
use crate::protocol::lines::{LineBuffer, NextLine};
use crate::protocol::{platform, MAX_LINE_LENGTH};
use crate::routing::{Input, ProbeEnd, MOST_PROBES};
use crate::ServerId;

/// A connection that has carried a probe is kept so long for the next: servers close idle ones sooner or later.
const KEPT: Duration = Duration::from_secs(4);
const PIECE: usize = 512;

/// Where a probe's connection goes: a server's address and its number, which another takes over with another address.
type Place = (ServerId, String);
type Kept = HashMap<Place, (TcpStream, Instant)>;

/// Carries out probes as the hub asks for them.
pub async fn keep(driver: Rc<Driver>, mut orders: mpsc::UnboundedReceiver<Probe>) {
    let mut kept = Kept::new();
    let mut out = JoinSet::new();
    loop {
        let oldest = kept.values().map(|(_, since)| *since + KEPT).min();
        let stale = async {
            match oldest {
                Some(at) => tokio::time::sleep_until(at).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            order = orders.recv() => {
                let Some(order) = order else { return };
                let before = kept.remove(&(order.server, order.address.clone())).map(|(stream, _)| stream);
                out.spawn_local(carry_out(driver.clone(), order, before));
            }
            Some(done) = out.join_next() => {
                let room = kept.len() + out.len() < MOST_PROBES;
                if let (Ok(Some((place, stream))), true) = (done, room) {
                    kept.insert(place, (stream, Instant::now()));
                }
            }
            () = stale => kept.retain(|_, (_, since)| since.elapsed() < KEPT),
        }
    }
}

/// One probe; its connection can be kept if it was answered in full.
async fn carry_out(driver: Rc<Driver>, order: Probe, kept: Option<TcpStream>) -> Option<(Place, TcpStream)> {
    let Probe { pool, server, address, names, wait } = order;
    let answered = timeout(wait, ask(&address, kept)).await;
    let (end, stream) = match answered {
        Ok(Some((line, stream))) => {
            let end = platform::parse_probe_answer(&line, &names);
            (end, Some(stream).filter(|_| matches!(end, ProbeEnd::Answered(_))))
        }
        _ => (ProbeEnd::Nothing, None),
    };
    driver.feed(Input::ProbeCompleted { pool, server, end });
    stream.map(|stream| ((server, address), stream))
}

/// Asks, and again on a new connection where the kept one was closed meanwhile.
async fn ask(address: &str, kept: Option<TcpStream>) -> Option<(Vec<u8>, TcpStream)> {
    if let Some(stream) = kept {
        if let Some(answered) = exchange(stream).await {
            return Some(answered);
        }
    }
    let stream = TcpStream::connect(address).await.ok()?;
    let _ = stream.set_nodelay(true);
    exchange(stream).await
}

async fn exchange(mut stream: TcpStream) -> Option<(Vec<u8>, TcpStream)> {
    stream.write_all(platform::PROBE_REQUEST).await.ok()?;
    let (mut lines, mut piece) = (LineBuffer::default(), [0; PIECE]);
    loop {
        let n = stream.read(&mut piece).await.ok().filter(|&n| n > 0)?;
        lines.push(&piece[..n]);
        match lines.next_line(MAX_LINE_LENGTH) {
            // Danger: what comes after its answer would be taken for that of the next probe.
            NextLine::Line(line) if lines.is_empty() => return Some((line, stream)),
            NextLine::Incomplete => {}
            _ => return None,
        }
    }
}
