//! Follows one pool's endpoint list by long polls, which discovery holds until something changes.
//!
//! A held call without an answer in time is silent. The watch is then opened again with a call that is not
//! held, after a random delay. The silent call stays open, and its answer is used unless the list at hand is
//! newer. A call that is not held and times out is reported as silent too, and ends the watch with an error.

use std::future::{pending, Future};
use std::hash::{BuildHasher, RandomState};
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::{sleep, sleep_until, Instant};

use super::connection::{DiscoveryConnection, FinishedCall, Since};
use super::error::DiscoveryError;
use crate::protocol::http::EndpointListUpdate;
use crate::routing::{Endpoint, EndpointWatchTiming, Input, Lifecycle, PoolId};
use crate::transport::log_event::{log_event, LogEvent};
use crate::transport::reducer::ReducerHandle;
use crate::Micros;

/// How long discovery holds a call while nothing changes. A change must be known when the lease of the list
/// ends (6 s), and a silent watch looks like one without changes until the hold is over.
const HOLD_TIMEOUT: Duration = Duration::from_secs(3);
/// Time-out of a call for a snapshot, and of a held call beyond its hold. It is generous, since an overloaded
/// discovery still serves calls that were cancelled: short time-outs would waste all its work.
const MAX_ANSWER_TIME: Duration = Duration::from_secs(5);
/// Wait after an immediate answer without changes. It limits the calls to a discovery that does not hold
/// them; beyond 200 ms the next call would count as a new watch.
const MIN_CALL_INTERVAL: Duration = Duration::from_millis(100);

/// A call without an answer so far.
struct PendingCall {
    future: Pin<Box<dyn Future<Output = FinishedCall>>>,
    /// When it is made.
    called_at: Instant,
    /// When it counts as silent without an answer; none for a call that is not held.
    silent_at: Option<Instant>,
}

/// The end of a call.
enum CallEnd {
    Finished(FinishedCall),
    /// It has no answer in time.
    Silent,
}

/// Follows one pool's endpoint list.
pub(super) struct EndpointListFollower {
    reducer: ReducerHandle,
    pool: PoolId,
    discovery: SocketAddr,
    /// The connection of the last answer, for the next call.
    connection: Option<DiscoveryConnection>,
    /// A silent call, which a slow discovery may answer before the call that replaced it.
    silent_call: Option<PendingCall>,
    /// Generation of the list that this process has, if it has one.
    generation: Option<u64>,
    /// How long discovery holds the next call.
    hold: Duration,
    /// When discovery last answered, or when the watch was started.
    answered_at: Instant,
}

impl EndpointListFollower {
    /// A follower of a list of which this process has the given generation, if any.
    pub(super) fn new(
        reducer: ReducerHandle,
        pool: PoolId,
        discovery: SocketAddr,
        generation: Option<u64>,
    ) -> EndpointListFollower {
        EndpointListFollower {
            reducer,
            pool,
            discovery,
            connection: None,
            silent_call: None,
            generation,
            // With a list at hand the first call can be held, which spares discovery one call of each
            // balancer when a fleet restarts.
            hold: if generation.is_some() { HOLD_TIMEOUT } else { Duration::ZERO },
            answered_at: Instant::now(),
        }
    }

    /// Follows the list for ever. A watch continues until a call fails; then the reducer decides when to open
    /// it again.
    pub(super) async fn run(mut self, mut requested: mpsc::Receiver<()>) {
        while self.wait_for_request(&mut requested).await {
            let error = self.follow_until_error().await;
            log_event!(LogEvent::EndpointListFailed { error: &error, age: self.answered_at.elapsed() });
            // Requests from before this failure are satisfied.
            while requested.try_recv().is_ok() {}
            self.reducer.feed(Input::EndpointWatchLost { pool: self.pool, failure: error.watch_failure() });
        }
    }

    /// Waits until the watch is requested, or the silent call is answered after all. Returns false once no
    /// request can come any more.
    async fn wait_for_request(&mut self, requested: &mut mpsc::Receiver<()>) -> bool {
        loop {
            tokio::select! {
                request = requested.recv() => return request.is_some(),
                finished = silent_call_answer(&mut self.silent_call) => {
                    if let Some(finished) = self.accept_silent_call_answer(finished) {
                        // An accepted answer is never an error.
                        let _ = self.take_answer(finished).await;
                        return true;
                    }
                }
            }
        }
    }

    async fn follow_until_error(&mut self) -> DiscoveryError {
        let mut delay = Duration::ZERO;
        loop {
            let mut call = self.begin_call(delay);
            delay = Duration::ZERO;
            match self.wait_for_answer(&mut call).await {
                CallEnd::Finished(finished) => {
                    if let Err(error) = self.take_answer(finished).await {
                        return error;
                    }
                }
                CallEnd::Silent => {
                    delay = self.on_silent(call.called_at);
                    self.silent_call = Some(call);
                }
            }
        }
    }

