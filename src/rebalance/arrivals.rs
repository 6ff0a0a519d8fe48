//! Detects storms of arriving clients by counting them over fixed windows.

use crate::{Micros, Time};

/// Arrivals are counted over windows of this length.
const WINDOW: Micros = Micros::from_secs(2);
/// The usual count of a window is an exponential mean over about so many windows.
const USUAL_WINDOWS: f64 = 16.0;
/// A storm is so many times the usual count...
const STORM_FACTOR: f64 = 3.0;
/// ...and so many arrivals more.
const STORM_MARGIN: f64 = 6.0;
/// A storm is over after so long without a window that is too full.
const STORM_COOLDOWN: Micros = Micros::from_secs(3);
/// Windows without arrivals that count towards the usual at a time.
const MAX_EMPTY_WINDOWS: u64 = 64;

/// Counts arrivals, learns how many are usual, and remembers the last storm.
#[derive(Debug)]
pub(super) struct ArrivalStorm {
    window_start: Time,
    window_count: u32,
    /// The usual count of a window, once one has passed.
    usual: Option<f64>,
    last_storm: Option<Time>,
}

impl ArrivalStorm {
    pub(super) fn new(now: Time) -> ArrivalStorm {
        ArrivalStorm { window_start: now, window_count: 0, usual: None, last_storm: None }
    }

    pub(super) fn on_arrival(&mut self, now: Time) {
        self.advance(now);
        self.window_count += 1;
        let usual = self.usual.unwrap_or(f64::INFINITY);
        if f64::from(self.window_count) > storm_threshold(usual) {
            self.last_storm = Some(now);
        }
    }

    /// Closes the current window if its time is over.
    pub(super) fn advance(&mut self, now: Time) {
        let windows = now.since(self.window_start).count_of(WINDOW);
        if windows == 0 {
            return;
        }
        let count = f64::from(self.window_count);
        // A storm that lasts must not become the usual while it does.
        let usual = self.usual.unwrap_or(count);
        let count = count.min(storm_threshold(usual));
        let usual = usual + (count - usual) / USUAL_WINDOWS;
        let empty_windows = (windows - 1).min(MAX_EMPTY_WINDOWS) as i32;
        self.usual = Some(usual * (1.0 - 1.0 / USUAL_WINDOWS).powi(empty_windows));
        self.window_start = self.window_start.plus(windows * WINDOW);
        self.window_count = 0;
    }

    pub(super) fn is_active(&self, now: Time) -> bool {
        self.last_storm.is_some_and(|at| now.since(at) < STORM_COOLDOWN)
    }
}

fn storm_threshold(usual: f64) -> f64 {
    STORM_FACTOR * usual + STORM_MARGIN
}
