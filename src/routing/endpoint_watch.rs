//! The watch on a pool's endpoint list: confirmations, failures, and the effect of the list's expiry on
//! attempts in flight.
//!
//! A watch is a sequence of polls of discovery. `src/policy/` names a poll a call.
//!
//! Each answer of discovery renews the lease on the list. The balancer decides when the lease expires and
//! when discovery is polled again (`src/policy/`). This module reports the events of the watch to the
//! balancer:
//!
//! - an answer, which confirms the list even if nothing has changed;
//! - a poll that was not answered in time: the watch is silent, and the lease is not renewed;
//! - a poll that failed, with the state of discovery that the failure indicates.
//!
//! The operator's file is not watched, and a list from it does not expire.
//!
//! While a watch is silent or lost, and after a change of discovery's address, requests that are not written
//! in full yet must be written before the list expires: the list was valid when the attempt began, but the
//! server may be draining when the list expires. Connections that are being restored are exempt.
//!
//! This module owns no state. The pool records when its list was received and whether its expiry was logged.

use std::net::SocketAddr;

use super::connection_table::ConnectionAtServer;
use super::{Effect, LogEvent, PoolId, State};
use crate::rebalance::RebalanceEvent;
use crate::{Event, Micros, Time, WatchFailure};

/// Timeouts and delays of a watch on an endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointWatchTiming {
    /// Time after which the watch counts as silent, if discovery has not answered a poll. It is counted from
    /// the end of the time for which discovery may keep the poll open.
    pub answer_timeout: Micros,
    /// Longest time that the poll which reopens a silent watch may take.
    pub reopening_timeout: Micros,
    /// Longest delay before a silent watch is reopened. The delay is drawn at random between zero and this.
    pub max_reopening_delay: Micros,
}

impl State {
    /// Records that a list was received, and renews its lease if the list is from discovery.
    pub(super) fn confirm_endpoint_list(&mut self, now: Time, pool_id: PoolId) {
        let Some(pool) = self.pools.get_mut(pool_id.0) else { return };
        let was_expiry_logged = pool.record_received_list(now);
        let name = pool.config.name;
        if pool.config.discovery.is_some() {
            self.dispatch(now, pool_id, Event::EndpointListConfirmed);
        }
        if was_expiry_logged {
            self.effects.push(Effect::Log(LogEvent::EndpointListConfirmed { pool: name }));
        }
    }

    /// Handles the start of the first watch. Until discovery answers, the list is a cached one, or that of a
    /// predecessor.
    pub(super) fn on_endpoint_watch_started(&mut self, now: Time, pool: PoolId) {
        self.dispatch(now, pool, Event::EndpointWatchStarted);
    }

    /// Handles a poll that was sent `polled_ago` before now and was not answered in time. The driver repeats
    /// the poll.
    pub(super) fn on_endpoint_watch_silent(&mut self, now: Time, pool: PoolId, polled_ago: Micros) {
        let called_at = now.minus(polled_ago);
        self.pools[pool.0].count_discovery_failure();
        self.notify_rebalancer(now, pool, RebalanceEvent::EndpointListLost);
        self.dispatch(now, pool, Event::EndpointWatchSilent { called_at });
        self.limit_forwarding_to_list_expiry(pool);
    }

    /// Handles a poll that was sent `polled_ago` before now and failed.
    pub(super) fn on_endpoint_watch_lost(
        &mut self,
        now: Time,
        pool: PoolId,
        failure: WatchFailure,
        polled_ago: Micros,
    ) {
        // An unanswered poll was already counted when the watch became silent.
        if failure != WatchFailure::Unanswered {
            self.pools[pool.0].count_discovery_failure();
        }
        self.notify_rebalancer(now, pool, RebalanceEvent::EndpointListLost);
        let called_at = now.minus(polled_ago);
        self.dispatch(now, pool, Event::EndpointWatchFailed { failure, called_at });
        self.limit_forwarding_to_list_expiry(pool);
    }

    /// Handles a new address of discovery, at which the list is watched from now on.
    pub(super) fn on_discovery_address_changed(&mut self, now: Time, pool: PoolId) {
        self.dispatch(now, pool, Event::DiscoveryAddressChanged);
        self.limit_forwarding_to_list_expiry(pool);
    }

    /// Makes attempts in flight fail at the list's expiry, if their request is not written in full by then.
    fn limit_forwarding_to_list_expiry(&mut self, pool: PoolId) {
        let Some(expires_at) = self.pools[pool.0].balancer.endpoint_list_expires_at() else { return };
        let placed: Vec<ConnectionAtServer> = self.connections.connections_with_attempt(pool).collect();
        for ConnectionAtServer { connection, .. } in placed {
            self.connections.limit_forwarding(connection, expires_at);
        }
    }

    /// Returns whether a pool's endpoint list is watched at this address of discovery.
    pub fn is_watched_at(&self, pool: PoolId, discovery: SocketAddr) -> bool {
        self.pools[pool.0].config.discovery == Some(discovery)
    }

    /// Returns the timing of the watch on a pool's endpoint list.
    pub fn endpoint_watch_timing(&self, pool: PoolId) -> EndpointWatchTiming {
        let settings = &self.pools[pool.0].config.settings;
        EndpointWatchTiming {
            answer_timeout: settings.watch_answer_timeout(),
            reopening_timeout: settings.watch_reopening_timeout(),
            max_reopening_delay: settings.max_watch_reopening_delay(),
        }
    }
}
