//! Conditions elsewhere in the balancer during which no client is migrated for balance.
//!
//! **Decided:** whether rebalancing is on hold, and the first reason that applies.
//!
//! **Inputs:** the reducer's [`SystemConditions`], the number of ready servers, and the times of reloads, of
//! changes of the endpoint list and of arriving clients.
//!
//! **Rule:** these conditions put rebalancing on hold, in this order of precedence:
//! - a shutdown or a hot restart, as long as it lasts;
//! - connections at servers that drain, as long as there are any, but at most for [`MAX_DRAINING_HOLD`];
//! - a reload, for [`RELOAD_HOLD`];
//! - a list that lost more than a quarter of its ready servers, for [`LIST_SHRINK_HOLD`];
//! - an unavailable list, until it is received again;
//! - fewer than [`MIN_READY_SERVERS`] servers that are ready and have a failure score of 0;
//! - an arrival storm (`arrival_storm.rs`).
//!
//! **Reason:** each of these conditions migrates or reconnects clients itself, or makes it uncertain which
//! servers exist.

use super::arrival_storm::ArrivalStorm;
use super::HoldReason;
use crate::{Micros, Time};

/// Hold after a reload. The endpoint list may be replaced during this time.
const RELOAD_HOLD: Micros = Micros::from_secs(2);
/// Hold after the list shrank. During this time the clients of the lost servers reconnect, or the list turns
/// out to be wrong.
const LIST_SHRINK_HOLD: Micros = Micros::from_secs(3);
/// Longest hold for draining. A server may drain for hours if some of its clients never leave.
const MAX_DRAINING_HOLD: Micros = Micros::from_secs(30);
/// Share of the ready servers below which the list counts as shrunk.
const MIN_REMAINING_SERVERS_SHARE: f64 = 0.75;
/// Smallest number of ready servers without failures between which connections can be balanced.
const MIN_READY_SERVERS: usize = 2;

/// Conditions that the reducer reports at each evaluation.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SystemConditions {
    /// Whether this balancer shuts down gracefully.
    pub shutting_down: bool,
    /// Whether a hot restart is under way, with this process as predecessor or successor.
    pub hot_restart: bool,
    /// Number of connections at servers that drain, are excluded by an operator, or are gone.
    pub draining_connections: usize,
}

/// Conditions that put rebalancing on hold, with the times at which they began.
#[derive(Debug)]
pub(super) struct HoldConditions {
    /// Number of servers that the last endpoint list shows as ready.
    listed_ready_servers: usize,
    list_shrank_at: Option<Time>,
    list_unavailable: bool,
    reloaded_at: Option<Time>,
    draining_since: Option<Time>,
    arrival_storm: ArrivalStorm,
}

impl HoldConditions {
    pub(super) fn new(now: Time) -> HoldConditions {
        HoldConditions {
            listed_ready_servers: 0,
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
        let previous_servers = self.listed_ready_servers;
        let min_remaining = previous_servers as f64 * MIN_REMAINING_SERVERS_SHARE;
        if (ready_servers as f64) < min_remaining || ready_servers == 0 && previous_servers > 0 {
            self.list_shrank_at = Some(now);
        }
        self.listed_ready_servers = ready_servers;
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

    /// Returns the first reason for a hold that applies now, in order of precedence. `healthy_servers` is the
    /// number of servers that are listed as ready and have a failure score of 0.
    pub(super) fn hold_reason(
        &mut self,
        now: Time,
        conditions: SystemConditions,
        healthy_servers: usize,
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
            (healthy_servers < MIN_READY_SERVERS, HoldReason::TooFewServers),
            (self.arrival_storm.is_active(now), HoldReason::ArrivalStorm),
        ];
        rules.into_iter().find(|(applies, _)| *applies).map(|(_, reason)| reason)
    }
}
