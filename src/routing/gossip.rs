//! Gossip in the reducer: sends the observations of this balancer and applies those of other balancers.
//!
//! `src/peers/` decides which observations are sent or applied, and limits the cost of gossip. A received
//! observation of a server is applied only if the server is listed: other servers are unknown to this
//! balancer, and their number is unbounded. The balancer receives the sampled groups of a message before the
//! observation.
//!
//! This module owns no state.

use super::{Effect, PoolId, State};
use crate::peers::{GossipMessage, Observation};
use crate::{Event, Time};

impl State {
    /// Applies a message of another balancer.
    pub(super) fn on_gossip_received(&mut self, now: Time, pool_id: PoolId, message: GossipMessage) {
        let pool = &mut self.pools[pool_id.0];
        let is_listed = |server| pool.endpoints.get(server).is_some();
        if !message.observation.server().is_none_or(is_listed) {
            return;
        }
        if !pool.gossip.record_received(now, message.observation) {
            return;
        }
        self.dispatch(now, pool_id, Event::PeerGroupSample(&message.groups));
        self.dispatch(now, pool_id, event_of(message.observation));
    }

    /// Sends an observation to the other balancers, with a sample of the groups of connections that are
    /// established at this balancer. Does nothing if [`crate::peers::Gossip::should_broadcast`] decides
    /// against it, for instance for lack of credit.
    pub(super) fn broadcast_observation(&mut self, now: Time, pool_id: PoolId, observation: Observation) {
        let pool = &mut self.pools[pool_id.0];
        if pool.gossip.should_broadcast(now, observation) {
            let groups = pool.gossip.sample_groups(pool.balancer.established_groups());
            self.effects.push(Effect::BroadcastGossip(GossipMessage { observation, groups }));
        }
    }
}

/// Returns the event that reports an observation to the balancer.
fn event_of(observation: Observation) -> Event<'static> {
    match observation {
        Observation::SlowServer(server, time) => Event::PeerObservation { server, message_time: Some(time) },
        Observation::Dropped(server) => Event::PeerObservation { server, message_time: None },
        Observation::SlowSetups => Event::PeerObservedSlowSetups,
    }
}
