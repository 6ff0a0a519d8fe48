//! Invariants of the balancers, checked on what was sent and answered rather than on their own state.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;

use crate::deployment::VirtualTime;
use connection_balancer::routing::ConnectionId;

/// Time after the notification that a server is draining from which on it must not get an attempt.
const DRAIN_GRACE: VirtualTime = 250_000;
/// The most attempts of a request.
const MAX_ATTEMPTS: u32 = 6;
/// New load that a server in slow start can take, as a multiple of the rate at which it warms up...
const OVERLOAD_FACTOR: f64 = 4.0;
/// ...over this window...
const OVERLOAD_WINDOW: VirtualTime = 3_000_000;
/// ...and a little more by chance.
const OVERLOAD_TOLERANCE: f64 = 3.0;
/// Time of a slow start.
const SLOW_START_SECONDS: f64 = 8.8;

/// A connection at a balancer, and thereby a client's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionRef {
    /// Index of the balancer.
    pub balancer: usize,
    /// Number of its process.
    pub incarnation: u64,
    /// The process's id of the connection.
    pub connection: ConnectionId,
}

impl fmt::Display for ConnectionRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ConnectionRef { balancer, incarnation, connection } = self;
        write!(f, "connection {} of balancer {balancer}, incarnation {incarnation}", connection.0)
    }
}

/// What was observed of a request.
#[derive(Debug, Default)]
struct RequestRecord {
    attempts: u32,
    attempt_in_flight: bool,
    answers: u32,
}

/// A server as one balancer knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct KnownServer {
    balancer: usize,
    server: usize,
}

/// A connection that was set up at a server in slow start.
#[derive(Clone, Copy, Debug)]
struct SlowStartSetup {
    at: VirtualTime,
    load: f64,
}

/// Watches the invariants during one day.
#[derive(Debug, Default)]
pub struct InvariantChecker {
    requests: BTreeMap<ConnectionRef, RequestRecord>,
    /// When each balancer was notified that a server is draining or gone.
    draining_since: BTreeMap<KnownServer, VirtualTime>,
    /// Recent setups at servers in slow start.
    slow_start_setups: BTreeMap<usize, VecDeque<SlowStartSetup>>,
    /// Descriptions of what was violated.
    pub violations: Vec<String>,
}

impl InvariantChecker {
    /// A balancer was notified that a server is ready, or that it is draining or gone.
    pub fn on_server_listed(&mut self, now: VirtualTime, balancer: usize, server: usize, is_ready: bool) {
        let known = KnownServer { balancer, server };
        if is_ready {
            self.draining_since.remove(&known);
        } else {
            self.draining_since.entry(known).or_insert(now);
        }
    }

    /// A balancer has restarted, and has lost the notifications of its earlier process.
    pub fn on_balancer_restarted(&mut self, balancer: usize) {
        self.draining_since.retain(|known, _| known.balancer != balancer);
    }

    /// An attempt is opened.
    pub fn on_attempt_opened(&mut self, now: VirtualTime, request: ConnectionRef, server: usize) {
        let record = self.requests.entry(request).or_default();
        record.attempts += 1;
        if record.attempt_in_flight {
            self.violations.push(format!("{now}: two attempts of {request} at once"));
        }
        record.attempt_in_flight = true;
        if record.attempts > MAX_ATTEMPTS {
            self.violations.push(format!("{now}: {} attempts of {request}", record.attempts));
        }
        if record.answers > 0 {
            self.violations.push(format!("{now}: an attempt of {request} after its answer"));
        }
        let draining_since = self.draining_since.get(&KnownServer { balancer: request.balancer, server });
        if draining_since.is_some_and(|at| now - at > DRAIN_GRACE) {
            self.violations.push(format!("{now}: {request} sent to server {server}, known to be draining"));
        }
    }

    /// A connection of this load begins to be set up at a server that has only this share of its capacity, which is
    /// counted in mean connections.
    pub fn on_slow_start_setup(
        &mut self,
        now: VirtualTime,
        server: usize,
        warmth: f64,
        capacity: f64,
        load: f64,
    ) {
        let recent = self.slow_start_setups.entry(server).or_default();
        recent.push_back(SlowStartSetup { at: now, load });
        while recent.front().is_some_and(|setup| now - setup.at > OVERLOAD_WINDOW) {
            recent.pop_front();
        }
        let sum: f64 = recent.iter().map(|setup| setup.load).sum();
        let window_seconds = OVERLOAD_WINDOW as f64 / 1e6;
        let limit =
            OVERLOAD_FACTOR * warmth * capacity / SLOW_START_SECONDS * window_seconds + OVERLOAD_TOLERANCE;
        if sum > limit {
            self.violations.push(format!("{now}: server {server} overloaded, {sum:.1} of {limit:.1}"));
        }
    }

    /// Attempts opened so far for a request.
    pub fn attempts(&self, request: ConnectionRef) -> u32 {
        self.requests.get(&request).map_or(0, |record| record.attempts)
    }

    /// The attempt in flight has ended or was closed.
    pub fn on_attempt_ended(&mut self, request: ConnectionRef) {
        if let Some(record) = self.requests.get_mut(&request) {
            record.attempt_in_flight = false;
        }
    }

    /// The request was established, rejected or failed.
    pub fn on_answer(&mut self, now: VirtualTime, request: ConnectionRef) {
        let record = self.requests.entry(request).or_default();
        record.answers += 1;
        if record.answers > 1 {
            self.violations.push(format!("{now}: {} answers to {request}", record.answers));
        }
    }

    /// The client has waited for its full time: it must have had an answer.
    pub fn on_wait_ended(&mut self, now: VirtualTime, request: ConnectionRef) {
        if self.requests.get(&request).is_none_or(|record| record.answers == 0) {
            self.violations.push(format!("{now}: {request} had no answer in its time"));
        }
    }
}
