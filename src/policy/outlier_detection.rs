//! Outlier detection: failing servers are ejected for a while, and return by single trials.

use super::*;

/// A failure counts twice what a success takes back: who accepts and then drops must not pass for healthy.
const FAILURE_STEP: u32 = 2;
const MAX_CONSECUTIVE_FAILURES: u32 = 16;

impl Balancer {
    /// A failure ejects its server for a jittered time, twice as long for each further failure. It returns by
    /// single trials that far apart, closer by half with each that is established.
    pub(super) fn record_failure(&mut self, id: ServerId, sent_at: Time) {
        // What was sent before the last failure shows nothing new: many that fail together are one.
        let is_new = |s: &&mut Server| s.learned.last_failure.is_none_or(|at| sent_at > at);
        let Some(server) = self.servers.get_mut(&id).filter(is_new) else { return };
        let failures = server.learned.consecutive_failures + FAILURE_STEP;
        server.learned.last_failure = Some(self.now);
        server.learned.consecutive_failures = failures.min(MAX_CONSECUTIVE_FAILURES);
        self.eject(id);
    }

    /// Keeps a failing server from trials for a while.
    pub(super) fn eject(&mut self, id: ServerId) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        let Settings { connect_timeout, slow_start_duration, .. } = self.settings;
        let (failures, max) = (server.learned.consecutive_failures, slow_start_duration.max(connect_timeout));
        let wait = jittered_backoff(&mut self.rng, connect_timeout, failures, max);
        server.learned.ejected_until = self.now.plus(wait);
    }

    /// When most of the fleet looks failed the fault may be here, or pass, and rejecting everything would be
    /// worse. Then ejected servers are tried before their time, the longest ejected first.
    pub(super) fn select_last_resort(&self, id: RequestId) -> Option<ServerId> {
        let (request, now, window) = (self.requests.get(&id)?, self.now, self.fault_window);
        // More load on a fleet that drops and rejects would keep it from ever recovering.
        let is_silent = |s: &&Server| s.learned.consecutive_failures > 0 && s.is_stable(now, window);
        if self.serving().filter(is_silent).count() * 2 <= self.serving().count() {
            return None;
        }
        self.serving()
            .filter(is_silent)
            .filter(|s| s.held.connecting == 0 && now >= s.learned.next_slow_start_send)
            .filter(|s| request.may_run_at(s, self.settings.idempotency(request.class), now))
            .min_by_key(|s| s.learned.ejected_until)
            .map(|s| s.entry.server)
    }
}

impl Server {
    /// Whether it has no failures, or may have a single trial.
    pub(super) fn is_healthy(&self, now: Time) -> bool {
        let may_be_tried = self.held.connecting == 0 && now >= self.learned.ejected_until;
        self.learned.consecutive_failures == 0 || may_be_tried
    }

    /// Whether it has not rejected, dropped or been slow within a fault window.
    pub(super) fn is_stable(&self, now: Time, fault_window: Micros) -> bool {
        self.learned.last_fault.is_none_or(|at| now.since(at) > fault_window)
    }
}
