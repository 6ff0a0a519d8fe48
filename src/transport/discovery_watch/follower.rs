//! Follows one pool's endpoint list by calls that discovery holds until something changes.

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

/// How long discovery holds a call while nothing changes. Its changes count as known 6 s later at the latest,
/// and a watch that has fallen silent looks like one on which nothing happens; so a call is soon over.
const HOLD_TIMEOUT: Duration = Duration::from_secs(3);
/// A call for the whole list has failed without an answer after this long, and one that was held after this
/// long beyond its hold. A call that is still in turn at a crowded discovery is the nearest to being answered,
/// and one given up is served all the same, for nobody; where all give up a little too early nothing that
/// discovery does reaches anyone.
const MAX_ANSWER_TIME: Duration = Duration::from_secs(5);
/// Wait after an answer that came at once with nothing new: a discovery that does not hold calls would be
/// called without end. The next call has to come within 200 ms, or it is no more the same watch.
const MIN_CALL_INTERVAL: Duration = Duration::from_millis(100);

/// A call that has no answer yet.
struct PendingCall {
    future: Pin<Box<dyn Future<Output = FinishedCall>>>,
    /// When it is made.
    called_at: Instant,
    /// When it counts as silent without an answer; none for a call that is not held, which just fails.
    silent_at: Option<Instant>,
}

/// What becomes of a call.
enum CallEnd {
    Finished(FinishedCall),
    /// It has no answer, though one is due.
    Silent,
}

/// Follows one pool's endpoint list.
pub(super) struct EndpointListFollower {
    reducer: ReducerHandle,
    pool: PoolId,
    discovery: SocketAddr,
    /// The connection of the last answer, for the next call.
    connection: Option<DiscoveryConnection>,
    /// A held call that counts as silent. Where discovery is slow for all alike, it is the first to be answered.
    late_call: Option<PendingCall>,
    /// Generation of the list that is held, if one is.
    generation: Option<u64>,
    /// How long discovery is to hold the next call.
    hold: Duration,
    /// When discovery last sent a list, or when the watch was started.
    answered_at: Instant,
}

impl EndpointListFollower {
    /// A follower that has the list of this generation, if of any.
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
            late_call: None,
            generation,
            // Where a list is held already, a call that is not held is one more for a discovery that a whole
            // fleet calls as it restarts.
            hold: if generation.is_some() { HOLD_TIMEOUT } else { Duration::ZERO },
            answered_at: Instant::now(),
        }
    }

    /// Follows the list for ever. Once requested the watch goes on until a call fails; then the reducer
    /// decides when to try again.
    pub(super) async fn run(mut self, mut requested: mpsc::Receiver<()>) {
        while self.wait_for_request(&mut requested).await {
            let error = self.follow_until_error().await;
            log_event!(LogEvent::EndpointListFailed { error: &error, age: self.answered_at.elapsed() });
            // What was requested before this failure has been done.
            while requested.try_recv().is_ok() {}
            self.reducer.feed(Input::EndpointWatchLost { pool: self.pool, failure: error.watch_failure() });
        }
    }

    /// Waits until the watch is to be opened, or a late call is answered after all. Returns false if neither
    /// can happen any more.
    async fn wait_for_request(&mut self, requested: &mut mpsc::Receiver<()>) -> bool {
        loop {
            tokio::select! {
                request = requested.recv() => return request.is_some(),
                finished = late_answer(&mut self.late_call) => {
                    if let Some(finished) = self.accept_late_answer(finished) {
                        // It has a list, so there is no error.
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
                    self.late_call = Some(call);
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
        let silent_at = (!hold.is_zero()).then(|| called_at + hold + micros(timing.answer_timeout));
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
            (Some(_), Duration::ZERO) => micros(timing.reopening_timeout),
            (Some(_), hold) => hold + MAX_ANSWER_TIME,
        }
    }

    /// Waits until a call ends or is silent; a late call that is answered meanwhile is taken for it.
    async fn wait_for_answer(&mut self, call: &mut PendingCall) -> CallEnd {
        loop {
            tokio::select! {
                finished = &mut call.future => return CallEnd::Finished(finished),
                () = silence(call.silent_at) => return CallEnd::Silent,
                finished = late_answer(&mut self.late_call) => {
                    if let Some(finished) = self.accept_late_answer(finished) {
                        return CallEnd::Finished(finished);
                    }
                }
            }
        }
    }

    /// The end of the late call, if it is of use: the watch that was opened in its place may have a newer list.
    fn accept_late_answer(&mut self, finished: FinishedCall) -> Option<FinishedCall> {
        self.late_call = None;
        let is_of_use = finished.result.as_ref().is_ok_and(|update| !self.is_outdated(update));
        is_of_use.then_some(finished)
    }

    /// Notes that the watch has fallen silent, and returns after which delay it is to be opened anew. The call
    /// for that is not held: while nothing changes, a held call looks like one that has fallen silent as well.
    fn on_silent(&mut self, called_at: Instant) -> Duration {
        log_event!(LogEvent::EndpointListRetried { age: self.answered_at.elapsed() });
        self.feed_silence(called_at);
        self.hold = Duration::ZERO;
        let timing = self.reducer.endpoint_watch_timing(self.pool);
        micros(timing.max_reopening_delay).mul_f64(random_fraction())
    }

    fn feed_silence(&self, called_at: Instant) {
        let called_ago = Micros(called_at.elapsed().as_micros() as u64);
        self.reducer.feed(Input::EndpointWatchSilent { pool: self.pool, called_ago });
    }

    /// Applies what a call has brought.
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
            self.late_call = None;
            self.apply_update(update, called_at).await;
        }
        Ok(())
    }

    /// Whether an update changes a list older than the one that is held: it comes from another incarnation of
    /// discovery.
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

/// The end of a late call; never where there is none.
async fn late_answer(late_call: &mut Option<PendingCall>) -> FinishedCall {
    match late_call {
        Some(call) => call.future.as_mut().await,
        None => pending().await,
    }
}

/// The moment in which a call counts as silent; never where it has none.
async fn silence(at: Option<Instant>) {
    match at {
        Some(at) => sleep_until(at).await,
        None => pending().await,
    }
}

fn micros(span: Micros) -> Duration {
    Duration::from(span)
}

/// From 0 to 1, different in each process and at each call.
fn random_fraction() -> f64 {
    RandomState::new().hash_one(()) as f64 / u64::MAX as f64
}
