//! Slow start: all balancers together fill a server that has just started no faster than it warms up.
//!
//! **What is decided.** When a server that is warming up may receive its next attempt from this balancer, and
//! with which share its ceiling counts until it is warm.
//!
//! **Inputs.** The server's start, from the endpoint list; the settings of slow start (the initial share of
//! the capacity; the duration; the overload factor and the window, see
//! [`Settings::slow_start_overload_factor`]); the number of balancers; this balancer's peak occupancy; the
//! number of connections at a full server according to load reports.
//!
//! **Warmth.** The share of its capacity, from 0 to 1, that a server has at least. It rises linearly from the
//! initial share at the server's start to 1 after the duration of a slow start. Free slots are computed from
//! the ceiling times the warmth.
//!
//! **Rule.** Attempts are paced at the overload factor times the server's size, over the duration of a slow
//! start. The pacing interval is the time between two attempts of this balancer at that rate. The wait after
//! each attempt is the pacing interval divided by the warmth. The size, in connections of this balancer, is
//! the larger of two values:
//!
//! - half of the peak of occupied slots over the peak number of serving servers, or half of one connection
//!   divided among all balancers if that is more;
//! - the connections at a full server according to load reports, plus a margin for connections that all
//!   balancers may send above it in a window.
//!
//! The first wait is a random fraction of a full wait, because balancers that learn of a server at the same
//! time must not send their first attempts at the same time. When the interval becomes shorter because more
//! is known, a wait that has begun becomes shorter in proportion. All waits end when the server is warm.
//!
//! If the interval is longer than a whole slow start, this balancer's part of the server is less than one
//! connection. Selection then ignores the wait (migration and the last resort still obey it), and admits the
//! server with a probability: the time since the last selection, at most one window, times the number of
//! serving servers times the warmth, over the interval. All balancers together then send attempts at the
//! paced rate on average.
//!
//! **Why.** A cold server has all its slots free and would attract every connection. It fails when it
//! receives more connections within the window than the expected number plus three standard deviations plus
//! three connections. The margin is half of the deviations plus the three connections, less one attempt for
//! each balancer. The size is based on peak occupancy, not on current occupancy: otherwise, the fewer servers
//! were left, the more slowly new servers would be filled.

use rand::Rng;

use super::fault_window::FleetOccupancy;
use crate::types::{LearnedState, Micros, Settings, Time};

/// Fraction of a server's size that all balancers together use while the size is only estimated from the
/// connections of this balancer.
const ESTIMATE_SAFETY_FACTOR: f64 = 0.5;
/// Margin that all balancers together may send in a window above the expected number of connections, in
/// standard deviations (the square root of the expected number).
const MARGIN_DEVIATIONS: f64 = 3.0 / 2.0;
/// Further margin, in connections.
const MARGIN_CONNECTIONS: f64 = 3.0;
/// Least number of attempts of one balancer at a warm server within the duration of a slow start. It bounds
/// the pacing interval.
const MIN_ATTEMPTS: f64 = 0.01;
/// Lowest warmth. Waits are divided by the warmth.
const MIN_WARMTH: f64 = 0.01;

/// Time between two attempts of this balancer at a server in slow start, in microseconds, before the division
/// by the server's warmth.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct PacingInterval(f64);

/// Estimated size of servers, from which slow starts are paced.
#[derive(Clone, Copy, Debug)]
pub struct SlowStartBudget {
    /// Highest number of slots occupied at all servers, and highest number of serving servers, so far.
    peak: FleetOccupancy,
    /// This balancer's part of the connections at a full server, by load reports; 0 without reports.
    connections_at_capacity: f64,
    last_selection: Time,
}

impl SlowStartBudget {
    /// Creates a budget without an estimate of the size of servers.
    pub fn new(now: Time) -> SlowStartBudget {
        SlowStartBudget { peak: FleetOccupancy::default(), connections_at_capacity: 0.0, last_selection: now }
    }

    /// Returns this balancer's part of the connections at a full server, by load reports; 0 without reports.
    pub fn connections_at_capacity(&self) -> f64 {
        self.connections_at_capacity
    }

    /// Sets this balancer's part of the connections at a full server, by load reports.
    pub fn set_connections_at_capacity(&mut self, connections: f64) {
        self.connections_at_capacity = connections;
    }

    /// Updates the peak with the balancer's current occupancy.
    pub fn record_occupancy(&mut self, fleet: FleetOccupancy) {
        self.peak.occupied_slots = self.peak.occupied_slots.max(fleet.occupied_slots);
        self.peak.servers = self.peak.servers.max(fleet.servers);
    }

    /// Returns the pacing interval by the current estimate of the size of servers.
    pub fn pacing_interval(&self, settings: &Settings) -> PacingInterval {
        let balancers = f64::from(settings.balancers.max(1));
        let duration = settings.slow_start_duration.as_f64().max(1.0);
        let peak_mean = self.peak.occupied_slots / f64::max(1.0, self.peak.servers);
        let estimated_size = f64::max(1.0 / balancers, peak_mean) * ESTIMATE_SAFETY_FACTOR;
        // Attempts per microsecond, for each connection of the server's size, that a warm server handles.
        let rate = settings.slow_start_overload_factor / duration;
        let reported_size = self.connections_at_capacity;
        let expected = (rate * settings.slow_start_window.as_f64() * reported_size * balancers).max(1.0);
        // Each balancer may exceed its part by one attempt, which the margin has to cover.
        let margin = (MARGIN_DEVIATIONS * expected.sqrt() + MARGIN_CONNECTIONS - balancers).max(0.0);
        let size = estimated_size.max(reported_size * (1.0 + margin / expected));
        PacingInterval(1.0 / (rate * size).max(MIN_ATTEMPTS / duration))
    }

