//! Slow start: a server that has just started is filled no faster than it warms up, by all balancers
//! together.
//!
//! **What is decided.** When a server that warms up may get its next attempt from this balancer, and by which
//! share its ceiling counts until it is warm.
//!
//! **Inputs.** The server's start, from the endpoint list; the settings of slow start (initial share of its
//! capacity, duration, the overload factor and the window in which more than that fails the server); the
//! number of balancers; the most that this balancer has occupied; what load reports show of a full server.
//!
//! **Warmth.** The share of its capacity, from 0 to 1, that a server surely has: it rises evenly from the
//! initial share at its start to 1 after the duration of a slow start. Its free slots are computed from the
//! ceiling times the warmth.
//!
//! **Rule.** Attempts are paced at the overload factor times the server's size, over the duration of a slow
//! start. The pacing interval is the time between two attempts of this balancer at that rate; divided by the
//! warmth it is the wait after each attempt. The size, in connections of this balancer, is the larger of two:
//!
//! - half of: the most slots ever occupied over the most servers that ever served, or one connection divided
//!   among all balancers if that is more;
//! - what load reports show, and a margin for what all balancers may send above it in a window.
//!
//! The first wait is a random part of a whole one: balancers that learn of a server together must not begin
//! together. When more becomes known and the interval shrinks, a wait that has begun shrinks with it. All
//! waits end when the server is warm.
//!
//! Where the interval is longer than a whole slow start, this balancer's part of the server is less than one
//! connection. Then selection ignores the wait (migration and the last resort still keep it), and admits the
//! server with a probability in proportion to the time since the last selection, so that all balancers
//! together send their sum on the mean.
//!
//! **Why.** A cold server shows all its slots free and would attract every connection. It fails when, within
//! the window, it gets more than is expected, three standard deviations and three connections; the margin
//! uses half of the deviations. The size is not what is occupied now: the fewer servers were left, the slower
//! would new ones be filled.

use rand::Rng;

use super::fault_window::FleetOccupancy;
use crate::types::{LearnedState, Micros, Settings, Time};

/// The share, as a factor, that all balancers together use of a server's size where it is only estimated from
/// what this balancer holds.
const ESTIMATE_SAFETY_FACTOR: f64 = 0.5;
/// Connections above what is due in a window that all balancers together may send: so many standard
/// deviations (the square root of what is due)...
const MARGIN_DEVIATIONS: f64 = 3.0 / 2.0;
/// ...and so many connections.
const MARGIN_CONNECTIONS: f64 = 3.0;
/// The fewest attempts that a server gets from one balancer in its slow start, were it warm.
const MIN_ATTEMPTS: f64 = 0.01;
/// The lowest warmth: waits are divided by it.
const MIN_WARMTH: f64 = 0.01;

/// The time between two attempts of this balancer to a server in slow start, in microseconds, were the server
/// warm.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct PacingInterval(f64);

/// What the balancer knows of the size of servers, from which slow starts are paced.
#[derive(Clone, Copy, Debug)]
pub struct SlowStartBudget {
    /// The most slots ever held in all, and the most servers that ever served at a time.
    peak: FleetOccupancy,
    /// This balancer's part of the connections at a full server, by load reports; 0 without reports.
    connections_at_capacity: f64,
    last_selection: Time,
}

impl SlowStartBudget {
    /// Nothing is known of the size of servers.
    pub fn new(now: Time) -> SlowStartBudget {
        SlowStartBudget { peak: FleetOccupancy::default(), connections_at_capacity: 0.0, last_selection: now }
    }

    /// This balancer's part of the connections at a full server, by load reports; 0 without reports.
    pub fn connections_at_capacity(&self) -> f64 {
        self.connections_at_capacity
    }

    /// Load reports show how many connections of this balancer are at a full server.
    pub fn set_connections_at_capacity(&mut self, connections: f64) {
        self.connections_at_capacity = connections;
    }

    /// Takes the balancer's present occupancy into its peak.
    pub fn record_occupancy(&mut self, fleet: FleetOccupancy) {
        self.peak.occupied_slots = self.peak.occupied_slots.max(fleet.occupied_slots);
        self.peak.servers = self.peak.servers.max(fleet.servers);
    }

    /// The pacing interval by what is known now.
    pub fn pacing_interval(&self, settings: &Settings) -> PacingInterval {
        let balancers = f64::from(settings.balancers.max(1));
        let duration = settings.slow_start_duration.as_f64().max(1.0);
        let peak_mean = self.peak.occupied_slots / f64::max(1.0, self.peak.servers);
        let estimated_size = f64::max(1.0 / balancers, peak_mean) * ESTIMATE_SAFETY_FACTOR;
        // Attempts per microsecond, for each connection of the server's size, that fail no warm server.
        let rate = settings.slow_start_overload_factor / duration;
        let reported_size = self.connections_at_capacity;
        let due = (rate * settings.slow_start_window.as_f64() * reported_size * balancers).max(1.0);
        // Each balancer may exceed its part by one attempt, which the margin has to cover.
        let margin = (MARGIN_DEVIATIONS * due.sqrt() + MARGIN_CONNECTIONS - balancers).max(0.0);
        let size = estimated_size.max(reported_size * (1.0 + margin / due));
        PacingInterval(1.0 / (rate * size).max(MIN_ATTEMPTS / duration))
    }

