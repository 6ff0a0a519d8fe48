//! Selection: which server gets a new connection.

use super::*;

/// A server of the local zone comes first while it holds less than so many times the mean, and a few slots.
const LOCAL_ZONE_MEAN_FACTOR: f64 = 1.25;
const LOCAL_ZONE_EXTRA_SLOTS: f64 = 4.0;
/// The fault window is at most so many times the longest wait of rejected clients.
const MAX_FAULT_WINDOW_FACTOR: f64 = 4.0;

/// Slots held at all serving servers, and how many servers those are.
#[derive(Clone, Copy, Default)]
pub(super) struct Totals {
    pub(super) held: f64,
    pub(super) servers: f64,
}

/// A server that is ready for the request.
struct Candidate {
    server: ServerId,
    in_local_zone: bool,
    /// Slots held there.
    held: f64,
    shares_group: bool,
    free: f64,
    /// Its share when no server has free slots: the less the more it holds for its size.
    overflow_weight: f64,
}

/// What narrows the choice among candidates.
#[derive(Clone, Copy)]
struct Preferences {
    group: Option<GroupId>,
    /// As many servers as the group fills by its share of all connections.
    group_servers: usize,
    /// The most slots that a server of the local zone holds to come first; none where zones are alike.
    local_zone_limit: Option<f64>,
}

impl Balancer {
    /// DEPARTURES: a group goes to servers with room that hold it already, and else to as many as it fills,
    /// the same at every balancer; where crossing zones costs, the local zone's with room come first.
    pub(super) fn select_server(&mut self, id: RequestId) -> Option<ServerId> {
        let (candidates, totals) = self.collect_candidates(id)?;
        self.update_fault_window(totals);
        let group = self.requests.get(&id)?.group;
        let servers = |group| (self.group_statistics.share(group) * totals.servers).ceil().max(1.0) as usize;
        let group_servers = group.map_or(0, servers);
        // Ceilings rise with what is accepted. Were the local zone always first, all that returns at once
        // after a restart would end there; a few connections more than elsewhere are worth a crossing.
        let mean_held = LOCAL_ZONE_MEAN_FACTOR * totals.held / f64::max(totals.servers, 1.0);
        let zones_differ = self.settings.cross_zone_cost > 0.0;
        let local_zone_limit = zones_differ.then_some(mean_held + LOCAL_ZONE_EXTRA_SLOTS);
        let preferences = Preferences { group, group_servers, local_zone_limit };
        let in_overflow = Preferences { local_zone_limit: None, ..preferences };
        let free = preferences.draw(&mut self.rng, &candidates, |c| c.free);
        free.or_else(|| in_overflow.draw(&mut self.rng, &candidates, |c| c.overflow_weight))
            .or_else(|| self.select_last_resort(id))
    }

    fn collect_candidates(&mut self, id: RequestId) -> Option<(Vec<Candidate>, Totals)> {
        let (slow_start_chance, interval) = (self.take_slow_start_chance(), self.slow_start_interval());
        let (request, now, window) = (self.requests.get(&id)?, self.now, self.fault_window);
        let idempotency = self.settings.idempotency(request.class);
        let (mut candidates, mut totals) = (Vec::with_capacity(self.servers.len()), Totals::default());
        for server in self.servers.values_mut().filter(|s| s.is_serving()) {
            server.restore_ceiling(now, window);
            totals.servers += 1.0;
            totals.held += server.held.slots;
            let warmth = server.warmth(&self.settings, now);
            server.shorten_wait(now, interval);
            let chance = slow_start_chance.filter(|_| warmth < 1.0).map(|chance| (chance * warmth).min(1.0));
            let is_due = now >= server.learned.next_slow_start_send;
            let is_ready = chance.map_or(is_due, |chance| self.rng.random_bool(chance));
            let is_other = request.last_server != Some(server.entry.server);
            let is_safe = is_other && request.may_run_at(server, idempotency, now);
            if is_ready && is_safe && server.is_healthy(now) {
                candidates.push(server.as_candidate(request, &self.settings, now, window));
            }
        }
        Some((candidates, totals))
    }

    /// One of many balancers learns seldom of each server, and they all would try it again at once: where
    /// less is held, faults count for longer.
    fn update_fault_window(&mut self, totals: Totals) {
        self.peaks.held = self.peaks.held.max(totals.held);
        self.peaks.servers = self.peaks.servers.max(totals.servers);
        let factor = (totals.servers / totals.held).clamp(1.0, MAX_FAULT_WINDOW_FACTOR);
        self.fault_window = Micros::from_f64(self.settings.max_retry_after.as_f64() * factor);
    }
}

impl Server {
    fn as_candidate(&self, request: &Request, settings: &Settings, now: Time, window: Micros) -> Candidate {
        let slots = self.held.slots_taken(request.group, request.slots);
        let limit = self.learned.ceiling + self.overflow_slots(now, window, slots);
        let may_overflow = self.is_stable(now, window) && self.held.slots + slots <= limit;
        let overflow_weight = self.entry.valid_weight() / (1.0 + self.held.slots).powi(2);
        Candidate {
            server: self.entry.server,
            in_local_zone: self.entry.zone == settings.zone,
            held: self.held.slots,
            shares_group: self.held.contains_group(request.group),
            free: self.free_slots(settings, now, slots),
            overflow_weight: if may_overflow { overflow_weight } else { 0.0 },
        }
    }
}

impl Preferences {
    fn draw(self, rng: &mut Pcg64Mcg, all: &[Candidate], weight: fn(&Candidate) -> f64) -> Option<ServerId> {
        let mut fitting: Vec<_> = all.iter().filter(|c| weight(c) > 0.0).collect();
        if fitting.iter().any(|c| c.shares_group) {
            fitting.retain(|c| c.shares_group);
        } else if let Some(group) = self.group {
            // Many balancers with a few connections each would spread a group over the whole fleet, and every
            // server would pay for every group. As many servers as it fills come first by free room and a
            // draw by group and server alone: balancers that see similar rooms choose the same.
            let rank = |c: &Candidate| exponential_for((group, c.server)) / weight(c);
            let mut ranked: Vec<_> = fitting.into_iter().map(|c| (rank(c), c)).collect();
            ranked.sort_by(|a, b| a.0.total_cmp(&b.0));
            fitting = ranked.into_iter().take(self.group_servers).map(|(_, c)| c).collect();
        }
        let is_first = |c: &&Candidate| c.in_local_zone && self.local_zone_limit.is_some_and(|m| c.held <= m);
        if fitting.iter().any(is_first) {
            fitting.retain(is_first);
        }
        draw_weighted(rng, &fitting, |c| weight(c)).map(|c| c.server)
    }
}
