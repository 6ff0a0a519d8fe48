//! Detects slow connection setups that are caused by the session store, which all servers share.
//!
//! **Decided:** whether setups are slow. While they are, no client is migrated, because each migration causes
//! another setup.
//!
//! **Inputs:** the time of each setup in microseconds, except setups at slow servers; the tightest setup
//! objective.
//!
//! **Rule:** the recent mean, an exponentially weighted mean with weight [`RECENT_MEAN_WEIGHT`], is compared
//! with the usual mean, which has the smaller weight [`USUAL_MEAN_WEIGHT`]. Setups are slow when the recent
//! mean exceeds [`SLOW_USUAL_MULTIPLE`] times the usual mean by more than [`SLOW_MIN_EXTRA_MICROS`], or
//! exceeds [`SLOW_OBJECTIVE_SHARE`] of the objective. Setups are normal again when the recent mean is below
//! [`RECOVERY_SHARE`] of both limits, or after a time without setups.

use crate::{Micros, Time};

/// Weight of a new setup in the recent mean, which adapts within about four setups.
const RECENT_MEAN_WEIGHT: f64 = 1.0 / 4.0;
/// Weight of a new setup in the usual mean, which adapts within about a hundred setups.
const USUAL_MEAN_WEIGHT: f64 = 1.0 / 128.0;
/// Number of setups from which the usual mean is used.
const MIN_SETUPS: u32 = 16;
/// Multiple of the usual mean in the limit above which setups are slow.
const SLOW_USUAL_MULTIPLE: f64 = 2.0;
/// Time that is added to the multiple of the usual mean in this limit. If the usual time is only a
/// millisecond, a setup can exceed [`SLOW_USUAL_MULTIPLE`] times the usual mean by chance.
const SLOW_MIN_EXTRA_MICROS: f64 = 20_000.0;
/// Setup time above which setups are slow, as a share of the tightest objective.
const SLOW_OBJECTIVE_SHARE: f64 = 1.0 / 2.0;
/// Share of both limits below which setups are normal again.
const RECOVERY_SHARE: f64 = 0.6;

/// Mean setup times, and whether setups are slow.
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

    /// Sets the tightest setup objective. Zero means that there is none.
    pub(super) fn set_objective(&mut self, objective: Micros) {
        self.objective_micros = objective.as_f64();
    }

    pub(super) fn are_slow(&self) -> bool {
        self.slow
    }

    pub(super) fn recent_mean_seconds(&self) -> f64 {
        self.recent_mean_micros / 1e6
    }

    /// Records a setup. Returns whether it made setups slow that were normal before.
    pub(super) fn record(&mut self, now: Time, setup_time: Micros) -> bool {
        self.last_setup = now;
        self.update_means(setup_time.as_f64());
        if !self.slow && self.exceeds_limits(1.0) {
            self.slow = true;
            return true;
        }
        if self.slow && !self.exceeds_limits(RECOVERY_SHARE) {
            self.slow = false;
        }
        false
    }

    /// Resets slow setups to normal after `timeout` without a setup. While there are no setups, no other
    /// input could show that the session store has recovered.
    pub(super) fn expire_slowness(&mut self, now: Time, timeout: Micros) {
        if self.slow && now.since(self.last_setup) > timeout {
            self.slow = false;
            self.recent_mean_micros = self.usual_mean_micros;
        }
    }

    fn update_means(&mut self, setup_micros: f64) {
        if self.count == 0 {
            self.recent_mean_micros = setup_micros;
            self.usual_mean_micros = setup_micros;
        }
        self.count = self.count.saturating_add(1);
        self.recent_mean_micros += (setup_micros - self.recent_mean_micros) * RECENT_MEAN_WEIGHT;
        // The time is capped so that the times of a slow session store do not become the usual times.
        let capped = setup_micros.min(self.usual_limit_micros());
        let weight = (1.0 / f64::from(self.count)).max(USUAL_MEAN_WEIGHT);
        self.usual_mean_micros += (capped - self.usual_mean_micros) * weight;
    }

    fn usual_limit_micros(&self) -> f64 {
        self.usual_mean_micros * SLOW_USUAL_MULTIPLE + SLOW_MIN_EXTRA_MICROS
    }

    /// Returns whether the recent mean exceeds `share` of either limit.
    fn exceeds_limits(&self, share: f64) -> bool {
        let exceeds_usual =
            self.count >= MIN_SETUPS && self.recent_mean_micros > self.usual_limit_micros() * share;
        let objective_limit = self.objective_micros * SLOW_OBJECTIVE_SHARE;
        let exceeds_objective = objective_limit > 0.0 && self.recent_mean_micros > objective_limit * share;
        exceeds_usual || exceeds_objective
    }
}
