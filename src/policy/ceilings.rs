//! Concurrency limits: the learned slot ceiling of each server.

use super::*;

/// Messages that take this share of the tightest objective mean that the server fills up...
const SLOW_MESSAGE_RATIO: f64 = 1.0 / 3.0;
/// ...and at this share many of them miss it: connections have to leave.
const MIGRATION_MESSAGE_RATIO: f64 = 0.5;
/// Share of the free slots that is left at a server where another balancer saw a drop.
const PEER_DROP_FREE_SLOTS_FACTOR: f64 = 0.5;
/// For so many fault windows a server that had a fault is taken to be at its limit.
const LIMIT_FAULT_WINDOWS: u64 = 4;

impl Balancer {
    pub(super) fn apply_measurement(&mut self, id: RequestId, measurement: Measurement) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(attempt) = request.attempt else { return };
        let Some(server) = self.servers.get_mut(&attempt.endpoint.server) else { return };
        match measurement {
            Measurement::MessageTime(took) => self.apply_message_time(attempt.endpoint.server, took),
            Measurement::Load(load) => {
                let Some(slots) = self.connection_sizes.record(request.class, load) else { return };
                if server.incarnation == attempt.incarnation {
                    server.held.slots += slots - request.slots;
                }
                request.slots = slots;
            }
        }
    }

    /// Value is lost to slow messages long before a server rejects or drops.
    fn apply_message_time(&mut self, id: ServerId, took: Micros) {
        let objective = self.settings.message_objective();
        let Some(server) = self.servers.get_mut(&id).filter(|_| objective > Micros::ZERO) else { return };
        let lateness = took.as_f64() / objective.as_f64();
        let is_slow = lateness >= SLOW_MESSAGE_RATIO;
        // Each measurement is of what is held now. Cut anew from the last cut, a ceiling would come to
        // nothing while accumulated work is done, and stay there afterwards.
        let factor = if is_slow { 1.0 / (1.0 + lateness) } else { 1.0 };
        server.learned.ceiling = server.held.slots * factor;
        if is_slow {
            server.learned.last_fault = Some(self.now);
        }
        if lateness >= MIGRATION_MESSAGE_RATIO {
            self.migrate_some(id, lateness);
        }
    }

    /// Another balancer's observation. Where messages are slow the server is at its limit with what all hold
    /// there, and takes no more of this one's. One that dropped has room again, but would get more than it
    /// bears if all balancers went on as before. All receive this, and must not all return at once.
    pub(super) fn apply_peer_observation(&mut self, id: ServerId, took: Option<Micros>) {
        let objective = self.settings.message_objective().max(Micros(1));
        let lateness = took.map(|took| took.as_f64() / objective.as_f64());
        let delay = self.settings.peer_observation_hold().as_f64() * self.rng.random::<f64>();
        let matters = lateness.is_none_or(|lateness| lateness >= SLOW_MESSAGE_RATIO);
        let Some(server) = self.servers.get_mut(&id).filter(|_| matters) else { return };
        let (held, ceiling) = (server.held.slots, server.learned.ceiling);
        let limit_after_drop = held + (ceiling - held).max(0.0) * PEER_DROP_FREE_SLOTS_FACTOR;
        let limit = lateness.map_or(limit_after_drop, |lateness| held / (1.0 + lateness));
        server.learned.ceiling = ceiling.min(limit);
        server.learned.last_fault =
            server.learned.last_fault.max(Some(self.now.plus(Micros::from_f64(delay))));
    }
}

impl Server {
    /// What it bears of its ceiling while it warms up.
    pub(super) fn present_ceiling(&self, settings: &Settings, now: Time) -> f64 {
        self.learned.ceiling * self.warmth(settings, now)
    }

    /// Its free slots, if a connection fits into them: as in the paper's circuit networks, a customer who
    /// needs several gets them all or is blocked. Half of all will do, or small servers would take none.
    pub(super) fn free_slots(&self, settings: &Settings, now: Time, slots: f64) -> f64 {
        let ceiling = self.present_ceiling(settings, now);
        let fits = |free: &f64| *free > 0.0 && *free >= slots.min(ceiling / 2.0);
        Some(ceiling - self.held.slots).filter(fits).unwrap_or(0.0)
    }

    /// How far it may go over its ceiling, for a connection of so many slots. "One" of a slot would keep a
    /// heavy connection, or the first of a group, from a server that is sound for all that is known, and its
    /// ceiling from ever rising. But one that had a fault not long ago is at its limit.
    pub(super) fn overflow_slots(&self, now: Time, fault_window: Micros, slots: f64) -> f64 {
        let is_at_limit = !self.is_stable(now, LIMIT_FAULT_WINDOWS * fault_window);
        f64::max(1.0, if is_at_limit { 1.0 } else { slots })
    }

    /// Cuts drive a ceiling under what the server turns out to carry well. Without faults for a fault window
    /// it gets a slot back, and after several its ceiling rises to what is held: loads grow, too.
    pub(super) fn restore_ceiling(&mut self, now: Time, fault_window: Micros) {
        let (held, ceiling) = (self.held.slots, &mut self.learned.ceiling);
        let is_within = |window| self.learned.last_fault.is_some_and(|at| now.since(at) <= window);
        if self.held.connecting == 0 && !is_within(LIMIT_FAULT_WINDOWS * fault_window) {
            *ceiling = ceiling.max(held);
        } else if *ceiling < held.max(1.0) && self.learned.last_fault.is_some() && !is_within(fault_window) {
            self.learned.last_fault = Some(now);
            *ceiling = (*ceiling + 1.0).min(held.max(1.0));
        }
    }

    /// Takes away its free slots and part of its ceiling, and bars overflow for a fault window. There is no
    /// floor: with one, a server that dropped its last connection would have a free slot again at once.
    pub(super) fn decrease_ceiling(&mut self, now: Time, factor: f64) {
        self.learned.ceiling = self.learned.ceiling.min(self.held.slots) * factor;
        self.learned.last_fault = Some(now);
    }
}