    /// The probability, before the caller multiplies it by the server's warmth, with which this selection may
    /// use a server in slow start; it may be over 1. None where servers are paced by waits, as this
    /// balancer's part of a server is one connection or more in a slow start.
    pub fn admission_probability(&mut self, now: Time, serving: usize, settings: &Settings) -> Option<f64> {
        let since_last_selection = now.since(std::mem::replace(&mut self.last_selection, now));
        let elapsed = since_last_selection.min(settings.slow_start_window).as_f64();
        let PacingInterval(interval) = self.pacing_interval(settings);
        let is_under_one_connection = interval > settings.slow_start_duration.as_f64();
        is_under_one_connection.then_some(elapsed * serving as f64 / interval)
    }
}

/// The slow start of one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlowStart {
    /// When its process started, or when it was first listed if the listed start lies ahead; none if long
    /// ago.
    started_at: Option<Time>,
    /// While it warms up: no attempt before this.
    next_attempt_at: Time,
    /// The interval that the present wait was computed from; none for a wait that stays as it is.
    interval: Option<PacingInterval>,
}

impl SlowStart {
    /// The slow start of a process that started at `started_at`. A start that lies ahead, by another clock,
    /// would keep the server cold until then.
    pub fn of_process(started_at: Option<Time>, now: Time) -> SlowStart {
        SlowStart { started_at: started_at.map(|at| at.min(now)), ..SlowStart::default() }
    }

    /// The endpoint list names the server again. The same start stays as it was first taken.
    pub fn on_listed_again(&mut self, started_at: Option<Time>, is_same_start: bool, now: Time) {
        let known = self.started_at.filter(|_| is_same_start);
        self.started_at = known.or(started_at.map(|at| at.min(now)));
    }

    /// While the server warms up: no attempt before this.
    pub fn next_attempt_at(&self) -> Time {
        self.next_attempt_at
    }

    /// Takes over the wait that another process has set.
    pub fn restore_wait(&mut self, learned: &LearnedState) {
        self.next_attempt_at = learned.next_slow_start_send;
        self.fix_wait();
    }

    /// From now on the present wait is not shortened any more.
    pub fn fix_wait(&mut self) {
        self.interval = None;
    }

    /// The share of its capacity, from 0 to 1, that the server surely has by now.
    pub fn warmth(&self, settings: &Settings, now: Time) -> f64 {
        let Some(started_at) = self.started_at else { return 1.0 };
        let elapsed = now.since(started_at).as_f64() / settings.slow_start_duration.max(Micros(1)).as_f64();
        let initial = settings.slow_start_share;
        (initial + (1.0 - initial) * elapsed).clamp(MIN_WARMTH, 1.0)
    }

    /// Whether the wait after the last attempt is over.
    pub fn is_ready(&self, now: Time) -> bool {
        now >= self.next_attempt_at
    }

    /// Draws the wait of a server that has just been listed: a random part of a whole one.
    pub fn begin(&mut self, settings: &Settings, now: Time, interval: PacingInterval, rng: &mut impl Rng) {
        let wait = interval.0 * rng.random::<f64>();
        self.set_wait(settings, now, wait, interval);
    }

    /// An attempt is sent: the next has to wait while the server is cold.
    pub fn on_attempt_started(&mut self, settings: &Settings, now: Time, interval: PacingInterval) {
        self.set_wait(settings, now, interval.0, interval);
    }

    /// Shortens the present wait if the interval has become shorter: a wait that was computed when less was
    /// known of the size of servers would keep a cold one empty.
    pub fn tighten_pacing(&mut self, now: Time, interval: PacingInterval) {
        let Some(previous) = self.interval.filter(|previous| interval < *previous) else { return };
        let remaining = self.next_attempt_at.since(now).as_f64();
        let shorter = remaining * interval.0 / previous.0;
        self.interval = Some(interval);
        self.next_attempt_at = now.plus(Micros::from_f64(shorter));
    }

    /// Waits `wait` microseconds, divided by the warmth, but no longer than the server is cold.
    fn set_wait(&mut self, settings: &Settings, now: Time, wait: f64, interval: PacingInterval) {
        let wait = wait / self.warmth(settings, now);
        let warm_at = self.started_at.map_or(now, |at| at.plus(settings.slow_start_duration));
        self.interval = Some(interval);
        self.next_attempt_at = now.plus(Micros::from_f64(wait)).min(warm_at);
    }
}
