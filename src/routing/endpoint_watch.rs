//! The watch on a pool's endpoint list: what its answers and failures mean for the list, and for attempts that
//! were begun by it.

use super::connection_table::PlacedConnection;
use super::{Effect, LogEvent, PoolId, State};
use crate::rebalance::RebalanceEvent;
use crate::{Event, Micros, Time, WatchFailure};

/// How a watch on an endpoint list is to be timed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointWatchTiming {
    /// How long after the end of its hold a call may go without an answer before it counts as silent.
    pub answer_timeout: Micros,
    /// How long the call may take that opens a silent watch anew.
    pub reopening_timeout: Micros,
    /// The longest delay before a call that has fallen silent is made anew; the delay is a random part of it.
    pub max_reopening_delay: Micros,
}

impl State {
    /// A list that was received is the present one, but for that of the operator's file, which nobody watches.
    pub(super) fn confirm_endpoint_list(&mut self, now: Time, pool_id: PoolId) {
        let Some(pool) = self.pools.get_mut(pool_id) else { return };
        pool.listed.mark_received(now);
        let was_expired = std::mem::take(&mut pool.reported_expiry);
        let name = pool.config.name;
        if pool.config.discovery.is_some() {
            self.dispatch(now, pool_id, Event::EndpointListConfirmed);
        }
        if was_expired {
            self.effects.push(Effect::Log(LogEvent::EndpointListRestored { pool: name }));
        }
    }

    pub(super) fn on_endpoint_watch_silent(&mut self, now: Time, pool: PoolId, called_ago: Micros) {
        let since = now.minus(called_ago);
        self.pools[pool].count_discovery_failure();
        self.notify_rebalancer(now, pool, RebalanceEvent::EndpointListLost);
        self.dispatch(now, pool, Event::EndpointWatchSilent { since });
        self.limit_forwarding_by_list(pool);
    }

    /// Attempts that wait for their connections were begun by the list as it was then: their requests are not
    /// to be written once it has expired.
    fn limit_forwarding_by_list(&mut self, pool: PoolId) {
        let Some(expires_at) = self.pools[pool].balancer.endpoint_list_expires_at() else { return };
        let placed: Vec<PlacedConnection> = self.connections.placed(pool).collect();
        for PlacedConnection { connection, .. } in placed {
            self.connections.limit_forwarding(connection, expires_at);
        }
    }

    /// How a pool's watch on its endpoint list is to be timed.
    pub fn endpoint_watch_timing(&self, pool: PoolId) -> EndpointWatchTiming {
        let settings = &self.pools[pool].config.settings;
        EndpointWatchTiming {
            answer_timeout: settings.watch_answer_timeout(),
            reopening_timeout: settings.watch_reopening_timeout(),
            max_reopening_delay: settings.max_watch_reopening_delay(),
        }
    }

    pub(super) fn on_endpoint_watch_lost(&mut self, now: Time, pool: PoolId, failure: WatchFailure) {
        // A call without an answer was counted when it fell silent.
        if failure != WatchFailure::Unanswered {
            self.pools[pool].count_discovery_failure();
        }
        self.notify_rebalancer(now, pool, RebalanceEvent::EndpointListLost);
        self.dispatch(now, pool, Event::EndpointWatchFailed(failure));
        self.limit_forwarding_by_list(pool);
    }
}
