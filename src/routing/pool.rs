//! One pool of servers: the servers of one front, with their endpoint list and their balancer.
//!
//! [`Pool`] composes the parts, each of which keeps its own state and invariants:
//!
//! | part | decides or records |
//! | --- | --- |
//! | `balancer` | server, retry and rejection for each request; occupancy and learned state of servers |
//! | `rebalancer` | which established connections migrate for balance |
//! | `gossip` | which observations are sent to the other balancers |
//! | `probes` | health checks in flight, and processes that refuse them |
//! | `listed`, `endpoints` | the endpoint list as received, and the list in effect |
//! | `exclusions` | excluded and readmitted servers |
//! | `admitted` | number and client-chosen ids of admitted connections |
//! | `load_reports` | whether a reported value is a load or a message time |
//!
//! The pool itself owns its metrics and its balancer's timer.

use std::collections::BTreeMap;

use super::admitted_connections::AdmittedConnections;
use super::endpoints::EndpointList;
use super::listed_endpoints::ListedEndpoints;
use super::load_reports::LoadReports;
use super::pool_exclusions::PoolExclusions;
use super::probe_records::ProbeRecords;
use super::{server_id, ClassCounters, Endpoint, ExportedEndpoint, Metrics, PoolConfig, PoolHandoverState};
use crate::peers::Gossip;
use crate::rebalance::Rebalancer;
use crate::{Balancer, ClassId, Micros, RefusalReason, ServerId, Time};

/// One pool of servers, with the parts that keep its state.
pub(super) struct Pool {
    pub(super) config: PoolConfig,
    pub(super) balancer: Balancer,
    pub(super) rebalancer: Rebalancer,
    /// Gossip with the other balancers of the tier.
    pub(super) gossip: Gossip,
    pub(super) probes: ProbeRecords,
    /// The endpoint list in effect, derived from `listed`, the replicated map and the exclusions.
    pub(super) endpoints: EndpointList,
    /// The endpoint list as received from discovery or read from the operator's file.
    pub(super) listed: ListedEndpoints,
    /// Whether the endpoint list's expiry has been logged and no list has been received since.
    is_expiry_logged: bool,
    pub(super) exclusions: PoolExclusions,
    pub(super) admitted: AdmittedConnections,
    pub(super) load_reports: LoadReports,
    /// Outcomes of connections by class, in the order of the configuration.
    class_counters: Vec<ClassCounters>,
    /// Number of requests that the balancer rejected or failed, by reason.
    refusals: BTreeMap<RefusalReason, u64>,
    /// Number of polls of the endpoint list that failed.
    discovery_failures: u64,
    /// Time at which [`crate::Event::TimerFired`] has to be passed to the balancer, if its timer is set.
    balancer_timer: Option<Time>,
}

