//! Watches on discovery's endpoint lists: requested by the reducer, and renewed as long as they hold.

use std::collections::HashMap;
use std::hash::{BuildHasher, RandomState};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::{timeout, Instant};

use super::commands::WatchCommand;
use super::driver::Driver;
use super::log_event::{log_event, LogEvent};
use crate::protocol::http::HttpError;
use crate::protocol::http::{self, EndpointListUpdate};
use crate::protocol::json::DecodeError;
use crate::routing::{Endpoint, EndpointWatchTiming, Input, Lifecycle, PoolId};
use crate::{Micros, WatchFailure};

/// How long discovery holds a call while nothing changes. Its changes count as known 6 s later at the latest,
/// and a watch that has fallen silent looks like one on which nothing happens; so a call is soon over.
const HOLD_TIMEOUT: Duration = Duration::from_secs(3);
/// A call for the whole list has failed without an answer after this long. A call that is still in turn at a
/// crowded discovery is the nearest to being answered, and one given up is served all the same, for nobody;
/// where all give up a little too early nothing that discovery does reaches anyone.
const WHOLE_LIST_TIMEOUT: Duration = Duration::from_secs(5);
/// The same for a call that opens a silent watch anew: what that missed counts as known before long.
const REOPENING_TIMEOUT: Duration = Duration::from_secs(2);
/// Wait after an answer that came at once with nothing new: a discovery that does not hold calls would be
/// called without end. The next call has to come within 200 ms, or it is no more the same watch.
const MIN_CALL_INTERVAL: Duration = Duration::from_millis(100);

/// The HTTP status of an answer that holds the list.
const STATUS_OK: u16 = 200;

