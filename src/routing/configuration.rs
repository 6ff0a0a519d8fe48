//! Reload of the configuration.
//!
//! The new configuration is complete and checked when it arrives here, and it is applied in one step.
//! Connections, exclusions and the learned state of servers remain. The endpoint list also remains, until the
//! watch at a new discovery address delivers another one or the list's lease ends. Classes, tenants and zones
//! keep their numbers ([`PoolConfig::renumbered_like`]), because connections and the balancer refer to them by
//! number. The number of pools does not change.

use std::net::SocketAddr;

use super::{Effect, PoolConfig, PoolId, ResourceLimits, State};
use crate::Time;

impl State {
    /// Replaces the configuration of all pools, the other replicas and the limits of the fronts.
    pub(super) fn on_configuration_changed(
        &mut self,
        now: Time,
        configs: Vec<PoolConfig>,
        other_replicas: Vec<SocketAddr>,
        resource_limits: ResourceLimits,
    ) {
        self.admission.set_resource_limits(resource_limits);
        let known_pools = self.pools.len();
        for (index, config) in configs.into_iter().enumerate().take(known_pools) {
            self.configure_pool(now, PoolId(index), config);
        }
        self.replication.set_other_replicas(now, other_replicas);
    }

    /// Replaces a pool's configuration, and starts a new watch if its discovery address has changed.
    fn configure_pool(&mut self, now: Time, pool_id: PoolId, config: PoolConfig) {
        let pool = &mut self.pools[pool_id.0];
        let config = config.renumbered_like(&pool.config);
        let new_discovery = config.discovery.filter(|_| config.discovery != pool.config.discovery);
        pool.configure(now, config);
        self.refresh_endpoints(now, pool_id);
        if let Some(discovery) = new_discovery {
            self.on_discovery_address_changed(now, pool_id);
            self.effects.push(Effect::WatchEndpointsAt { pool: pool_id, discovery });
        }
    }
}
