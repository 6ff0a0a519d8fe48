//! Migration: an overloaded server gives up connections while others have room.

use super::*;

/// Between two migrations from one server: the first has to show its effect before the next.
const MIGRATION_INTERVAL: Micros = Micros::from_millis(500);
/// One migrates for so many slots held: enough to relieve the server, too few to overload the next.
const SLOTS_PER_MIGRATION: f64 = 8.0;
/// At so many times the objective no message is in time: staying is worth nothing...
const USELESS_MESSAGE_RATIO: f64 = 2.0;
/// ...and for each multiple of the objective this part of the connections migrates, up to the greatest share.
const USELESS_SHARE_DIVISOR: f64 = 10.0;
const MAX_USELESS_SHARE: f64 = 0.5;
/// How far a server is taken to go over its ceiling for those that migrate.
const MIGRATION_OVERFLOW_SLOTS: f64 = 4.0;
const MIN_PRIORITY_WEIGHT: f64 = 0.01;

impl Balancer {
    /// DEPARTURE: a server that has become too full gives up connections while others have room: those that
    /// free the most slots for their worth, the group's included if it is the last of it here. Where messages
    /// take many times their objective staying is worth nothing, and a good part leaves at each such report.
    pub(super) fn migrate_some(&mut self, from: ServerId, lateness: f64) {
        // Whoever is asked to come again would be rejected.
        if self.is_endpoint_list_expired() {
            return;
        }
        let may_migrate = |last: Option<Time>| last.is_none_or(|at| self.now.since(at) >= MIGRATION_INTERVAL);
        let server = self.servers.get(&from).filter(|s| may_migrate(s.learned.last_migration));
        let Some(server) = server else { return };
        // Every balancer learns of an overloaded server; many that hold little each would empty it. One
        // leaves for every few slots held here: as large a part of the whole at any number of balancers.
        let proportional = (server.held.slots / SLOTS_PER_MIGRATION).clamp(0.0, 1.0);
        let (mut useless, mut least) = (0.0, 0.0);
        if lateness >= USELESS_MESSAGE_RATIO {
            let share = (lateness / USELESS_SHARE_DIVISOR).min(MAX_USELESS_SHARE);
            useless = server.held.established.len() as f64 * share;
            // Some that leave make messages useful again for the rest.
            least = proportional;
        }
        let wanted = f64::max(proportional, useless) + self.rng.random::<f64>();
        let count = wanted.min(self.migration_room()).max(least) as usize;
        for request in self.requests_by_relief(from).into_iter().take(count) {
            self.servers.entry(from).and_modify(|s| s.learned.last_migration = Some(self.now));
            self.requests.entry(request).and_modify(|r| r.migrating = true);
            self.actions.push(Action::Migrate { request });
        }
    }

    /// Room at sound servers for each overloaded one: every overloaded server may give up some, at every
    /// balancer, and there must be room for all those.
    fn migration_room(&self) -> f64 {
        let (now, window) = (self.now, self.fault_window);
        let (sound, overloaded): (Vec<_>, Vec<_>) =
            self.serving().partition(|s| s.is_stable(now, window) && s.learned.consecutive_failures == 0);
        let room = |s: &Server| {
            let overflow = s.overflow_slots(now, window, MIGRATION_OVERFLOW_SLOTS);
            (s.present_ceiling(&self.settings, now) + overflow - s.held.slots).max(0.0)
        };
        let ready = sound.into_iter().filter(|s| now >= s.learned.next_slow_start_send);
        ready.map(room).sum::<f64>() / overloaded.len().max(1) as f64
    }

    /// A server's connections that were not asked to migrate, those first that free the most for their worth.
    fn requests_by_relief(&self, from: ServerId) -> Vec<RequestId> {
        let Some(server) = self.servers.get(&from) else { return Vec::new() };
        let relief = |id: &RequestId| {
            let request = self.requests.get(id).filter(|r| !r.migrating)?;
            // Worth alone does not show what becomes free: without measured loads all count alike.
            let class = self.settings.class(request.class);
            let class = class.filter(|_| self.connection_sizes.has_measurements());
            let priority_weight = class.map_or(1.0, |c| c.priority_weight.max(MIN_PRIORITY_WEIGHT));
            Some((server.held.slots_freed(request.group, request.slots) / priority_weight, *id))
        };
        let mut ranked: Vec<_> = server.held.established.iter().filter_map(relief).collect();
        ranked.sort_by(|a, b| b.0.total_cmp(&a.0));
        ranked.into_iter().map(|(_, id)| id).collect()
    }
}
