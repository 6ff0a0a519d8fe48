//! The reducer's configuration: its pools of servers, its replicas and the limits of its fronts.
//!
//! The program reads it from the settings files (`src/program/config/`). [`PoolConfig`] also derives the parts that concern
//! gossip and rebalancing, and numbers a reloaded configuration like the one before.

use std::net::SocketAddr;

use crate::{peers, rebalance, ClassId, Micros, Settings, TenantId, ZoneId};

/// Configuration of the replicated map.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReplicationConfig {
    /// Name of this replica, unique among all.
    pub node: String,
    /// The other replicas.
    pub peers: Vec<SocketAddr>,
}

/// Limits of all fronts together, derived from the limits of this machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Connections without an attempt: those without a request, and answered ones whose sockets are open.
    pub pending: usize,
    /// Connections whose request was admitted, established ones included.
    pub admitted: usize,
    /// Bytes buffered for one side of a connection before no more is read from the other side.
    pub buffer: usize,
}

/// Configuration of one pool of servers.
#[derive(Clone, Debug)]
pub struct PoolConfig {
    /// Name of its front.
    pub name: &'static str,
    /// Names of the classes, in the order of their [`crate::ClassId`]s.
    pub classes: Vec<String>,
    /// Names of the tenants, in the order of their [`crate::TenantId`]s.
    pub tenants: Vec<String>,
    /// Names of the zones, in the order of their [`crate::ZoneId`]s.
    pub zones: Vec<String>,
    /// Settings of the balancer.
    pub settings: Settings,
    /// Seed of the random draws.
    pub seed: u64,
    /// Address at which the endpoint list is watched. `None` where it comes from a file.
    pub discovery: Option<SocketAddr>,
    /// How long a client may take to send its request.
    pub handshake_timeout: Micros,
    /// Whether entries of the replicated map may add servers and limit the connections.
    pub uses_replicated_map: bool,
    /// The limit of connections where the replicated map holds none.
    pub max_connections: usize,
    /// Time over which clients of a draining server are migrated; 0 where servers redirect them themselves.
    pub drain_duration: Micros,
    /// An established connection whose server is silent for this long after a line is migrated; 0 for never.
    pub server_silence_timeout: Micros,
    /// Whether servers report how long messages take.
    pub reports_message_time: bool,
    /// Whether servers report the load of a connection, in the same form.
    pub reports_load: bool,
    /// Names under which a probe's answer may carry a server's utilisation, in the order of preference.
    pub load_report_fields: Vec<&'static str>,
    /// The longest time that a client waits for its answer.
    pub longest_wait: Micros,
    /// How established connections are migrated towards balance.
    pub rebalance: rebalance::RebalanceConfig,
    /// Price of 256 bytes of gossip with each request, as a share of the value delivered. `None` where the balancers of the
    /// tier do not gossip.
    pub gossip_price: Option<f64>,
}

impl PoolConfig {
    /// The class of this name.
    pub(super) fn class_id(&self, name: &str) -> Option<ClassId> {
        self.classes.iter().position(|class| class == name).map(|index| ClassId(index as u16))
    }

    /// The tenant of this name.
    pub(super) fn tenant_id(&self, name: &str) -> Option<TenantId> {
        self.tenants.iter().position(|tenant| tenant == name).map(|index| TenantId(index as u16))
    }

    /// The configuration of gossip between the balancers of the tier.
    pub(super) fn gossip_config(&self) -> peers::GossipConfig {
        peers::GossipConfig {
            enabled: self.gossip_price.is_some(),
            price: self.gossip_price.unwrap_or(0.0),
            balancers: self.settings.balancers,
            message_objective: self.settings.message_objective(),
            observation_hold: self.settings.peer_observation_hold(),
            slow_setup_hold: self.settings.slow_setup_hold(),
        }
    }

    /// What the rebalancer has to know of the configuration.
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

    /// This configuration, numbered like the `old` one that it replaces. Connections and the balancer refer to classes,
    /// tenants and zones by number, so each name keeps its number. A number whose name is no longer configured has an
    /// empty name.
    pub(super) fn replacing(mut self, old: &PoolConfig) -> PoolConfig {
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

/// Returns the names in an order in which the old ones keep their positions, and sorts `new_items` in that order.
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
