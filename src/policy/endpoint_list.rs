//! Following the endpoint list: new, changed and removed servers.

use super::*;

/// Slots of a new server of mean weight, and the most that a heavier one gets.
const INITIAL_SLOTS: f64 = 4.0;
const MAX_INITIAL_SLOTS: f64 = 16.0;

impl Balancer {
    pub(super) fn replace_endpoints(&mut self, entries: &[EndpointEntry]) {
        self.servers.values_mut().for_each(|s| s.entry.state = EndpointState::Gone);
        self.apply_endpoint_update(entries);
    }

    pub(super) fn apply_endpoint_update(&mut self, entries: &[EndpointEntry]) {
        self.endpoint_watch.on_list_applied();
        entries.iter().for_each(|entry| self.apply_endpoint(entry));
        // A server that is gone is forgotten once nothing is held there.
        self.servers.retain(|_, s| s.entry.state != EndpointState::Gone || !s.held.is_empty());
        let weights = self.serving().map(|s| s.entry.valid_weight());
        let mean_weight = weights.sum::<f64>() / self.serving().count().max(1) as f64;
        let interval = self.slow_start_interval();
        for server in self.servers.values_mut().filter(|s| s.learned.ceiling == 0.0) {
            // Rule 4: balancers that learn of a cold server together must not begin together.
            let wait = interval * self.rng.random::<f64>();
            server.schedule_next_send(&self.settings, self.now, wait, interval);
            let slots = INITIAL_SLOTS * server.entry.valid_weight() / mean_weight.max(f64::MIN_POSITIVE);
            server.learned.ceiling = slots.clamp(1.0, MAX_INITIAL_SLOTS);
        }
    }

    fn apply_endpoint(&mut self, entry: &EndpointEntry) {
        self.last_incarnation += 1;
        let incarnation = self.last_incarnation;
        // A start that lies ahead, by another clock, would keep its server cold until then.
        let started_at = entry.started.map(|at| at.min(self.now));
        let new = Server { entry: *entry, started_at, incarnation, ..Server::default() };
        match self.servers.get_mut(&entry.server) {
            // A new process holds no connection of the old one and inherits nothing learned of it.
            Some(server) if entry.started > server.entry.started => *server = new,
            Some(server) => {
                let is_same_start = entry.started == server.entry.started;
                server.started_at = server.started_at.filter(|_| is_same_start).or(started_at);
                server.entry = *entry;
            }
            None => drop(self.servers.insert(entry.server, new)),
        }
    }
}
