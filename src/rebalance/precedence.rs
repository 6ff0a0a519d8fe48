//! Conditions that take precedence over moves for balance. Each keeps everything from being moved while it lasts.

use super::arrivals::ArrivalStorm;
use super::HoldReason;
use crate::{Micros, Time};

/// After a reload the endpoint list may be another one.
const RELOAD_HOLD: Micros = Micros::from_secs(2);
/// After the list shrank: those servers' clients are on their way, and the list may be wrong.
const SHRINKING_HOLD: Micros = Micros::from_secs(3);
/// A server may go on draining for hours, with clients that never leave it: it must not hold moves for as long.
const MAX_DRAINING_HOLD: Micros = Micros::from_secs(30);
/// A list has shrunk if less than this share of the servers in use is left.
const SHRUNK_SHARE: f64 = 0.75;
/// With fewer servers in use there is nothing to balance.
const MIN_READY_SERVERS: usize = 2;

/// Other activity that the reducer knows of.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SystemConditions {
    /// This balancer shuts down gracefully.
    pub shutting_down: bool,
    /// A hot restart is under way, with this process as either side.
    pub hot_restart: bool,
    /// Connections at servers that drain, are excluded by an operator, or are gone.
    pub draining: usize,
}

/// What was seen that keeps moves from being made for a while.
#[derive(Debug)]
pub struct Precedence {
    ready: usize,
    shrunk_at: Option<Time>,
    list_lost: bool,
    reloaded_at: Option<Time>,
    /// Since when there are connections at servers that drain.
    draining_since: Option<Time>,
    storm: ArrivalStorm,
}

impl Precedence {
    pub(super) fn new(now: Time) -> Precedence {
        Precedence {
            ready: 0,
            shrunk_at: None,
            list_lost: false,
            reloaded_at: None,
            draining_since: None,
            storm: ArrivalStorm::new(now),
        }
    }

    pub(super) fn on_arrival(&mut self, now: Time) {
        self.storm.on_arrival(now);
    }

    pub(super) fn on_endpoint_list_changed(&mut self, now: Time, ready: usize) {
        if (ready as f64) < self.ready as f64 * SHRUNK_SHARE || ready == 0 && self.ready > 0 {
            self.shrunk_at = Some(now);
        }
        self.ready = ready;
    }

    pub(super) fn on_endpoint_list_lost(&mut self) {
        self.list_lost = true;
    }

    pub(super) fn on_endpoint_list_received(&mut self) {
        self.list_lost = false;
    }

    pub(super) fn on_reload(&mut self, now: Time) {
        self.reloaded_at = Some(now);
    }

    /// Why nothing may be moved now, if so: the first reason that applies.
    pub(super) fn hold_reason(
        &mut self,
        now: Time,
        conditions: SystemConditions,
        ready: usize,
    ) -> Option<HoldReason> {
        self.storm.advance(now);
        self.draining_since = (conditions.draining > 0).then(|| self.draining_since.unwrap_or(now));
        let within = |at: Option<Time>, duration| at.is_some_and(|at| now.since(at) < duration);
        let rules = [
            (conditions.shutting_down, HoldReason::ShuttingDown),
            (conditions.hot_restart, HoldReason::HotRestart),
            (within(self.draining_since, MAX_DRAINING_HOLD), HoldReason::Draining),
            (within(self.reloaded_at, RELOAD_HOLD), HoldReason::Reload),
            (within(self.shrunk_at, SHRINKING_HOLD), HoldReason::ListShrank),
            (self.list_lost, HoldReason::ListLost),
            (ready < MIN_READY_SERVERS, HoldReason::FewServers),
            (self.storm.is_active(now), HoldReason::Storm),
        ];
        rules.into_iter().find(|(applies, _)| *applies).map(|(_, reason)| reason)
    }
}
