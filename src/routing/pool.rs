//! One pool of servers: its configuration, its balancer, and all that is known of its servers and connections.

use std::collections::BTreeMap;

use super::admitted_connections::AdmittedConnections;
use super::exclusions::PoolExclusions;
use super::load_reports::LoadReports;
use super::probes::Probes;
use super::{
    server_id, ClassCounters, Endpoint, EndpointList, Lifecycle, Metrics, PoolConfig, PoolHandoverState,
};
use crate::peers::Peers;
use crate::rebalance::Rebalancer;
use crate::{Balancer, ClassId, Micros, RefusalReason, ServerId, Time};

/// The parts of a pool, each with its own invariants.
pub(super) struct Pool {
    pub(super) config: PoolConfig,
    pub(super) balancer: Balancer,
    pub(super) rebalance: Rebalancer,
    /// Gossip with the other balancers of the tier.
    pub(super) peers: Peers,
    pub(super) probes: Probes,
    /// The endpoint list in effect: the listed servers, less those that are excluded.
    pub(super) endpoints: EndpointList,
    /// The endpoint list as discovery or the operator's file has it.
    pub(super) listed: ListedEndpoints,
    /// Whether the log says that the endpoint list has expired.
    pub(super) reported_expiry: bool,
    pub(super) exclusions: PoolExclusions,
    pub(super) admitted: AdmittedConnections,
    pub(super) load_reports: LoadReports,
    /// Outcomes by class, in the order of the configuration.
    class_counters: Vec<ClassCounters>,
    /// Requests that were answered without a server.
    refusals: BTreeMap<RefusalReason, u64>,
    /// Calls for the endpoint list that failed.
    discovery_failures: u64,
    /// When the balancer wants [`crate::Event::TimerFired`].
    balancer_timer: Option<Time>,
}

/// The endpoint list as discovery or the operator's file has it.
#[derive(Default)]
pub(super) struct ListedEndpoints {
    by_name: BTreeMap<String, Endpoint>,
    /// When the list was last received or confirmed; `None` while it is just the cached one.
    received_at: Option<Time>,
}

impl ListedEndpoints {
    pub(super) fn by_name(&self) -> &BTreeMap<String, Endpoint> {
        &self.by_name
    }

    /// Puts a whole list in place, or applies a change of it.
    pub(super) fn apply(&mut self, is_snapshot: bool, endpoints: Vec<Endpoint>) {
        if is_snapshot {
            self.by_name.clear();
        }
        for endpoint in endpoints {
            if endpoint.lifecycle == Lifecycle::Gone {
                self.by_name.remove(&endpoint.name);
            } else {
                self.by_name.insert(endpoint.name.clone(), endpoint);
            }
        }
    }

    pub(super) fn mark_received(&mut self, now: Time) {
        self.received_at = Some(now);
    }

    /// Whether the pool can serve by this list. With discovery down no process would ever be ready, though the
    /// cached list may do.
    pub(super) fn is_usable(&self) -> bool {
        self.received_at.is_some() || !self.by_name.is_empty()
    }
}

impl Pool {
    pub(super) fn new(config: PoolConfig, now: Time) -> Pool {
        Pool {
            balancer: Balancer::new(config.settings.clone(), config.seed, now),
            peers: Peers::new(config.gossip_config(), config.seed),
            rebalance: Rebalancer::new(config.rebalance, config.rebalance_context(), config.seed, now),
            probes: Probes::default(),
            endpoints: EndpointList::default(),
            listed: ListedEndpoints::default(),
            reported_expiry: false,
            exclusions: PoolExclusions::default(),
            admitted: AdmittedConnections::default(),
            load_reports: LoadReports::default(),
            class_counters: vec![ClassCounters::default(); config.classes.len()],
            refusals: BTreeMap::new(),
            discovery_failures: 0,
            balancer_timer: None,
            config,
        }
    }

    /// Puts another configuration in place; connections and what was learned of servers stay.
    pub(super) fn configure(&mut self, now: Time, config: PoolConfig) {
        self.balancer.configure(config.settings.clone());
        self.peers.configure(config.gossip_config());
        self.rebalance.configure(now, config.rebalance, config.rebalance_context());
        self.class_counters.resize(config.classes.len(), ClassCounters::default());
        self.config = config;
    }

    // ---- The balancer's timer ----

    pub(super) fn balancer_timer(&self) -> Option<Time> {
        self.balancer_timer
    }

