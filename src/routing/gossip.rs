//! Gossip between the balancers of the tier: observations of servers, sent and received.

use super::{Effect, PoolId, State};
use crate::peers::{GossipMessage, Observation};
use crate::{Event, Time};

impl State {
    pub(super) fn on_gossip_received(&mut self, now: Time, pool_id: PoolId, message: GossipMessage) {
        let pool = &mut self.pools[pool_id];
        // Observations of servers that are not listed would fill the memory, and have no meaning here.
        let is_listed = |server| pool.endpoints.get(server).is_some();
        if !message.observation.server().is_none_or(is_listed) {
            return;
        }
        if !pool.peers.accept(now, message.observation) {
            return;
        }
        self.dispatch(now, pool_id, Event::PeerGroupSample(&message.groups));
        self.dispatch(now, pool_id, event_of(message.observation));
    }

    /// Sends an observation to the other balancers if that is worth its cost, with a sample of the groups whose
    /// connections are established here.
    pub(super) fn broadcast_observation(&mut self, now: Time, pool_id: PoolId, observation: Observation) {
        let pool = &mut self.pools[pool_id];
        if pool.peers.should_broadcast(now, observation) {
            let groups = pool.peers.sample_groups(pool.balancer.established_groups());
            self.effects.push(Effect::BroadcastGossip(GossipMessage { observation, groups }));
        }
    }
}

/// An observation as an event of the decision module.
fn event_of(observation: Observation) -> Event<'static> {
    match observation {
        Observation::SlowServer(server, took) => Event::PeerObservation { server, took: Some(took) },
        Observation::Dropped(server) => Event::PeerObservation { server, took: None },
        Observation::SlowSetUps => Event::PeerSetupSlow,
    }
}
