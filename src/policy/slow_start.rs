//! Slow start: a cold server is filled no faster than it warms up, by all balancers together.

use super::*;

/// All together use this share of what a cold server bears where what other balancers hold is a guess.
const GUESS_SAFETY_FACTOR: f64 = 0.5;
/// A cold server fails at three roots of what it is due in a window, and three, beyond that; this is half.
const SLACK_ROOTS: f64 = 3.0 / 2.0;
const SLACK_CONNECTIONS: f64 = 3.0;
/// The fewest connections that a cold server gets during its slow start.
const MIN_SLOW_START_SENDS: f64 = 0.01;
const MIN_WARMTH: f64 = 0.01;

impl Balancer {
    /// Rule 4: a cold server shows all its slots free and would attract every connection. Microseconds
    /// between sends, were it warm, that it bears if every balancer does so: it is filled over its warm-up,
    /// and holds what reports show, or else at least what all have held. By what is held now it fills late.
    pub(super) fn slow_start_interval(&self) -> f64 {
        let balancers = f64::from(self.settings.balancers.max(1));
        let duration = self.settings.slow_start_duration.as_f64().max(1.0);
        let peak_mean = self.peaks.held / f64::max(1.0, self.peaks.servers);
        let guessed_size = f64::max(1.0 / balancers, peak_mean) * GUESS_SAFETY_FACTOR;
        // What all may send a warm server in a window, and half of the rule's slack, less one from each.
        let rate = self.settings.slow_start_overload_factor / duration;
        let reported_size = self.connections_at_capacity;
        let due = (rate * self.settings.slow_start_window.as_f64() * reported_size * balancers).max(1.0);
        let slack = (SLACK_ROOTS * due.sqrt() + SLACK_CONNECTIONS - balancers).max(0.0);
        let size = guessed_size.max(reported_size * (1.0 + slack / due));
        1.0 / (rate * size).max(MIN_SLOW_START_SENDS / duration)
    }

    /// Where a balancer's part of a cold server is less than one connection in its whole warm-up: the chance
    /// by which this one may be that, were the server warm, by the time since the last selection. From all
    /// together it gets its part on the mean; a part saved up is mostly not there when it is wanted.
    pub(super) fn take_slow_start_chance(&mut self) -> Option<f64> {
        let elapsed = self.now.since(std::mem::replace(&mut self.last_selection, self.now));
        let elapsed = elapsed.min(self.settings.slow_start_window).as_f64();
        let (interval, servers) = (self.slow_start_interval(), self.serving().count() as f64);
        (interval > self.settings.slow_start_duration.as_f64()).then_some(elapsed * servers / interval)
    }
}

impl Server {
    /// The share of its capacity that it surely has by now.
    pub(super) fn warmth(&self, settings: &Settings, now: Time) -> f64 {
        let Some(started_at) = self.started_at else { return 1.0 };
        let elapsed = now.since(started_at).as_f64() / settings.slow_start_duration.max(Micros(1)).as_f64();
        let initial = settings.slow_start_share;
        (initial + (1.0 - initial) * elapsed).clamp(MIN_WARMTH, 1.0)
    }

    /// While it is cold: keeps the next send away, for longer than `wait` the colder it is.
    pub(super) fn schedule_next_send(&mut self, settings: &Settings, now: Time, wait: f64, interval: f64) {
        let wait = wait / self.warmth(settings, now);
        let warm_at = self.started_at.map_or(now, |at| at.plus(settings.slow_start_duration));
        self.slow_start_interval = interval;
        self.learned.next_slow_start_send = now.plus(Micros::from_f64(wait)).min(warm_at);
    }

    /// A wait from when less was known of what servers hold would keep a cold one empty.
    pub(super) fn shorten_wait(&mut self, now: Time, interval: f64) {
        if interval < self.slow_start_interval {
            let left = self.learned.next_slow_start_send.since(now).as_f64();
            let shorter = left * interval / self.slow_start_interval;
            self.slow_start_interval = interval;
            self.learned.next_slow_start_send = now.plus(Micros::from_f64(shorter));
        }
    }
}
