//! Follows one pool's endpoint list by long polls. Discovery holds each call until the list changes or the
//! hold expires.
//!
//! A held call is silent if it has no answer within its hold and an additional answer timeout. The
//! watch is then reopened after a random delay with a call that is not held. The silent call remains open,
//! and its answer is used unless it is older than the current list. A call that is not held and times out is
//! also reported as silent, and ends the watch with an error.

use std::future::{pending, Future};
use std::hash::{BuildHasher, RandomState};
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::{sleep, sleep_until, Instant};

use super::connection::{ChangesSince, DiscoveryConnection, FinishedCall};
use super::error::DiscoveryError;
use super::failed_call::FailedCall;
use crate::protocol::http::EndpointListUpdate;
use crate::routing::{Endpoint, EndpointWatchTiming, Input, Lifecycle, PoolId};
use crate::transport::log_event::{log_event, LogEvent};
use crate::transport::reducer::ReducerHandle;
use crate::Micros;

/// How long discovery holds a call while the list does not change. A change must be known when the lease of
/// the list expires (6 s), and until the hold expires a silent watch cannot be distinguished from a watch
/// without changes.
const HOLD_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout of a call for a snapshot, and of a held call in addition to its hold. The timeout is long
/// because an overloaded discovery still serves cancelled calls: with short timeouts all its work would be
/// wasted.
const MAX_ANSWER_TIME: Duration = Duration::from_secs(5);
/// Pause after an answer without changes that arrives faster than this. The pause limits the rate of calls to
/// a discovery that does not hold calls. With more than 200 ms the next call would count as a new watch.
const MIN_CALL_INTERVAL: Duration = Duration::from_millis(100);

/// A call that has no answer yet.
struct PendingCall {
    future: Pin<Box<dyn Future<Output = FinishedCall>>>,
    /// Time at which the call starts.
    called_at: Instant,
    /// Time from which the unanswered call counts as silent; none for a call that is not held.
    silent_at: Option<Instant>,
}

/// The outcome of waiting for a call.
enum CallOutcome {
    Finished(Box<FinishedCall>),
    /// The call counts as silent, and is still pending.
    Silent,
}

/// Follows one pool's endpoint list.
pub(super) struct EndpointListFollower {
    reducer: ReducerHandle,
    pool: PoolId,
    discovery: SocketAddr,
    /// The connection of the last answer, which the next call reuses.
    connection: Option<DiscoveryConnection>,
    /// A silent call, which a slow discovery may answer before the call that replaced it.
    silent_call: Option<PendingCall>,
    /// Generation of the list that this process has; none if it has no list.
    generation: Option<u64>,
    /// How long discovery holds the next call.
    hold: Duration,
    /// Time of discovery's last answer, or of the start of the watch.
    answered_at: Instant,
}

