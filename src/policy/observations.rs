//! Processing of observations of servers, at this balancer and at peers.
//!
//! This module lists the steps in the order in which they happen. The rule that each step applies is in a
//! module of its own.

use rand::Rng;

use super::concurrency_limit::ReportedCapacity;
use super::migration::{self, MigrationNeed};
use super::probes;
use super::Balancer;
use crate::types::{Action, LoadReport, Measurement, Micros, RequestId, ServerId};

impl Balancer {
    /// Applies a measurement on an established connection.
    pub(super) fn on_connection_measured(&mut self, id: RequestId, measurement: Measurement) {
        let attempt = self.requests.get(id).and_then(|request| request.attempt);
        let Some(server) = attempt.map(|attempt| attempt.endpoint.server) else { return };
        match measurement {
            Measurement::MessageTime(message_time) => self.on_message_time(server, message_time),
            Measurement::Load(load) => self.on_load_measured(id, load),
        }
    }

    /// Updates the slots that a connection occupies by its measured load.
    fn on_load_measured(&mut self, id: RequestId, load: f64) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let Some(attempt) = request.attempt else { return };
        if self.servers.get(attempt.endpoint.server).is_none() {
            return;
        }
        let Some(slots) = self.connection_sizes.record(request.class, load) else { return };
        if let Some(server) = self.servers.get_mut_for_attempt(&attempt) {
            server.connections.adjust_occupied_slots(slots - request.slots);
        }
        request.slots = slots;
    }

    /// Adapts a server's ceiling to the time that a message took there, and migrates connections if the
    /// server is overloaded.
    fn on_message_time(&mut self, id: ServerId, message_time: Micros) {
        let objective = self.settings.message_objective();
        if objective.is_zero() {
            return;
        }
        let Some(server) = self.servers.get_mut(id) else { return };
        let objective_ratio = message_time.as_f64() / objective.as_f64();
        server.limit.on_message_time(self.now, server.connections.occupied_slots(), objective_ratio);
        if migration::is_overloaded(objective_ratio) {
            self.migrate_from(id, objective_ratio);
        }
    }

    /// Applies a peer's observation of a fault of a server: slow messages, which have a message time, or a
    /// drop, which has none. The fault counts from a random time in the future: all balancers receive the
    /// observation and must not all return to the server at once.
    pub(super) fn on_peer_observation(&mut self, id: ServerId, message_time: Option<Micros>) {
        let objective = self.settings.message_objective().max(Micros(1));
        let delay = self.settings.peer_observation_validity().as_f64() * self.rng.random::<f64>();
        let fault_time = self.now.plus(Micros::from_f64(delay));
        let Some(server) = self.servers.get_mut(id) else { return };
        let occupied = server.connections.occupied_slots();
        match message_time {
            Some(message_time) => {
                let objective_ratio = message_time.as_f64() / objective.as_f64();
                server.limit.on_peer_slow_messages(occupied, objective_ratio, fault_time);
            }
            None => server.limit.on_peer_drop(occupied, fault_time),
        }
    }

    /// Applies the load report of a probe, if the report is present and valid.
    pub(super) fn on_load_report(&mut self, id: ServerId, report: Option<LoadReport>) {
        let Some(report) = report.and_then(LoadReport::validated) else { return };
        let Some(server) = self.servers.get_mut(id) else { return };
        let occupied = server.connections.occupied_slots();
        let Some(occupied_in_report) = server.load_reports.record(report, occupied) else { return };
        self.update_connections_at_capacity(report.connections.is_some());
        let slots_at_capacity = self.slow_start_budget.connections_at_capacity();
        let reported =
            ReportedCapacity { utilisation: report.utilisation, occupied_in_report, slots_at_capacity };
        let Some(server) = self.servers.get_mut(id) else { return };
        server.limit.on_load_report(self.now, self.fault_window, occupied, reported);
        if report.utilisation >= 1.0 {
            self.migrate_from(id, 0.0);
        }
    }

    fn update_connections_at_capacity(&mut self, counts_all_balancers: bool) {
        let serving = self.servers.serving();
        let connections =
            probes::connections_at_capacity(serving, counts_all_balancers, &self.settings, self.now);
        if let Some(connections) = connections {
            self.slow_start_budget.set_connections_at_capacity(connections);
        }
    }

    /// Adds the credit that an established connection earns, and sends as many probes as the credit covers.
    pub(super) fn send_probes(&mut self) {
        let are_allowed = self.settings.probes_allowed && self.settings.probes_report_load;
        if !are_allowed || self.endpoint_lease.is_expired(self.now) {
            return;
        }
        self.probe_credit.on_established(&self.settings, self.servers.len());
        while self.probe_credit.spend() {
            let least_recent =
                self.servers.serving_mut().min_by_key(|server| server.load_reports.last_probe());
            let Some(server) = least_recent else { return };
            server.load_reports.on_probe_sent(self.now);
            self.actions.push(Action::ProbeServer { server: server.entry.server });
        }
    }

    /// Asks some clients of an overloaded server to reconnect. While the endpoint list is expired no client
    /// is asked, because it would be rejected.
    fn migrate_from(&mut self, from: ServerId, objective_ratio: f64) {
        if self.endpoint_lease.is_expired(self.now) {
            return;
        }
        let Some(server) =
            self.servers.get(from).filter(|server| server.last_migration.allows_next(self.now))
        else {
            return;
        };
        let need = MigrationNeed::new(server, objective_ratio);
        let random = self.rng.random::<f64>();
        let serving = self.servers.serving();
        let spare = migration::spare_capacity(serving, &self.settings, self.now, self.fault_window);
        let selected = self.connections_by_relief(from).into_iter().take(need.count(random, spare));
        for id in selected {
            if let Some(server) = self.servers.get_mut(from) {
                server.last_migration.record(self.now);
            }
            if let Some(request) = self.requests.get_mut(id) {
                request.is_migrating = true;
            }
            self.actions.push(Action::Migrate { request: id });
        }
    }

    /// Returns a server's connections that were not yet asked to migrate, ordered by decreasing relief of the
    /// server.
    fn connections_by_relief(&self, from: ServerId) -> Vec<RequestId> {
        let Some(server) = self.servers.get(from) else { return Vec::new() };
        let has_loads = self.connection_sizes.has_measurements();
        let relief = |id: RequestId| {
            let request = self.requests.get(id).filter(|request| !request.is_migrating)?;
            let class = self.settings.class(request.class).filter(|_| has_loads);
            let freed_slots = server.connections.slots_to_free(request.group, request.slots);
            Some((migration::relief(freed_slots, class.map(|class| class.priority_weight)), id))
        };
        let mut ranked: Vec<_> = server.connections.established().filter_map(relief).collect();
        ranked.sort_by(|a, b| b.0.total_cmp(&a.0));
        ranked.into_iter().map(|(_, id)| id).collect()
    }
}
