//! Probes: how many are sent, and what their load reports change.

use super::*;

/// Probes may cost this share of all worth.
const PROBE_COST_SHARE: f64 = 0.004;
const MAX_PROBES_PER_CONNECTION: f64 = 4.0;
/// Reported utilisation up to which a ceiling lets a server fill: messages slow down before 1.
const TARGET_UTILISATION: f64 = 0.85;
/// Less reported utilisation in all shows nothing of how many connections fill a server.
const MIN_TOTAL_UTILISATION: f64 = 0.1;
/// The least number of connections that is taken to fill this balancer's part of a server.
const MIN_CONNECTIONS_AT_CAPACITY: f64 = 4.0;

impl Balancer {
    /// Established connections pay for probes, a fixed small share of all worth; rejected ones do not.
    pub(super) fn spend_probe_credit(&mut self) {
        if !(self.settings.probes && self.settings.probe_reports) || self.is_endpoint_list_expired() {
            return;
        }
        let cost = self.settings.probe_cost.max(PROBE_COST_SHARE / MAX_PROBES_PER_CONNECTION);
        self.probe_credit = (self.probe_credit + PROBE_COST_SHARE / cost).min(self.servers.len() as f64);
        while self.probe_credit >= 1.0 {
            self.probe_credit -= 1.0;
            let serving = self.servers.values_mut().filter(|s| s.is_serving());
            let Some(server) = serving.min_by_key(|s| s.last_probe) else { return };
            server.last_probe = Some(self.now);
            self.actions.push(Action::ProbeServer { server: server.entry.server });
        }
    }

    /// A report sets the ceiling over what is held here by this balancer's part of the free capacity. The
    /// part has a minimum: of many balancers' each is next to nothing, against a few initial slots.
    pub(super) fn apply_load_report(&mut self, id: ServerId, report: Option<LoadReport>) {
        let Some(report) = report.and_then(LoadReport::validated) else { return };
        // A report is some time old, so what has come since the last one is not taken to be in it; and one
        // equal to the last may be the same.
        let is_new = |s: &&mut Server| s.last_report != Some(report);
        let Some(server) = self.servers.get_mut(&id).filter(is_new) else { return };
        server.last_report = Some(report);
        let held_at_last = std::mem::replace(&mut server.held_at_last_report, server.held.slots);
        let held_in_report = held_at_last.min(server.held.slots);
        self.update_connections_at_capacity(report.connections.is_some());
        let capacity = self.connections_at_capacity.max(MIN_CONNECTIONS_AT_CAPACITY);
        let Some(server) = self.servers.get_mut(&id) else { return };
        if report.utilisation >= TARGET_UTILISATION {
            server.decrease_ceiling(self.now, TARGET_UTILISATION / f64::max(1.0, report.utilisation));
        } else if server.is_stable(self.now, self.fault_window) {
            server.learned.ceiling = held_in_report + (TARGET_UTILISATION - report.utilisation) * capacity;
        }
        if report.utilisation >= 1.0 {
            self.migrate_some(id, 0.0);
        }
    }

    /// Estimates what fills a warm server, by the last reports of all.
    fn update_connections_at_capacity(&mut self, counts_all_balancers: bool) {
        let reported = || self.serving().filter_map(|s| Some((s, s.last_report?)));
        let held = |s: &Server| s.held.established.len() as f64;
        let connections: f64 = reported().map(|(s, r)| r.connections.unwrap_or(held(s))).sum();
        let utilisation: f64 =
            reported().map(|(s, r)| r.utilisation * s.warmth(&self.settings, self.now)).sum();
        let balancers = if counts_all_balancers { self.settings.balancers.max(1) } else { 1 };
        if utilisation >= MIN_TOTAL_UTILISATION {
            self.connections_at_capacity = connections / utilisation / f64::from(balancers);
        }
    }
}
