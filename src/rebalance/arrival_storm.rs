//! Detects storms of arriving clients.
//!
//! **Decided:** whether many more clients arrive than usual. This happens after the loss of a server or of
//! another balancer.
//!
//! **Inputs:** the arrival times of connection requests.
//!
//! **Rule:** requests are counted over windows of [`WINDOW`]. The usual count is an exponentially weighted
//! mean of past windows. A storm begins when the count of a window exceeds [`STORM_USUAL_MULTIPLE`] times the
//! usual count by more than [`STORM_MIN_EXTRA_ARRIVALS`]. It ends [`STORM_COOLDOWN`] after the last request
//! above this threshold.
//!
//! **Reason:** the clients of a storm are placed by free slots. Their placement changes the balance without
//! any migration.

use crate::{Micros, Time};

/// Length of the windows over which arrivals are counted.
const WINDOW: Micros = Micros::from_secs(2);
/// Number of windows over which the usual count is averaged.
const USUAL_COUNT_WINDOWS: f64 = 16.0;
/// Multiple of the usual count in the storm threshold.
const STORM_USUAL_MULTIPLE: f64 = 3.0;
/// Number of arrivals that is added to the multiple of the usual count in the storm threshold. A small count
/// can exceed [`STORM_USUAL_MULTIPLE`] times its mean by chance.
const STORM_MIN_EXTRA_ARRIVALS: f64 = 6.0;
/// Time from the last request above the threshold to the end of a storm.
const STORM_COOLDOWN: Micros = Micros::from_secs(3);
/// Largest number of windows without arrivals that are applied to the usual count at a time.
const MAX_EMPTY_WINDOWS: u64 = 64;

/// Arrivals in the current window, the usual number of arrivals, and the time of the last storm.
#[derive(Debug)]
pub(super) struct ArrivalStorm {
    window_start: Time,
    window_count: u32,
    /// Usual count of a window; `None` until the first window has passed.
    usual_count: Option<f64>,
    /// Time of the last request above the storm threshold.
    last_exceeded: Option<Time>,
}

impl ArrivalStorm {
    pub(super) fn new(now: Time) -> ArrivalStorm {
        ArrivalStorm { window_start: now, window_count: 0, usual_count: None, last_exceeded: None }
    }

    pub(super) fn on_arrival(&mut self, now: Time) {
        self.advance(now);
        self.window_count += 1;
        let usual_count = self.usual_count.unwrap_or(f64::INFINITY);
        if f64::from(self.window_count) > storm_threshold(usual_count) {
            self.last_exceeded = Some(now);
        }
    }

    /// Closes the current window if it has ended.
    pub(super) fn advance(&mut self, now: Time) {
        let windows = now.since(self.window_start).count_of(WINDOW);
        if windows == 0 {
            return;
        }
        let count = f64::from(self.window_count);
        // The count is capped so that a long storm does not become the usual count.
        let usual = self.usual_count.unwrap_or(count);
        let count = count.min(storm_threshold(usual));
        let usual = usual + (count - usual) / USUAL_COUNT_WINDOWS;
        let empty_windows = (windows - 1).min(MAX_EMPTY_WINDOWS) as i32;
        self.usual_count = Some(usual * (1.0 - 1.0 / USUAL_COUNT_WINDOWS).powi(empty_windows));
        self.window_start = self.window_start.plus(windows * WINDOW);
        self.window_count = 0;
    }

    pub(super) fn is_active(&self, now: Time) -> bool {
        self.last_exceeded.is_some_and(|at| now.since(at) < STORM_COOLDOWN)
    }
}

/// Returns the count of a window above which a storm begins.
fn storm_threshold(usual_count: f64) -> f64 {
    STORM_USUAL_MULTIPLE * usual_count + STORM_MIN_EXTRA_ARRIVALS
}
