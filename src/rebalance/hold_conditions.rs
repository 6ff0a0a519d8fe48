//! Events elsewhere in the balancer during which nobody is migrated for balance.
//!
//! **Decided:** whether rebalancing is on hold, and the first reason that applies.
//!
//! **Inputs:** the reducer's [`SystemConditions`], the number of ready servers, and the times of reloads, of changes of
//! the endpoint list and of arriving clients.
//!
//! **Rule**, in this order: shutdown and hot restart hold as long as they last; draining as long as connections are at
//! servers that drain, at most [`MAX_DRAINING_HOLD`]; a reload for [`RELOAD_HOLD`]; a list that lost more than a quarter
//! of its ready servers for [`LIST_SHRINK_HOLD`]; an unavailable list until it is received again; fewer than
//! [`MIN_READY_SERVERS`] ready servers; an arrival storm (`arrival_storm.rs`).
//!
//! **Reason:** each of these migrates or reconnects clients itself, or makes it uncertain which servers exist.

use super::arrival_storm::ArrivalStorm;
use super::HoldReason;
use crate::{Micros, Time};

/// Time after a reload in which the endpoint list may be replaced.
const RELOAD_HOLD: Micros = Micros::from_secs(2);
/// Time after the list shrank in which the clients of the lost servers reconnect, or the list turns out to be wrong.
const LIST_SHRINK_HOLD: Micros = Micros::from_secs(3);
/// The longest hold for draining: a server may drain for hours, with clients that never leave it.
const MAX_DRAINING_HOLD: Micros = Micros::from_secs(30);
/// The list counts as shrunk if less than this share of the ready servers is left.
const MIN_REMAINING_SERVERS_SHARE: f64 = 0.75;
/// With fewer ready servers there is nothing to balance.
const MIN_READY_SERVERS: usize = 2;

/// Activity that the reducer knows of.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SystemConditions {
    /// This balancer shuts down gracefully.
    pub shutting_down: bool,
    /// A hot restart is under way, with this process on either side.
    pub hot_restart: bool,
    /// Connections at servers that drain, are excluded by an operator, or are gone.
    pub draining_connections: usize,
}

/// The events that put rebalancing on hold.
#[derive(Debug)]
pub(super) struct HoldConditions {
    ready_servers: usize,
    list_shrank_at: Option<Time>,
    list_unavailable: bool,
    reloaded_at: Option<Time>,
    draining_since: Option<Time>,
    arrival_storm: ArrivalStorm,
}

impl HoldConditions {
    pub(super) fn new(now: Time) -> HoldConditions {
        HoldConditions {
            ready_servers: 0,
            list_shrank_at: None,
            list_unavailable: false,
            reloaded_at: None,
            draining_since: None,
            arrival_storm: ArrivalStorm::new(now),
        }
    }

    pub(super) fn on_arrival(&mut self, now: Time) {
        self.arrival_storm.on_arrival(now);
    }

    pub(super) fn on_endpoint_list_changed(&mut self, now: Time, ready_servers: usize) {
        let previous = self.ready_servers;
        let min_remaining = previous as f64 * MIN_REMAINING_SERVERS_SHARE;
        if (ready_servers as f64) < min_remaining || ready_servers == 0 && previous > 0 {
            self.list_shrank_at = Some(now);
        }
        self.ready_servers = ready_servers;
    }

    pub(super) fn on_endpoint_list_lost(&mut self) {
        self.list_unavailable = true;
    }

    pub(super) fn on_endpoint_list_received(&mut self) {
        self.list_unavailable = false;
    }

    pub(super) fn on_configuration_reloaded(&mut self, now: Time) {
        self.reloaded_at = Some(now);
    }

    /// The first reason for a hold that applies now.
    pub(super) fn hold_reason(
        &mut self,
        now: Time,
        conditions: SystemConditions,
        ready_servers: usize,
    ) -> Option<HoldReason> {
        self.arrival_storm.advance(now);
        let is_draining = conditions.draining_connections > 0;
        self.draining_since = is_draining.then(|| self.draining_since.unwrap_or(now));
        let within = |at: Option<Time>, duration| at.is_some_and(|at| now.since(at) < duration);
        let rules = [
            (conditions.shutting_down, HoldReason::ShuttingDown),
            (conditions.hot_restart, HoldReason::HotRestart),
            (within(self.draining_since, MAX_DRAINING_HOLD), HoldReason::Draining),
            (within(self.reloaded_at, RELOAD_HOLD), HoldReason::ConfigurationReloaded),
            (within(self.list_shrank_at, LIST_SHRINK_HOLD), HoldReason::EndpointListShrank),
            (self.list_unavailable, HoldReason::EndpointListUnavailable),
            (ready_servers < MIN_READY_SERVERS, HoldReason::TooFewServers),
            (self.arrival_storm.is_active(now), HoldReason::ArrivalStorm),
        ];
        rules.into_iter().find(|(applies, _)| *applies).map(|(_, reason)| reason)
    }
}