    /// Sets the balancer's timer, unless it fires sooner.
    pub(super) fn set_balancer_timer(&mut self, at: Time) {
        self.balancer_timer = Some(self.balancer_timer.map_or(at, |earlier| earlier.min(at)));
    }

    /// Stops the balancer's timer if it is due, and returns whether it was.
    pub(super) fn take_due_balancer_timer(&mut self, now: Time) -> bool {
        let is_due = self.balancer_timer.is_some_and(|at| at <= now);
        if is_due {
            self.balancer_timer = None;
        }
        is_due
    }

    // ---- Metrics ----

    pub(super) fn class_counters_mut(&mut self, class: ClassId) -> Option<&mut ClassCounters> {
        self.class_counters.get_mut(class.0 as usize)
    }

    pub(super) fn count_refusal(&mut self, reason: RefusalReason) {
        *self.refusals.entry(reason).or_default() += 1;
    }

    pub(super) fn count_discovery_failure(&mut self) {
        self.discovery_failures += 1;
    }

    /// Adds this pool's share to the metrics.
    pub(super) fn add_to_metrics(&self, now: Time, metrics: &mut Metrics) {
        // A class that is no longer configured has an empty name.
        let named =
            self.config.classes.iter().zip(&self.class_counters).filter(|(class, _)| !class.is_empty());
        for (class, counters) in named {
            let total = metrics.classes.entry(class.clone()).or_default();
            total.succeeded += counters.succeeded;
            total.declined += counters.declined;
            total.aborted += counters.aborted;
        }
        metrics.outstanding += self.admitted.count() as u64;
        metrics.discovered += self.endpoints.ids().count() as u64;
        metrics.ejected += self.endpoints.ids().filter(|&server| self.is_avoided(now, server)).count() as u64;
        for (&reason, count) in &self.refusals {
            *metrics.refusals.entry(reason).or_default() += count;
        }
        metrics.discovery_failures += self.discovery_failures;
        // A list from the operator's file does not age.
        let received_at = self.listed.received_at.filter(|_| self.config.discovery.is_some());
        metrics.endpoint_list_age = metrics.endpoint_list_age.max(received_at.map(|at| now.since(at)));
        if self.config.rebalance.enabled {
            metrics.rebalance.insert(self.config.name.to_owned(), self.rebalance.metrics());
        }
    }

    fn is_avoided(&self, now: Time, server: ServerId) -> bool {
        self.is_excluded(server) || self.balancer.is_avoided(now, server)
    }

    /// Whether a server is listed, and excluded by an operator.
    pub(super) fn is_excluded(&self, server: ServerId) -> bool {
        self.endpoints.get(server).is_some_and(|endpoint| self.exclusions.contains(&endpoint.name))
    }

    // ---- Hot restart ----

    /// What a successor has to know.
    pub(super) fn export_state(&self) -> PoolHandoverState {
        let learned = |endpoint: &Endpoint| self.balancer.learned_state(server_id(&endpoint.name));
        let listed = self.listed.by_name.values();
        PoolHandoverState {
            endpoints: listed.map(|endpoint| (endpoint.clone(), learned(endpoint))).collect(),
            readmitted: self.exclusions.readmitted(),
            ids: self.admitted.request_ids(),
        }
    }

    /// Takes in what the predecessor knew of the servers and connections, but for what it learned.
    pub(super) fn import_state(&mut self, state: &PoolHandoverState) {
        self.exclusions.import_readmitted(&state.readmitted);
        self.admitted.import_request_ids(&state.ids);
        // Without discovery the list is in this process's own configuration.
        if self.config.discovery.is_some() && !state.endpoints.is_empty() {
            let named = state.endpoints.iter().map(|(endpoint, _)| (endpoint.name.clone(), endpoint.clone()));
            self.listed.by_name = named.collect();
        }
    }

    /// Takes in what the predecessor learned of the servers; they have to be in the list by now.
    pub(super) fn import_learned_state(&mut self, state: &PoolHandoverState) {
        for (endpoint, learned) in &state.endpoints {
            if let Some(learned) = *learned {
                self.balancer.restore_learned_state(server_id(&endpoint.name), learned);
            }
        }
    }

    /// How long a server counts as warming up after its start.
    pub(super) fn slow_start_duration(&self) -> Micros {
        self.config.settings.slow_start_duration
    }
}
