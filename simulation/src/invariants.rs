//! Invariants of the balancers. They are checked on attempts and answers as clients and servers observe them,
//! and not on the balancers' state.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;

use crate::deployment::{VirtualDuration, VirtualTime};
use connection_balancer::routing::ConnectionId;

/// Duration after the notification that a server is draining within which attempts may still be sent to it.
const DRAIN_GRACE_DURATION: VirtualDuration = 250_000;
/// Highest allowed number of attempts of a request.
const MAX_ATTEMPTS: u32 = 6;
/// The load of new connections at a server in slow start is limited to a multiple of the rate at which its
/// capacity grows, over a window. This is the multiple.
const OVERLOAD_FACTOR: f64 = 4.0;
/// Duration of that window.
const OVERLOAD_WINDOW: VirtualDuration = 3_000_000;
/// Load in mean connections that random variation may add to that limit.
const OVERLOAD_TOLERANCE: f64 = 3.0;
/// Duration of slow start.
const SLOW_START_SECONDS: f64 = 8.8;

/// Identifies a connection at a balancer, and thereby a client's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionRef {
    /// Index of the balancer.
    pub balancer: usize,
    /// Number of the balancer's process.
    pub incarnation: u64,
    /// ID of the connection within that process.
    pub connection: ConnectionId,
}

impl fmt::Display for ConnectionRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ConnectionRef { balancer, incarnation, connection } = self;
        write!(f, "connection {} of balancer {balancer}, incarnation {incarnation}", connection.0)
    }
}

/// Observations of a request.
#[derive(Debug, Default)]
struct RequestRecord {
    attempts: u32,
    attempt_in_flight: bool,
    /// Final answers to the client: established, rejected or failed.
    answers: u32,
}

/// A server in the endpoint list of one balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ListedServer {
    balancer: usize,
    server: usize,
}

/// A setup of a connection at a server in slow start.
#[derive(Clone, Copy, Debug)]
struct SlowStartSetup {
    begun_at: VirtualTime,
    /// Load of the connection, 1 being about the mean.
    load: f64,
}

/// Checks the invariants during one day.
#[derive(Debug, Default)]
pub struct InvariantChecker {
    requests: BTreeMap<ConnectionRef, RequestRecord>,
    /// Time at which each balancer was notified that a server is draining or gone.
    draining_since: BTreeMap<ListedServer, VirtualTime>,
    /// Setups within the last [`OVERLOAD_WINDOW`] at each server in slow start, by the server's index.
    slow_start_setups: BTreeMap<usize, VecDeque<SlowStartSetup>>,
    /// Descriptions of the violations, each beginning with its time in microseconds.
    pub violations: Vec<String>,
}

impl InvariantChecker {
    /// Records that the endpoint list of a balancer shows a server as ready, or as draining or gone.
    pub fn on_server_listed(&mut self, now: VirtualTime, balancer: usize, server: usize, is_ready: bool) {
        let listed = ListedServer { balancer, server };
        if is_ready {
            self.draining_since.remove(&listed);
        } else {
            self.draining_since.entry(listed).or_insert(now);
        }
    }

    /// Records that a balancer has restarted. The new process does not know earlier notifications.
    pub fn on_balancer_restarted(&mut self, balancer: usize) {
        self.draining_since.retain(|listed, _| listed.balancer != balancer);
    }

    /// Records that an attempt is opened, and checks the limits on attempts.
    pub fn on_attempt_opened(&mut self, now: VirtualTime, request: ConnectionRef, server: usize) {
        let record = self.requests.entry(request).or_default();
        record.attempts += 1;
        if record.attempt_in_flight {
            self.violations.push(format!("{now}: two simultaneous attempts of {request}"));
        }
        record.attempt_in_flight = true;
        if record.attempts > MAX_ATTEMPTS {
            self.violations.push(format!(
                "{now}: {} attempts of {request} exceed the limit of {MAX_ATTEMPTS}",
                record.attempts
            ));
        }
        if record.answers > 0 {
            self.violations.push(format!("{now}: an attempt of {request} after its answer"));
        }
        let draining_since = self.draining_since.get(&ListedServer { balancer: request.balancer, server });
        if draining_since.is_some_and(|at| now - at > DRAIN_GRACE_DURATION) {
            self.violations
                .push(format!("{now}: {request} sent to server {server}, which is listed as draining"));
        }
    }

    /// Records that the setup of a connection begins at a server in slow start, and checks that the server is
    /// not overloaded. `warmth` is the share of `capacity` that the server has; `capacity` is in mean
    /// connections.
    pub fn on_slow_start_setup(
        &mut self,
        now: VirtualTime,
        server: usize,
        warmth: f64,
        capacity: f64,
        load: f64,
    ) {
        let recent_setups = self.slow_start_setups.entry(server).or_default();
        recent_setups.push_back(SlowStartSetup { begun_at: now, load });
        while recent_setups.front().is_some_and(|setup| now - setup.begun_at > OVERLOAD_WINDOW) {
            recent_setups.pop_front();
        }
        let load_in_window: f64 = recent_setups.iter().map(|setup| setup.load).sum();
        let window_seconds = OVERLOAD_WINDOW as f64 / 1e6;
        let limit =
            OVERLOAD_FACTOR * warmth * capacity / SLOW_START_SECONDS * window_seconds + OVERLOAD_TOLERANCE;
        if load_in_window > limit {
            self.violations.push(format!(
                "{now}: new load {load_in_window:.1} at server {server} exceeds its slow start limit of {limit:.1}"
            ));
        }
    }

    /// Returns the number of attempts opened so far for a request.
    pub fn attempts(&self, request: ConnectionRef) -> u32 {
        self.requests.get(&request).map_or(0, |record| record.attempts)
    }

    /// Records that the attempt in flight has ended or was closed.
    pub fn on_attempt_ended(&mut self, request: ConnectionRef) {
        if let Some(record) = self.requests.get_mut(&request) {
            record.attempt_in_flight = false;
        }
    }

    /// Records that a request was answered: established, rejected or failed. A second answer is a violation.
    pub fn on_answer(&mut self, now: VirtualTime, request: ConnectionRef) {
        let record = self.requests.entry(request).or_default();
        record.answers += 1;
        if record.answers > 1 {
            self.violations.push(format!("{now}: {} answers to {request}, 1 is allowed", record.answers));
        }
    }

    /// Records that a client's longest wait has ended, by which time an answer is required.
    pub fn on_wait_ended(&mut self, now: VirtualTime, request: ConnectionRef) {
        if self.requests.get(&request).is_none_or(|record| record.answers == 0) {
            self.violations
                .push(format!("{now}: {request} was not answered within the client's longest wait"));
        }
    }
}