/// Why a call to discovery failed.
#[derive(Debug, Error)]
pub(super) enum DiscoveryError {
    /// There was no answer in time.
    #[error("no answer in time")]
    TimedOut,
    /// The connection was not established in time.
    #[error("no connection in time")]
    NotConnected,
    /// The connection cannot be established.
    #[error("discovery: {0}")]
    Connect(#[source] io::Error),
    /// The connection broke.
    #[error("discovery: {0}")]
    Socket(#[from] io::Error),
    /// Discovery closed the connection before its answer was complete.
    #[error("discovery hung up")]
    Closed,
    /// The answer is not the list.
    #[error("discovery answered {status}")]
    Status {
        /// Its HTTP status.
        status: u16,
    },
    /// The answer cannot be read.
    #[error("{0}")]
    Malformed(#[source] HttpError),
    /// The endpoint list in the answer cannot be read.
    #[error("{0}")]
    InvalidList(#[source] DecodeError),
    /// The answer holds changes, and there is no list that they could apply to.
    #[error("discovery: changes where the whole list was asked for")]
    UnexpectedChanges,
}

impl DiscoveryError {
    /// What the error shows of discovery. Only what nothing but its absence explains counts as that: other
    /// errors of a connect may be this machine's own, and pass in a moment.
    fn watch_failure(&self) -> WatchFailure {
        match self {
            DiscoveryError::NotConnected => WatchFailure::Unreachable,
            DiscoveryError::Connect(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                WatchFailure::Unreachable
            }
            DiscoveryError::TimedOut => WatchFailure::Unanswered,
            _ => WatchFailure::Rejected,
        }
    }
}

/// The task of a pool's watch.
struct Watch {
    /// Where the watch is requested after it was lost.
    requests: mpsc::Sender<()>,
    task: JoinHandle<()>,
}

/// Keeps a watch for each pool, as the commands come.
pub(super) async fn run_watches(driver: Rc<Driver>, mut commands: mpsc::UnboundedReceiver<WatchCommand>) {
    let mut watches: HashMap<PoolId, Watch> = HashMap::new();
    while let Some(command) = commands.recv().await {
        match command {
            WatchCommand::Resume { pool } => {
                if let Some(watch) = watches.get(&pool) {
                    // Where a request waits already, a second one changes nothing.
                    let _ = watch.requests.try_send(());
                }
            }
            WatchCommand::Start { pool, discovery, generation } => {
                let watch = start_watch(&driver, pool, discovery, generation);
                if let Some(old) = watches.insert(pool, watch) {
                    old.task.abort();
                }
            }
        }
    }
}

fn start_watch(driver: &Rc<Driver>, pool: PoolId, discovery: SocketAddr, generation: Option<u64>) -> Watch {
    let (requests, requested) = mpsc::channel(1);
    // The reducer requested it with the first list, before there was a task to take the request. There is
    // room for one.
    let _ = requests.try_send(());
    // Where a list is held already, a call that is not held is one more for a discovery that a whole fleet
    // calls as it restarts.
    let hold = if generation.is_some() { HOLD_TIMEOUT } else { Duration::ZERO };
    let follower = EndpointListFollower {
        driver: driver.clone(),
        pool,
        connection: DiscoveryConnection { discovery, open: None },
        generation,
        hold,
        answered_at: Instant::now(),
    };
    Watch { requests, task: tokio::task::spawn_local(follower.run(requested)) }
}

/// Follows one pool's endpoint list.
struct EndpointListFollower {
    driver: Rc<Driver>,
    pool: PoolId,
    connection: DiscoveryConnection,
    /// Generation of the list that is held, if one is.
    generation: Option<u64>,
    /// How long discovery is to hold the next call.
    hold: Duration,
    /// When discovery last sent a list, or when the watch was started.
    answered_at: Instant,
}

impl EndpointListFollower {
    /// Follows the list for ever. Once requested the watch goes on until a call fails; then the reducer
    /// decides when to try again.
    async fn run(mut self, mut requested: mpsc::Receiver<()>) {
        while requested.recv().await.is_some() {
            while requested.try_recv().is_ok() {}
            let error = self.follow_until_error().await;
            log_event!(LogEvent::EndpointListFailed { error: &error, age: self.answered_at.elapsed() });
            self.connection.open = None;
            self.driver.feed(Input::EndpointWatchLost { pool: self.pool, failure: error.watch_failure() });
        }
    }

    async fn follow_until_error(&mut self) -> DiscoveryError {
        let mut reopened = false;
        loop {
            let called_at = Instant::now();
            let since = self.generation.map(|generation| Since { generation, hold: self.hold });
            match timeout(self.call_timeout(), self.connection.call(since)).await {
                Err(_) if !reopened => {
                    reopened = true;
                    self.on_silent(called_at).await;
                }
                Err(_) if self.connection.open.is_none() => return DiscoveryError::NotConnected,
                Err(_) => return DiscoveryError::TimedOut,
                Ok(Err(error)) => return error,
                Ok(Ok(update)) if self.is_outdated(&update) => {
                    log_event!(LogEvent::EndpointListOutdated { generation: update.generation });
                    self.generation = None;
                    self.hold = Duration::ZERO;
                }
                Ok(Ok(update)) => {
                    reopened = false;
                    self.apply_update(update, called_at).await;
                }
            }
        }
    }

    /// How long the next call may take.
    fn call_timeout(&self) -> Duration {
        match (self.generation, self.hold) {
            (None, _) => WHOLE_LIST_TIMEOUT,
            (Some(_), Duration::ZERO) => REOPENING_TIMEOUT,
            (Some(_), hold) => hold + Duration::from_micros(self.timing().answer_timeout),
        }
    }

    fn timing(&self) -> EndpointWatchTiming {
        self.driver.endpoint_watch_timing(self.pool)
    }

    /// Gives a call without an answer up, and waits until it is to be made anew. That one is not held: while
    /// nothing changes, a held call that is answered looks like one that has fallen silent as well.
    async fn on_silent(&mut self, called_at: Instant) {
        log_event!(LogEvent::EndpointListRetried { age: self.answered_at.elapsed() });
        let called_ago = called_at.elapsed().as_micros() as Micros;
        self.driver.feed(Input::EndpointWatchSilent { pool: self.pool, called_ago });
        self.connection.open = None;
        self.hold = Duration::ZERO;
        let max_delay = Duration::from_micros(self.timing().max_reopening_delay);
        tokio::time::sleep(max_delay.mul_f64(random_fraction())).await;
    }

    /// Whether an update changes a list older than the one that is held: it comes from another incarnation of
    /// discovery.
    fn is_outdated(&self, update: &EndpointListUpdate) -> bool {
        !update.whole && self.generation.is_some_and(|held| update.generation < held)
    }

    fn log_update(&self, generation: u64, endpoints: &[Endpoint]) {
        if endpoints.is_empty() {
            return;
        }
        let draining = endpoints.iter().filter(|endpoint| endpoint.lifecycle == Lifecycle::Draining).count();
        let age = self.answered_at.elapsed();
        log_event!(LogEvent::EndpointListUpdated { generation, entries: endpoints.len(), draining, age });
    }

    async fn apply_update(&mut self, update: EndpointListUpdate, called_at: Instant) {
        let EndpointListUpdate { generation, whole, endpoints } = update;
        let is_unchanged = endpoints.is_empty() && self.generation == Some(generation);
        self.log_update(generation, &endpoints);
        self.answered_at = Instant::now();
        self.generation = Some(generation);
        self.hold = HOLD_TIMEOUT;
        self.driver.feed(Input::EndpointsUpdated { pool: self.pool, whole, endpoints });
        if is_unchanged && called_at.elapsed() < MIN_CALL_INTERVAL {
            tokio::time::sleep(MIN_CALL_INTERVAL).await;
        }
    }
}

/// From 0 to 1, different in each process and at each call.
fn random_fraction() -> f64 {
    RandomState::new().hash_one(()) as f64 / u64::MAX as f64
}

/// What a call asks for: the changes since a generation.
#[derive(Clone, Copy, Debug)]
struct Since {
    generation: u64,
    /// How long discovery holds the call while there are none.
    hold: Duration,
}

/// The connection to discovery, kept from call to call: the next has to come within 200 ms.
struct DiscoveryConnection {
    discovery: SocketAddr,
    open: Option<OpenConnection>,
}

struct OpenConnection {
    stream: TcpStream,
    /// Bytes that were read and belong to no answer yet.
    received: Vec<u8>,
}

impl DiscoveryConnection {
    /// Asks for the changes since a generation, or else for the whole list. Not cancellation-safe: after a
    /// call that was given up the connection is to be closed.
    async fn call(&mut self, since: Option<Since>) -> Result<EndpointListUpdate, DiscoveryError> {
        let was_open = self.open.is_some();
        let answer = match self.exchange(since).await {
            // Discovery may have closed a kept connection between two calls. But where it answered, whatever
            // that was, to call again at once would be twice the load, just when it has too much.
            Err(_) if was_open => {
                self.open = None;
                self.exchange(since).await
            }
            result => result,
        }?;
        if answer.status != STATUS_OK {
            return Err(DiscoveryError::Status { status: answer.status });
        }
        let update = http::parse_endpoint_list(&answer.body).map_err(DiscoveryError::InvalidList)?;
        if !update.whole && since.is_none() {
            return Err(DiscoveryError::UnexpectedChanges);
        }
        Ok(update)
    }

    /// Sends one request, and reads its answer.
    async fn exchange(&mut self, since: Option<Since>) -> Result<http::Response, DiscoveryError> {
        let open = match self.open.take() {
            Some(open) => open,
            None => OpenConnection::connect(self.discovery).await?,
        };
        let open = self.open.insert(open);
        let since = since.map(|since| http::ChangesQuery {
            generation: since.generation,
            hold_ms: since.hold.as_millis() as u64,
        });
        let request = http::encode_request(&self.discovery.to_string(), since);
        open.stream.write_all(&request).await?;
        let answer = open.read_answer().await?;
        if answer.close {
            self.open = None;
        }
        Ok(answer)
    }
}

impl OpenConnection {
    async fn connect(discovery: SocketAddr) -> Result<OpenConnection, DiscoveryError> {
        let stream = TcpStream::connect(discovery).await.map_err(DiscoveryError::Connect)?;
        let _ = stream.set_nodelay(true);
        Ok(OpenConnection { stream, received: Vec::new() })
    }

    async fn read_answer(&mut self) -> Result<http::Response, DiscoveryError> {
        loop {
            let ended = self.stream.read_buf(&mut self.received).await? == 0;
            let answer = http::parse_response(&self.received, ended).map_err(DiscoveryError::Malformed)?;
            if let Some(answer) = answer {
                self.received.drain(..answer.taken);
                return Ok(answer);
            }
            if ended {
                return Err(DiscoveryError::Closed);
            }
        }
    }
}
