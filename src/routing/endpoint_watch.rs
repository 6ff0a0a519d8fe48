//! The watch on a pool's endpoint list: confirmations, failures, and the list's expiry for attempts in
//! flight.
//!
//! The list is a lease that each answer of discovery renews. The balancer decides when it expires and when
//! discovery is polled again (`src/policy/`). This module reports to it what happens to the watch:
//!
//! - an answer, which confirms the list, also where nothing has changed;
//! - a poll without an answer in time: the watch is silent, and the lease is not renewed;
//! - a poll that failed.
//!
//! The operator's file is not watched, and a list from it does not expire.
//!
//! While a watch is silent or lost, a request that is not written in full yet must be written before the list
//! expires (one that is being restored excepted): the attempt was begun by a list that was valid, but its
//! server may drain by then.
//!
//! This module owns no state; the pool records when its list was received and whether the log names it as
//! expired.

use super::connection_table::PlacedConnection;
use super::{Effect, LogEvent, PoolId, State};
use crate::rebalance::RebalanceEvent;
use crate::{Event, Micros, Time, WatchFailure};

/// Timeouts and delays of a watch on an endpoint list, all of them durations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointWatchTiming {
    /// How long after the end of its hold a poll may remain without an answer before the watch counts as
    /// silent.
    pub answer_timeout: Micros,
    /// How long the poll that reopens a silent watch may take.
    pub reopening_timeout: Micros,
    /// The longest delay before a silent watch is reopened. The delay is drawn between zero and this.
    pub max_reopening_delay: Micros,
}

impl State {
    /// Records that a list was received, and renews its lease where it comes from discovery.
    pub(super) fn confirm_endpoint_list(&mut self, now: Time, pool_id: PoolId) {
        let Some(pool) = self.pools.get_mut(pool_id) else { return };
        let was_expiry_logged = pool.record_received_list(now);
        let name = pool.config.name;
        if pool.config.discovery.is_some() {
            self.dispatch(now, pool_id, Event::EndpointListConfirmed);
        }
        if was_expiry_logged {
            self.effects.push(Effect::Log(LogEvent::EndpointListRestored { pool: name }));
        }
    }

    /// Handles a poll that was sent `called_ago` and had no answer in time. The driver repeats it.
    pub(super) fn on_endpoint_watch_silent(&mut self, now: Time, pool: PoolId, called_ago: Micros) {
        let since = now.minus(called_ago);
        self.pools[pool].count_discovery_failure();
        self.notify_rebalancer(now, pool, RebalanceEvent::EndpointListLost);
        self.dispatch(now, pool, Event::EndpointWatchSilent { since });
        self.limit_forwarding_to_list_expiry(pool);
    }

    /// Handles a poll that failed.
    pub(super) fn on_endpoint_watch_lost(&mut self, now: Time, pool: PoolId, failure: WatchFailure) {
        // A poll without an answer was counted when the watch became silent.
        if failure != WatchFailure::Unanswered {
            self.pools[pool].count_discovery_failure();
        }
        self.notify_rebalancer(now, pool, RebalanceEvent::EndpointListLost);
        self.dispatch(now, pool, Event::EndpointWatchFailed(failure));
        self.limit_forwarding_to_list_expiry(pool);
    }

    /// Has attempts in flight give up before they would write a request after the list's expiry.
    fn limit_forwarding_to_list_expiry(&mut self, pool: PoolId) {
        let Some(expires_at) = self.pools[pool].balancer.endpoint_list_expires_at() else { return };
        let placed: Vec<PlacedConnection> = self.connections.placed(pool).collect();
        for PlacedConnection { connection, .. } in placed {
            self.connections.limit_forwarding(connection, expires_at);
        }
    }

    /// The timing of the watch on a pool's endpoint list.
    pub fn endpoint_watch_timing(&self, pool: PoolId) -> EndpointWatchTiming {
        let settings = &self.pools[pool].config.settings;
        EndpointWatchTiming {
            answer_timeout: settings.watch_answer_timeout(),
            reopening_timeout: settings.watch_reopening_timeout(),
            max_reopening_delay: settings.max_watch_reopening_delay(),
        }
    }
}