    /// Returns the probability with which this selection may use a server in slow start. The caller
    /// multiplies it by the server's warmth; it may be above 1. Returns none if this balancer's part of a
    /// server is one connection or more in a slow start, because waits then pace the attempts.
    pub fn admission_probability(&mut self, now: Time, serving: usize, settings: &Settings) -> Option<f64> {
        let since_last_selection = now.since(std::mem::replace(&mut self.last_selection, now));
        let elapsed = since_last_selection.min(settings.slow_start_window).as_f64();
        let PacingInterval(interval) = self.pacing_interval(settings);
        let is_under_one_connection = interval > settings.slow_start_duration.as_f64();
        is_under_one_connection.then_some(elapsed * serving as f64 / interval)
    }
}

/// Slow start of one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlowStart {
    /// Time at which the server's process started, or at which it was first listed if the listed start is in
    /// the future; none if the process started long ago.
    started_at: Option<Time>,
    /// Time before which the server receives no attempt while it is warming up.
    next_attempt_at: Time,
    /// Interval from which the current wait was computed; none for a wait that must not be shortened.
    interval: Option<PacingInterval>,
}

impl SlowStart {
    /// Creates the slow start of a process that started at `started_at`. A start in the future, by another
    /// clock, is replaced by `now`: it would keep the server cold until then.
    pub fn of_process(started_at: Option<Time>, now: Time) -> SlowStart {
        SlowStart { started_at: started_at.map(|at| at.min(now)), ..SlowStart::default() }
    }

    /// Updates the start when the endpoint list names the server again. If the listed start is the same, the
    /// recorded start is kept.
    pub fn on_listed_again(&mut self, started_at: Option<Time>, is_same_start: bool, now: Time) {
        let recorded = self.started_at.filter(|_| is_same_start);
        self.started_at = recorded.or(started_at.map(|at| at.min(now)));
    }

    /// Returns the time before which the server receives no attempt while it is warming up.
    pub fn next_attempt_at(&self) -> Time {
        self.next_attempt_at
    }

    /// Restores the wait that another process has set.
    pub fn restore_wait(&mut self, learned: &LearnedState) {
        self.next_attempt_at = learned.next_slow_start_attempt_at;
        self.freeze_wait();
    }

    /// Excludes the current wait from being shortened by [`SlowStart::tighten_pacing`].
    pub fn freeze_wait(&mut self) {
        self.interval = None;
    }

    /// Returns the share of its capacity, from 0 to 1, that the server has at least by now.
    pub fn warmth(&self, settings: &Settings, now: Time) -> f64 {
        let Some(started_at) = self.started_at else { return 1.0 };
        let elapsed = now.since(started_at).as_f64() / settings.slow_start_duration.max(Micros(1)).as_f64();
        let initial = settings.slow_start_share;
        (initial + (1.0 - initial) * elapsed).clamp(MIN_WARMTH, 1.0)
    }

    /// Returns whether the wait after the last attempt has ended.
    pub fn is_ready(&self, now: Time) -> bool {
        now >= self.next_attempt_at
    }

    /// Draws the wait of a server that gets its initial ceiling: a random fraction of a full wait.
    pub fn begin(&mut self, settings: &Settings, now: Time, interval: PacingInterval, rng: &mut impl Rng) {
        let wait = interval.0 * rng.random::<f64>();
        self.set_wait(settings, now, wait, interval);
    }

    /// Starts the wait after an attempt, if the server is cold.
    pub fn on_attempt_started(&mut self, settings: &Settings, now: Time, interval: PacingInterval) {
        self.set_wait(settings, now, interval.0, interval);
    }

    /// Shortens the current wait if the interval has become shorter. A wait that was computed when less was
    /// known of the size of servers would keep a cold server empty.
    pub fn tighten_pacing(&mut self, now: Time, interval: PacingInterval) {
        let Some(previous) = self.interval.filter(|previous| interval < *previous) else { return };
        let remaining = self.next_attempt_at.since(now).as_f64();
        let shortened = remaining * interval.0 / previous.0;
        self.interval = Some(interval);
        self.next_attempt_at = now.plus(Micros::from_f64(shortened));
    }

    /// Sets a wait of `wait` microseconds divided by the warmth, which ends at the latest when the server is
    /// warm.
    fn set_wait(&mut self, settings: &Settings, now: Time, wait: f64, interval: PacingInterval) {
        let wait = wait / self.warmth(settings, now);
        let warm_at = self.started_at.map_or(now, |at| at.plus(settings.slow_start_duration));
        self.interval = Some(interval);
        self.next_attempt_at = now.plus(Micros::from_f64(wait)).min(warm_at);
    }
}
