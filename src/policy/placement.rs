//! The steps that choose a server for a request: update the state of the servers, collect the candidates, and
//! draw one of them.

use rand::Rng;

use super::fault_window::FleetOccupancy;
use super::selection::{self, Candidate, Preferences};
use super::Balancer;
use crate::types::{RequestId, ServerId};

impl Balancer {
    /// Selects a server for a request, or returns none if no server may receive an attempt of it. Updates the
    /// ceilings and the slow-start waits of all servers first.
    pub(super) fn select_server(&mut self, id: RequestId) -> Option<ServerId> {
        self.update_servers();
        let fleet = self.fleet_occupancy();
        let candidates = self.collect_candidates(id);
        self.slow_start_budget.record_occupancy(fleet);
        self.fault_window.adapt(self.settings.max_retry_after, fleet);
        let group = self.requests.get(id)?.group;
        let group_share = group.map_or(0.0, |group| self.group_statistics.share(group));
        let preferences = Preferences::new(group, group_share, fleet, &self.settings);
        preferences.select(&mut self.rng, &candidates).or_else(|| self.select_last_resort(id))
    }

    /// Lets ceilings recover, and shortens slow-start waits whose pacing interval has become shorter.
    fn update_servers(&mut self) {
        let interval = self.slow_start_budget.pacing_interval(&self.settings);
        for server in self.servers.serving_mut() {
            let occupied = server.connections.occupied_slots();
            let is_connecting = server.connections.has_attempt_in_flight();
            server.limit.recover(self.now, self.fault_window, occupied, is_connecting);
            server.slow_start.tighten_pacing(self.now, interval);
        }
    }

    fn fleet_occupancy(&self) -> FleetOccupancy {
        let mut fleet = FleetOccupancy::default();
        for server in self.servers.serving() {
            fleet.servers += 1.0;
            fleet.occupied_slots += server.connections.occupied_slots();
        }
        fleet
    }

    /// Collects the servers that may receive an attempt of a request: servers that are not held back by slow
    /// start, where the retry policy allows the request to run, and that are not ejected.
    fn collect_candidates(&mut self, id: RequestId) -> Vec<Candidate> {
        let now = self.now;
        let serving_count = self.servers.serving().count();
        let probability = self.slow_start_budget.admission_probability(now, serving_count, &self.settings);
        let Some(request) = self.requests.get(id) else { return Vec::new() };
        let idempotency = self.settings.idempotency(request.class);
        let mut candidates = Vec::with_capacity(self.servers.len());
        for server in self.servers.serving() {
            let warmth = server.slow_start.warmth(&self.settings, now);
            let is_ready = match probability.filter(|_| warmth < 1.0) {
                Some(probability) => self.rng.random_bool((probability * warmth).min(1.0)),
                None => server.slow_start.is_ready(now),
            };
            let is_connecting = server.connections.has_attempt_in_flight();
            if is_ready
                && request.retry.may_try(&server.entry, idempotency, now)
                && server.outlier.is_eligible(now, is_connecting)
            {
                let demand = request.demand();
                candidates.push(Candidate::new(server, demand, &self.settings, now, self.fault_window));
            }
        }
        candidates
    }

    fn select_last_resort(&self, id: RequestId) -> Option<ServerId> {
        let request = self.requests.get(id)?;
        let idempotency = self.settings.idempotency(request.class);
        selection::select_last_resort(self.servers.serving(), self.now, self.fault_window, |server| {
            request.retry.may_run_at(&server.entry, idempotency, self.now)
        })
    }
}