    /// Begins a call after a delay.
    fn begin_call(&mut self, delay: Duration) -> PendingCall {
        let connection = self.connection.take().unwrap_or_else(|| DiscoveryConnection::new(self.discovery));
        let since = self.generation.map(|generation| Since { generation, hold: self.hold });
        let hold = since.map_or(Duration::ZERO, |since| since.hold);
        let timing = self.reducer.endpoint_watch_timing(self.pool);
        let called_at = Instant::now() + delay;
        let silent_at = (!hold.is_zero()).then(|| called_at + hold + Duration::from(timing.answer_timeout));
        let limit = self.call_limit(&timing);
        let future = Box::pin(async move {
            sleep(delay).await;
            connection.call_within(since, limit).await
        });
        PendingCall { future, called_at, silent_at }
    }

    /// How long the next call may take.
    fn call_limit(&self, timing: &EndpointWatchTiming) -> Duration {
        match (self.generation, self.hold) {
            (None, _) => MAX_ANSWER_TIME,
            (Some(_), Duration::ZERO) => Duration::from(timing.reopening_timeout),
            (Some(_), hold) => hold + MAX_ANSWER_TIME,
        }
    }

    /// Waits until a call ends or is silent. An answer of the earlier silent call is returned in its place.
    async fn wait_for_answer(&mut self, call: &mut PendingCall) -> CallEnd {
        loop {
            tokio::select! {
                finished = &mut call.future => return CallEnd::Finished(finished),
                () = silence(call.silent_at) => return CallEnd::Silent,
                finished = silent_call_answer(&mut self.silent_call) => {
                    if let Some(finished) = self.accept_silent_call_answer(finished) {
                        return CallEnd::Finished(finished);
                    }
                }
            }
        }
    }

    /// The answer of the silent call, unless it is an error or older than the list at hand.
    fn accept_silent_call_answer(&mut self, finished: FinishedCall) -> Option<FinishedCall> {
        self.silent_call = None;
        let is_current = finished.result.as_ref().is_ok_and(|update| !self.is_outdated(update));
        is_current.then_some(finished)
    }

    /// Reports that the watch is silent, and returns the delay before it is opened again. The next call is
    /// not held, since a held call without changes looks like a silent one.
    fn on_silent(&mut self, called_at: Instant) -> Duration {
        log_event!(LogEvent::EndpointListRetried { age: self.answered_at.elapsed() });
        self.feed_silence(called_at);
        self.hold = Duration::ZERO;
        let timing = self.reducer.endpoint_watch_timing(self.pool);
        Duration::from(timing.max_reopening_delay).mul_f64(random_fraction())
    }

    fn feed_silence(&self, called_at: Instant) {
        let called_ago = Micros(called_at.elapsed().as_micros() as u64);
        self.reducer.feed(Input::EndpointWatchSilent { pool: self.pool, called_ago });
    }

    /// Applies the result of a call.
    async fn take_answer(&mut self, finished: FinishedCall) -> Result<(), DiscoveryError> {
        let FinishedCall { connection, called_at, result } = finished;
        let update = match result {
            Ok(update) => update,
            Err(error) => {
                if matches!(error, DiscoveryError::TimedOut) {
                    self.feed_silence(called_at);
                }
                return Err(error);
            }
        };
        self.connection = Some(connection);
        if self.is_outdated(&update) {
            log_event!(LogEvent::EndpointListOutdated { generation: update.generation });
            self.generation = None;
            self.hold = Duration::ZERO;
        } else {
            self.silent_call = None;
            self.apply_update(update, called_at).await;
        }
        Ok(())
    }

    /// Whether an update is a delta of an older list than the one at hand: another incarnation of discovery
    /// sent it.
    fn is_outdated(&self, update: &EndpointListUpdate) -> bool {
        !update.is_snapshot && self.generation.is_some_and(|held| update.generation < held)
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
        let EndpointListUpdate { generation, is_snapshot, endpoints } = update;
        let is_unchanged = endpoints.is_empty() && self.generation == Some(generation);
        self.log_update(generation, &endpoints);
        self.answered_at = Instant::now();
        self.generation = Some(generation);
        self.hold = HOLD_TIMEOUT;
        self.reducer.feed(Input::EndpointsUpdated { pool: self.pool, is_snapshot, endpoints });
        if is_unchanged && called_at.elapsed() < MIN_CALL_INTERVAL {
            sleep(MIN_CALL_INTERVAL).await;
        }
    }
}

/// Waits for the end of the silent call, or for ever if there is none.
async fn silent_call_answer(silent_call: &mut Option<PendingCall>) -> FinishedCall {
    match silent_call {
        Some(call) => call.future.as_mut().await,
        None => pending().await,
    }
}

/// Waits until a call counts as silent, or for ever if it never does.
async fn silence(at: Option<Instant>) {
    match at {
        Some(at) => sleep_until(at).await,
        None => pending().await,
    }
}

/// A random number from 0 to 1, different in each process and at each call.
fn random_fraction() -> f64 {
    RandomState::new().hash_one(()) as f64 / u64::MAX as f64
}
