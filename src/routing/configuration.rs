//! A reload of the configuration.

use std::net::SocketAddr;

use super::{Budget, Effect, PoolConfig, PoolId, State};
use crate::Time;

impl State {
    /// Puts another configuration in place, all at once. Exclusions, connections and what was learned of servers
    /// stay, and so does the endpoint list until a new discovery service sends another.
    pub(super) fn on_configuration_changed(
        &mut self,
        now: Time,
        configs: Vec<PoolConfig>,
        peers: Vec<SocketAddr>,
        budget: Budget,
    ) {
        self.admission.set_budget(budget);
        let known_pools = self.pools.len();
        for (pool, config) in configs.into_iter().enumerate().take(known_pools) {
            self.configure_pool(now, pool, config);
        }
        self.replication.set_peers(now, peers);
    }

    fn configure_pool(&mut self, now: Time, pool_id: PoolId, config: PoolConfig) {
        let pool = &mut self.pools[pool_id];
        let config = config.replacing(&pool.config);
        let new_discovery = config.discovery.filter(|_| config.discovery != pool.config.discovery);
        pool.configure(now, config);
        self.refresh_endpoints(now, pool_id);
        if let Some(discovery) = new_discovery {
            self.effects.push(Effect::WatchEndpointsAt { pool: pool_id, discovery });
        }
    }
}
