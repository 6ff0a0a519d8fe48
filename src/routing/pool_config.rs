//! The reducer's configuration: its pools of servers, its replicas and the limits of its fronts.
//!
//! The program reads it from the settings files (`src/program/config/`). [`PoolConfig`] also derives the
//! configurations of gossip and of the rebalancer, and renumbers a reloaded configuration so that each name
//! keeps its number.

use std::net::SocketAddr;

use crate::{peers, rebalance, ClassId, Micros, Settings, TenantId, ZoneId};

/// Configuration of the replicated map.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReplicationConfig {
    /// Name of this replica, unique among all replicas.
    pub node: String,
    /// Addresses of the other replicas.
    pub other_replicas: Vec<SocketAddr>,
}

/// Limits of all fronts together, derived from the limits of this machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResourceLimits {
    /// Limit of pending connections: those without a request, and answered ones whose sockets are still open.
    pub max_pending_connections: usize,
    /// Limit of connections whose request was admitted, including established ones.
    pub max_admitted_connections: usize,
    /// Bytes buffered for one side of a connection at which the balancer stops reading from the other side.
    pub buffer_bytes: usize,
    /// Longest response of discovery that is read, in bytes.
    pub max_response_bytes: usize,
}

/// Configuration of one pool of servers.
#[derive(Clone, Debug)]
pub struct PoolConfig {
    /// Name of the pool's front.
    pub name: &'static str,
    /// Names of the classes, in the order of their [`crate::ClassId`]s.
    pub classes: Vec<String>,
    /// Names of the tenants, in the order of their [`crate::TenantId`]s.
    pub tenants: Vec<String>,
    /// Names of the zones, in the order of their [`crate::ZoneId`]s.
    pub zones: Vec<String>,
    /// Settings of the balancer.
    pub settings: Settings,
    /// Seed of the random draws of the balancer, the rebalancer and gossip.
    pub seed: u64,
    /// Address at which the endpoint list is watched. `None` if the list is read from a file.
    pub discovery: Option<SocketAddr>,
    /// Time within which a client has to send its request after it has connected.
    pub request_timeout: Micros,
    /// Whether entries of the replicated map may add servers and limit the connections.
    pub uses_replicated_map: bool,
    /// The limit of connections that applies if the replicated map contains none.
    pub max_connections: usize,
    /// Time over which clients of a draining server are migrated; 0 if servers redirect their clients
    /// themselves.
    pub drain_duration: Micros,
    /// Time within which a server has to answer a forwarded line. Otherwise the established connection is
    /// migrated. 0 if silence has no effect.
    pub server_silence_timeout: Micros,
    /// Whether servers report message times.
    pub reports_message_time: bool,
    /// Whether servers report the load of a connection, in the same form as message times.
    pub reports_load: bool,
    /// Names of the fields in a probe's answer that may carry the server's utilisation, in the order of
    /// preference.
    pub load_report_fields: Vec<&'static str>,
    /// The longest time that a client waits for its answer.
    pub max_client_wait: Micros,
    /// Configuration of the migration of established connections for balance.
    pub rebalance: rebalance::RebalanceConfig,
    /// Price of 256 bytes of gossip with each request, as a share of the value delivered. `None` if the
    /// balancers of the tier do not gossip.
    pub gossip_price: Option<f64>,
}

impl PoolConfig {
    /// Returns the class of this name.
    pub(super) fn class_id(&self, name: &str) -> Option<ClassId> {
        self.classes.iter().position(|class| class == name).map(|index| ClassId(index as u16))
    }

    /// Returns the tenant of this name.
    pub(super) fn tenant_id(&self, name: &str) -> Option<TenantId> {
        self.tenants.iter().position(|tenant| tenant == name).map(|index| TenantId(index as u16))
    }

    /// Returns the configuration of gossip between the balancers of the tier.
    pub(super) fn gossip_config(&self) -> peers::GossipConfig {
        peers::GossipConfig {
            enabled: self.gossip_price.is_some(),
            price: self.gossip_price.unwrap_or(0.0),
            balancers: self.settings.balancers,
            message_objective: self.settings.message_objective(),
            observation_validity: self.settings.peer_observation_validity(),
            slow_setup_validity: self.settings.slow_setup_validity(),
        }
    }

    /// Returns the settings that the rebalancer needs.
    pub(super) fn rebalance_context(&self) -> rebalance::RebalanceContext {
        let Settings { classes, balancers, migration_cost, slow_start_duration, .. } = &self.settings;
        let setup_objectives = classes.iter().map(|class| class.setup_objective);
        let configured_objectives = setup_objectives.filter(|&objective| objective > Micros::ZERO);
        rebalance::RebalanceContext {
            balancers: *balancers,
            priority_weights: classes.iter().map(|class| class.priority_weight).collect(),
            setup_objective: configured_objectives.min().unwrap_or(Micros::ZERO),
            message_objective: self.settings.message_objective(),
            reports_message_time: self.reports_message_time,
            migration_cost: *migration_cost,
            slow_start_duration: *slow_start_duration,
        }
    }

    /// Returns this configuration with the numbers of the `old` one that it replaces. Connections and the
    /// balancer refer to classes, tenants and zones by number, so each name keeps its number. A number whose
    /// name is no longer configured gets an empty name.
    pub(super) fn renumbered_like(mut self, old: &PoolConfig) -> PoolConfig {
        let settings = &mut self.settings;
        let local_zone = self.zones.get(settings.zone.0 as usize).cloned();
        self.classes = renumber(&old.classes, &old.settings.classes, &self.classes, &mut settings.classes);
        self.tenants = renumber(&old.tenants, &old.settings.tenants, &self.tenants, &mut settings.tenants);
        self.zones = renumber(&old.zones, &old.zones, &self.zones, &mut self.zones.clone());
        let local_index = local_zone.and_then(|local| self.zones.iter().position(|zone| *zone == local));
        settings.zone = ZoneId(local_index.unwrap_or(0) as u16);
        self
    }
}

/// Returns the names in an order in which the old ones keep their positions, and puts `new_items` in that
/// order. A name that is no longer configured becomes empty and keeps its old item.
fn renumber<T: Clone>(
    old_names: &[String],
    old_items: &[T],
    new_names: &[String],
    new_items: &mut Vec<T>,
) -> Vec<String> {
    let new_index = |name: &String| new_names.iter().position(|new| new == name);
    let is_added = |name: &&String| !old_names.contains(name);
    let kept_items = old_names
        .iter()
        .zip(old_items)
        .map(|(name, old)| new_index(name).and_then(|index| new_items.get(index)).unwrap_or(old).clone());
    let added_items = new_names
        .iter()
        .zip(new_items.iter())
        .filter(|(name, _)| is_added(name))
        .map(|(_, item)| item.clone());
    *new_items = kept_items.chain(added_items).collect();
    let kept_names =
        old_names.iter().map(|name| if new_index(name).is_some() { name.clone() } else { String::new() });
    kept_names.chain(new_names.iter().filter(is_added).cloned()).collect()
}
