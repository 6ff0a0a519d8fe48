//! The watch on discovery's endpoint list: asked for by the reducer, renewed as long as it holds.

use std::collections::HashMap;
use std::hash::{BuildHasher, RandomState};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::{timeout, Instant};

use super::commands::WatchOrder;
use super::driver::Driver;
use crate::protocol::http::{self, EndpointListUpdate};
use crate::routing::Input;

/// A call waits so long for something new. Danger: what discovery has to tell counts as told 6 s later at the
/// latest, and a watch that has fallen silent looks like one on which nothing happens; so it is soon over.
const HOLD: Duration = Duration::from_secs(3);
/// Beyond that, a call that has had no answer after this long has failed, whether it was to wait or not. Danger: a
/// call that is still in turn at a crowded discovery is the nearest to being answered, and one given up is served all
/// the same, for nobody; where all give up a little too early nothing that discovery does reaches anyone.
const LATE: Duration = Duration::from_millis(2000);
/// One that has had none may have fallen silent, and is made anew within so long. Danger: what it misses counts as
/// told 6 s after it fell silent, and all of a tier may find that out in one instant.
const ANEW: Duration = Duration::from_millis(800);

/// Danger: discovery that answers at once with nothing new, in place of waiting, would be called without end. The next
/// call has to come within 200 ms, or it is no more the same watch.
const PACE: Duration = Duration::from_millis(100);

/// A connection to discovery, kept from call to call: the next has to come within 200 ms.
struct Line {
    stream: TcpStream,
    read: Vec<u8>,
}

/// Keeps a watch for each pool, as the hub asks for them.
pub async fn keep(driver: Rc<Driver>, mut orders: mpsc::UnboundedReceiver<WatchOrder>) {
    let mut watches: HashMap<usize, (mpsc::Sender<()>, JoinHandle<()>)> = HashMap::new();
    while let Some(order) = orders.recv().await {
        match order {
            WatchOrder::Again { pool } => {
                if let Some((watch, _)) = watches.get(&pool) {
                    // A watch that is asked for already needs no second word.
                    let _ = watch.try_send(());
                }
            }
            WatchOrder::At { pool, discovery, generation } => {
                let (sender, wanted) = mpsc::channel(1);
                // The reducer asked for it with the first list, before there was anyone to ask.
                let _ = sender.try_send(());
                let following = follow(driver.clone(), pool, discovery, generation, wanted);
                let watch = (sender, tokio::task::spawn_local(following));
                if let Some((_, old)) = watches.insert(pool, watch) {
                    old.abort();
                }
            }
        }
    }
}

/// Follows a endpoint list for ever, from this generation on or else from the whole list.
async fn follow(
    driver: Rc<Driver>,
    pool: usize,
    discovery: SocketAddr,
    mut generation: Option<u64>,
    mut wanted: mpsc::Receiver<()>,
) {
    let mut line = None;
    // Danger: where a list is held already, a call that may not wait is one more for a discovery that a whole fleet
    // asks as it restarts.
    let mut hold = if generation.is_some() { HOLD } else { Duration::ZERO };
    while wanted.recv().await.is_some() {
        // Once asked for, the watch goes on until a call fails; then the reducer says when to ask again.
        while wanted.try_recv().is_ok() {}
        let mut anew = false;
        loop {
            let called = Instant::now();
            let call = call(&mut line, discovery, generation.map(|generation| (generation, hold)));
            let answered = timeout(HOLD + LATE, call).await;
            if answered.is_err() && !anew {
                crate::log!(warn, "routing table: no answer in time, asked anew");
                (line, anew) = (None, true);
                tokio::time::sleep(ANEW.mul_f64(chance())).await;
                continue;
            }
            match answered.unwrap_or_else(|_| Err("no answer in time".to_owned())) {
                // Danger: changes of a list older than the one that is held are of another life of discovery.
                Ok(EndpointListUpdate { generation: new, whole: false, .. })
                    if generation.is_some_and(|old| new < old) =>
                {
                    crate::log!(
                        warn,
                        "routing table: generation {new} after a later one, asked for as a whole"
                    );
                    (generation, hold) = (None, Duration::ZERO);
                }
                Ok(EndpointListUpdate { generation: new, whole, endpoints }) => {
                    let nothing = endpoints.is_empty() && generation == Some(new);
                    (generation, hold, anew) = (Some(new), HOLD, false);
                    driver.feed(Input::EndpointsUpdated { pool, whole, endpoints });
                    if nothing && called.elapsed() < PACE {
                        tokio::time::sleep(PACE).await;
                    }
                }
                Err(problem) => {
                    crate::log!(warn, "routing table: {problem}");
                    line = None;
                    break driver.feed(Input::EndpointWatchLost { pool });
                }
            }
        }
    }
}

/// From 0 to 1, another at each process and time.
fn chance() -> f64 {
    RandomState::new().hash_one(()) as f64 / u64::MAX as f64
}

async fn call(
    line: &mut Option<Line>,
    discovery: SocketAddr,
    from: Option<(u64, Duration)>,
) -> Result<EndpointListUpdate, String> {
    let fresh = line.is_none();
    let answer = match exchange(line, discovery, from).await {
        // Danger: a kept connection may have been closed by discovery between two calls. But where it answered,
        // whatever that was, to call again at once would be twice the load, just when it has too much.
        Err(_) if !fresh => {
            *line = None;
            exchange(line, discovery, from).await
        }
        result => result,
    }?;
    match answer.status {
        200 => {}
        status => return Err(format!("discovery answered {status}")),
    }
    match http::parse_endpoint_list(&answer.body) {
        Ok(EndpointListUpdate { whole: false, .. }) if from.is_none() => {
            Err("discovery: changes where the whole list was asked for".to_owned())
        }
        endpoint_list_update => endpoint_list_update.map_err(|fault| fault.to_string()),
    }
}

async fn exchange(
    line: &mut Option<Line>,
    discovery: SocketAddr,
    from: Option<(u64, Duration)>,
) -> Result<http::Response, String> {
    let broken = |e: std::io::Error| format!("discovery: {e}");
    if line.is_none() {
        let stream = TcpStream::connect(discovery).await.map_err(broken)?;
        let _ = stream.set_nodelay(true);
        *line = Some(Line { stream, read: Vec::new() });
    }
    let Some(open) = line.as_mut() else { return Err("no connection".to_owned()) };
    let from =
        from.map(|(generation, hold)| http::ChangesQuery { generation, hold_ms: hold.as_millis() as u64 });
    let request = http::encode_request(&discovery.to_string(), from);
    open.stream.write_all(&request).await.map_err(broken)?;
    let answer = loop {
        let ended = open.stream.read_buf(&mut open.read).await.map_err(broken)? == 0;
        if let Some(answer) = http::parse_response(&open.read, ended).map_err(|fault| fault.to_string())? {
            break answer;
        }
        if ended {
            return Err("discovery hung up".to_owned());
        }
    };
    open.read.drain(..answer.taken);
    if answer.close {
        *line = None;
    }
    Ok(answer)
}
