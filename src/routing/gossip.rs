//! The reducer's side of gossip: observations that this balancer sends and receives.
//!
//! Whether an observation is sent or applied is decided in `src/peers/`, which also limits what gossip costs. A received
//! observation is applied only if it concerns a listed server: others mean nothing here, and their number is unbounded.
//! The sampled groups of a message go to the balancer before the observation.
//!
//! This module owns no state.

use super::{Effect, PoolId, State};
use crate::peers::{GossipMessage, Observation};
use crate::{Event, Time};

impl State {
    /// Applies a message of another balancer.
    pub(super) fn on_gossip_received(&mut self, now: Time, pool_id: PoolId, message: GossipMessage) {
        let pool = &mut self.pools[pool_id];
        let is_listed = |server| pool.endpoints.get(server).is_some();
        if !message.observation.server().is_none_or(is_listed) {
            return;
        }
        if !pool.peers.record_received(now, message.observation) {
            return;
        }
        self.dispatch(now, pool_id, Event::PeerGroupSample(&message.groups));
        self.dispatch(now, pool_id, event_of(message.observation));
    }

    /// Sends an observation to the other balancers if the credit pays for it, with a sample of the groups of connections
    /// that are established here.
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
