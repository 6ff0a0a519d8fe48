//! Detects slow connection setups, whose cause is the session store behind the servers.

use crate::{Micros, Time};

/// Weight of a new setup in the recent mean, which follows within a few...
const RECENT_WEIGHT: f64 = 1.0 / 4.0;
/// ...and in the usual mean, which follows within a hundred.
const USUAL_WEIGHT: f64 = 1.0 / 128.0;
/// So many setups have to be known before there is a usual time.
const MIN_SETUPS: u32 = 16;
/// Setups are slow at so many times the usual time...
const SLOW_FACTOR: f64 = 2.0;
/// ...and at least so much more: usual times of a millisecond vary by more than that for no reason.
const SLOW_MARGIN_MICROS: f64 = 20_000.0;
/// They are slow, too, at this share of the tightest objective.
const SLOW_OBJECTIVE_SHARE: f64 = 1.0 / 2.0;
/// Slow setups count as normal again below this share of both limits.
const RECOVERED_SHARE: f64 = 0.6;

/// The mean setup times, in microseconds, and what they show of the store.
#[derive(Debug)]
pub(super) struct SetupTimes {
    objective_micros: f64,
    recent_mean_micros: f64,
    usual_mean_micros: f64,
    count: u32,
    slow: bool,
    last_setup: Time,
}

impl SetupTimes {
    pub(super) fn new(now: Time) -> SetupTimes {
        SetupTimes {
            objective_micros: 0.0,
            recent_mean_micros: 0.0,
            usual_mean_micros: 0.0,
            count: 0,
            slow: false,
            last_setup: now,
        }
    }

    /// Sets the tightest objective; 0 where there is none.
    pub(super) fn set_objective(&mut self, objective: Micros) {
        self.objective_micros = objective.as_f64();
    }

    pub(super) fn are_slow(&self) -> bool {
        self.slow
    }

    pub(super) fn recent_mean_seconds(&self) -> f64 {
        self.recent_mean_micros / 1e6
    }

    /// Takes in a setup; whether setups have become slow with it.
    pub(super) fn record(&mut self, now: Time, took: Micros) -> bool {
        self.last_setup = now;
        self.update_means(took.as_f64());
        if !self.slow && self.exceeds(1.0) {
            self.slow = true;
            return true;
        }
        if self.slow && !self.exceeds(RECOVERED_SHARE) {
            self.slow = false;
        }
        false
    }

    fn update_means(&mut self, took: f64) {
        if self.count == 0 {
            self.recent_mean_micros = took;
            self.usual_mean_micros = took;
        }
        self.count = self.count.saturating_add(1);
        self.recent_mean_micros += (took - self.recent_mean_micros) * RECENT_WEIGHT;
        // A slow store must not become the usual while it is slow.
        let capped = took.min(self.slow_threshold());
        let weight = (1.0 / f64::from(self.count)).max(USUAL_WEIGHT);
        self.usual_mean_micros += (capped - self.usual_mean_micros) * weight;
    }

    fn slow_threshold(&self) -> f64 {
        self.usual_mean_micros * SLOW_FACTOR + SLOW_MARGIN_MICROS
    }

    /// Whether the recent mean is over this share of the limits.
    fn exceeds(&self, share: f64) -> bool {
        let over_usual = self.count >= MIN_SETUPS && self.recent_mean_micros > self.slow_threshold() * share;
        let limit = self.objective_micros * SLOW_OBJECTIVE_SHARE;
        over_usual || limit > 0.0 && self.recent_mean_micros > limit * share
    }

    /// Setups no longer count as slow when there has been none for this long: where nothing is set up, nothing would
    /// ever show that the store has recovered.
    pub(super) fn expire_slowness(&mut self, now: Time, timeout: Micros) {
        if self.slow && now.since(self.last_setup) > timeout {
            self.slow = false;
            self.recent_mean_micros = self.usual_mean_micros;
        }
    }
}