impl Pool {
    pub(super) fn new(config: PoolConfig, now: Time) -> Pool {
        Pool {
            balancer: Balancer::new(config.settings.clone(), config.seed, now),
            gossip: Gossip::new(config.gossip_config(), config.seed),
            rebalancer: Rebalancer::new(config.rebalance, config.rebalance_context(), config.seed, now),
            probes: ProbeRecords::default(),
            endpoints: EndpointList::default(),
            listed: ListedEndpoints::default(),
            is_expiry_logged: false,
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

    /// Records that the endpoint list has expired. Returns whether that still has to be logged.
    pub(super) fn record_expiry(&mut self) -> bool {
        !std::mem::replace(&mut self.is_expiry_logged, true)
    }

    /// Records that an endpoint list was received. Returns whether the expiry of the previous list was
    /// logged.
    pub(super) fn record_received_list(&mut self, now: Time) -> bool {
        self.listed.record_received(now);
        std::mem::take(&mut self.is_expiry_logged)
    }

    /// Replaces the configuration. Connections and the learned state of servers remain.
    pub(super) fn configure(&mut self, now: Time, config: PoolConfig) {
        self.balancer.configure(config.settings.clone());
        self.gossip.configure(config.gossip_config());
        self.rebalancer.configure(now, config.rebalance, config.rebalance_context());
        self.class_counters.resize(config.classes.len(), ClassCounters::default());
        self.config = config;
    }

    // ---- The balancer's timer ----

    pub(super) fn balancer_timer(&self) -> Option<Time> {
        self.balancer_timer
    }

    /// Sets the balancer's timer, unless it is already set to an earlier time.
    pub(super) fn set_balancer_timer(&mut self, at: Time) {
        self.balancer_timer = Some(self.balancer_timer.map_or(at, |earlier| earlier.min(at)));
    }

    /// Stops the balancer's timer if it has expired. Returns whether it had expired.
    pub(super) fn clear_expired_balancer_timer(&mut self, now: Time) -> bool {
        self.balancer_timer.take_if(|at| *at <= now).is_some()
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

    /// Adds this pool's counters and gauges to the metrics.
    pub(super) fn add_to_metrics(&self, now: Time, metrics: &mut Metrics) {
        // A class that is no longer configured has an empty name.
        let configured =
            self.config.classes.iter().zip(&self.class_counters).filter(|(class, _)| !class.is_empty());
        for (class, counters) in configured {
            let total = metrics.classes.entry(class.clone()).or_default();
            total.succeeded += counters.succeeded;
            total.rejected += counters.rejected;
            total.failed += counters.failed;
        }
        metrics.outstanding += self.admitted.count() as u64;
        metrics.discovered += self.endpoints.server_ids().count() as u64;
        metrics.ejected +=
            self.endpoints.server_ids().filter(|&server| self.counts_as_ejected(now, server)).count() as u64;
        for (&reason, count) in &self.refusals {
            *metrics.refusals.entry(reason).or_default() += count;
        }
        metrics.discovery_failures += self.discovery_failures;
        // Only a list that is watched at discovery has an age. A list from a file does not expire.
        let received_at = self.listed.received_at().filter(|_| self.config.discovery.is_some());
        metrics.endpoint_list_age = metrics.endpoint_list_age.max(received_at.map(|at| now.since(at)));
        if self.config.rebalance.enabled {
            metrics.rebalance.insert(self.config.name.to_owned(), self.rebalancer.metrics());
        }
    }

    fn counts_as_ejected(&self, now: Time, server: ServerId) -> bool {
        self.is_excluded(server) || self.balancer.counts_as_ejected(now, server)
    }

    /// Returns whether a server is listed and excluded by an operator.
    pub(super) fn is_excluded(&self, server: ServerId) -> bool {
        self.endpoints.get(server).is_some_and(|endpoint| self.exclusions.contains(&endpoint.name))
    }

    // ---- Hot restart ----

    /// Returns the state of this pool for a successor.
    pub(super) fn export_state(&self) -> PoolHandoverState {
        let export = |endpoint: &Endpoint| ExportedEndpoint {
            endpoint: endpoint.clone(),
            learned_state: self.balancer.learned_state(server_id(&endpoint.name)),
        };
        PoolHandoverState {
            endpoint_lease: self.balancer.endpoint_lease(),
            endpoints: self.listed.by_name().values().map(export).collect(),
            readmitted: self.exclusions.readmitted(),
            request_ids: self.admitted.client_ids(),
        }
    }

    /// Imports the predecessor's endpoint list with its lease, readmissions and client-chosen ids.
    pub(super) fn import_state(&mut self, now: Time, state: &PoolHandoverState) {
        self.exclusions.import_readmitted(&state.readmitted);
        self.admitted.import_client_ids(&state.request_ids);
        // Without discovery, the list is read from this process's own configuration.
        if self.config.discovery.is_some() && !state.endpoints.is_empty() {
            self.listed.import(state.endpoints.iter().map(|exported| &exported.endpoint));
            self.balancer.import_endpoint_lease(now, state.endpoint_lease);
        }
    }

    /// Imports the predecessor's learned state of servers. The servers have to be in the list in effect
    /// before this call.
    pub(super) fn import_learned_state(&mut self, state: &PoolHandoverState) {
        for ExportedEndpoint { endpoint, learned_state } in &state.endpoints {
            if let Some(learned_state) = *learned_state {
                self.balancer.import_learned_state(server_id(&endpoint.name), learned_state);
            }
        }
    }

    /// Returns the time for which a server counts as warming up after its start.
    pub(super) fn slow_start_duration(&self) -> Micros {
        self.config.settings.slow_start_duration
    }
}