impl EndpointListFollower {
    /// Creates a follower for a list of which this process has the given generation, or no list yet.
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
            // If this process has a list, its first call can be held. When a fleet restarts, discovery then
            // serves one call fewer for each balancer.
            hold: if generation.is_some() { HOLD_TIMEOUT } else { Duration::ZERO },
            answered_at: Instant::now(),
        }
    }

    /// Follows the list. Returns only when the channel of requests is closed. A watch continues until a call
    /// fails. The reducer then decides when the watch is reopened.
    pub(super) async fn run(mut self, mut requested: mpsc::Receiver<()>) {
        while self.wait_for_request(&mut requested).await {
            let failed = self.follow_until_failure().await;
            // Requests from before this failure were satisfied by the watch that has just ended.
            while requested.try_recv().is_ok() {}
            self.report_failure(&failed);
        }
    }

    /// Waits until the watch is requested, or the silent call gets an answer that is accepted. Returns false
    /// if the channel of requests is closed.
    async fn wait_for_request(&mut self, requested: &mut mpsc::Receiver<()>) -> bool {
        loop {
            tokio::select! {
                request = requested.recv() => return request.is_some(),
                finished = wait_for_silent_call(&mut self.silent_call) => {
                    self.stop_if_replaced().await;
                    if let Some(finished) = self.accept_silent_call_answer(finished) {
                        // An accepted answer is never a failure.
                        let _ = self.apply_result(finished).await;
                        return true;
                    }
                }
            }
        }
    }

    /// Never returns if the configuration names another discovery: what this one answers must not be applied any
    /// more. The task is then about to be aborted.
    async fn stop_if_replaced(&self) {
        if !self.reducer.is_watched_at(self.pool, self.discovery) {
            pending::<()>().await;
        }
    }

    fn report_failure(&self, failed: &FailedCall) {
        let FailedCall { error, exchange, waited } = failed;
        let failure = failed.watch_failure();
        let age = self.answered_at.elapsed();
        log_event!(LogEvent::EndpointListFailed { error, failure, waited: *waited, age });
        let polled_ago = micros_since(exchange.started_at);
        self.reducer.feed(Input::EndpointWatchLost { pool: self.pool, failure, polled_ago });
    }

    async fn follow_until_failure(&mut self) -> FailedCall {
        let mut delay = Duration::ZERO;
        loop {
            let mut call = self.start_call(delay);
            delay = Duration::ZERO;
            let outcome = self.wait_for_answer(&mut call).await;
            self.stop_if_replaced().await;
            match outcome {
                CallOutcome::Finished(finished) => {
                    if let Err(failed) = self.apply_result(*finished).await {
                        return failed;
                    }
                }
                CallOutcome::Silent => {
                    delay = self.on_silent(call.called_at);
                    self.silent_call = Some(call);
                }
            }
        }
    }

    /// Starts a call after a delay.
    fn start_call(&mut self, delay: Duration) -> PendingCall {
        let max_response_bytes = self.reducer.max_response_bytes();
        let open_new = || DiscoveryConnection::new(self.discovery, max_response_bytes);
        let connection = self.connection.take().unwrap_or_else(open_new);
        let since = self.generation.map(|generation| ChangesSince { generation, hold: self.hold });
        let hold = since.map_or(Duration::ZERO, |since| since.hold);
        let timing = self.reducer.endpoint_watch_timing(self.pool);
        let called_at = Instant::now() + delay;
        let silent_at = (!hold.is_zero()).then(|| called_at + hold + Duration::from(timing.answer_timeout));
        let call_timeout = self.call_timeout(&timing);
        let future = Box::pin(async move {
            sleep(delay).await;
            connection.call_with_timeout(since, call_timeout).await
        });
        PendingCall { future, called_at, silent_at }
    }

    /// Returns the timeout of the next call.
    fn call_timeout(&self, timing: &EndpointWatchTiming) -> Duration {
        match (self.generation, self.hold) {
            (None, _) => MAX_ANSWER_TIME,
            (Some(_), Duration::ZERO) => Duration::from(timing.reopening_timeout),
            (Some(_), hold) => hold + MAX_ANSWER_TIME,
        }
    }

    /// Waits until a call finishes or counts as silent. If the earlier silent call gets an answer that is
    /// accepted, returns that answer instead.
    async fn wait_for_answer(&mut self, call: &mut PendingCall) -> CallOutcome {
        loop {
            tokio::select! {
                finished = &mut call.future => return CallOutcome::Finished(Box::new(finished)),
                () = wait_until_silent(call.silent_at) => return CallOutcome::Silent,
                finished = wait_for_silent_call(&mut self.silent_call) => {
                    if let Some(finished) = self.accept_silent_call_answer(finished) {
                        return CallOutcome::Finished(Box::new(finished));
                    }
                }
            }
        }
    }

    /// Returns the answer of the silent call, or none if it is an error or older than the current list.
    fn accept_silent_call_answer(&mut self, finished: FinishedCall) -> Option<FinishedCall> {
        self.silent_call = None;
        let is_current = finished.result.as_ref().is_ok_and(|update| !self.is_outdated(update));
        is_current.then_some(finished)
    }

    /// Reports that the watch is silent, and returns the delay before it is reopened. The next call is not
    /// held, because a held call without changes cannot be distinguished from a silent call.
    fn on_silent(&mut self, called_at: Instant) -> Duration {
        let (waited, age) = (called_at.elapsed(), self.answered_at.elapsed());
        log_event!(LogEvent::EndpointListRetried { waited, age });
        self.feed_silence(called_at);
        self.hold = Duration::ZERO;
        let timing = self.reducer.endpoint_watch_timing(self.pool);
        Duration::from(timing.max_reopening_delay).mul_f64(random_fraction())
    }

    fn feed_silence(&self, called_at: Instant) {
        let polled_ago = micros_since(called_at);
        self.reducer.feed(Input::EndpointWatchSilent { pool: self.pool, polled_ago });
    }

    /// Applies the list of a successful call, or returns the failed call.
    async fn apply_result(&mut self, finished: FinishedCall) -> Result<(), FailedCall> {
        let FinishedCall { connection, called_at, result } = finished;
        let update = match result {
            Ok(update) => update,
            Err(failed) => {
                if matches!(failed.error, DiscoveryError::TimedOut { .. }) {
                    self.feed_silence(called_at);
                }
                return Err(failed);
            }
        };
        self.connection = Some(connection);
        if self.is_outdated(&update) {
            let current = self.generation.unwrap_or_default();
            log_event!(LogEvent::EndpointListOutdated { generation: update.generation, current });
            self.generation = None;
            self.hold = Duration::ZERO;
        } else {
            self.silent_call = None;
            self.apply_update(update, called_at).await;
        }
        Ok(())
    }

    /// Returns whether an update is a delta of a list that is older than the current list. Such an update was
    /// sent by another incarnation of discovery.
    fn is_outdated(&self, update: &EndpointListUpdate) -> bool {
        !update.is_snapshot && self.generation.is_some_and(|current| update.generation < current)
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

fn micros_since(at: Instant) -> Micros {
    Micros(at.elapsed().as_micros() as u64)
}

/// Waits until the silent call finishes. Never returns if there is no silent call.
async fn wait_for_silent_call(silent_call: &mut Option<PendingCall>) -> FinishedCall {
    match silent_call {
        Some(call) => call.future.as_mut().await,
        None => pending().await,
    }
}

/// Waits until a call counts as silent. Never returns for a call that is not held.
async fn wait_until_silent(silent_at: Option<Instant>) {
    match silent_at {
        Some(silent_at) => sleep_until(silent_at).await,
        None => pending().await,
    }
}

/// Returns a random number from 0 to 1, which differs between processes and between calls.
fn random_fraction() -> f64 {
    RandomState::new().hash_one(()) as f64 / u64::MAX as f64
}
