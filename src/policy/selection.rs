//! Selection: which server gets a new connection.
//!
//! **What is decided.** One server of the candidates, or none; a request for which there is none is answered
//! with [`RefusalReason::NoServer`](crate::RefusalReason::NoServer).
//!
//! **Inputs.** The candidates, which `placement.rs` collects: servers that are listed as serving, are not
//! ejected (`outlier_detection`), are not held back by `slow_start`, and where the `retry_policy` allows the
//! request to run. For each its free slots, its overflow weight, its zone, and whether it holds the request's
//! group. The choice changes no state.
//!
//! **Rule.** A server is drawn at random, in proportion to its free slots: its ceiling times its warmth, less
//! the occupied slots; none if these are fewer than the connection needs and than half of that ceiling. Where
//! no candidate has free slots, a server is drawn in proportion to its overflow weight: its weight over the
//! square of (1 + occupied slots), if it has had no fault within the fault window and the connection fits
//! into its overflow (`concurrency_limit`). Two preferences narrow the draw:
//!
//! - *Group.* A group goes to candidates that hold it already, and otherwise to as many servers as it fills:
//!   its share of the connections that have a group, times the servers that serve. Which ones is decided by a
//!   draw for group and server alone, weighted by the free slots, so that balancers which see similar slots
//!   choose the same. A server needs two more slots for the first connection of a group.
//! - *Zone.* Where crossing zones has a cost, servers of the local zone come first while they occupy little
//!   more than the mean of all servers. The overflow draw has no such preference.
//!
//! As a last resort, where more than half of the servers that serve have failures but no recent fault, one of
//! these is tried before its ejection ends: the one whose ejection ends first, whatever its ceiling is.
//!
//! **Why.** Drawing in proportion to free slots is the "simple balancing" of "Insensitive Load Balancing"
//! (Bonald, Jonckheere, Proutière, 2004): the fraction of blocked customers depends on the mean load alone,
//! not on its distribution. There, customers are alike. Here connections differ in size, share the work of
//! their group, and may cross zones.

use rand_pcg::Pcg64Mcg;

use super::fault_window::{FaultWindow, FleetOccupancy};
use super::server::Server;
use crate::bookkeeping::{draw_weighted, exponential_for};
use crate::types::{GroupId, ServerId, Settings, Time, ZoneId};

/// A server of the local zone comes first while it occupies at most so many times the mean of all servers...
const LOCAL_ZONE_MEAN_FACTOR: f64 = 1.25;
/// ...and so many slots.
const LOCAL_ZONE_EXTRA_SLOTS: f64 = 4.0;

/// A server that is ready for a request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    server: ServerId,
    zone: ZoneId,
    occupied_slots: f64,
    /// It holds connections of the request's group.
    holds_group: bool,
    free_slots: f64,
    /// Its weight when no candidate has free slots; 0 if it may not exceed its ceiling.
    overflow_weight: f64,
}

/// What a request asks of its server.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// The group of its connection, if any.
    pub group: Option<GroupId>,
    /// Slots of its connection, without those of its group.
    pub slots: f64,
}

impl Candidate {
    /// A server as a candidate for a request.
    pub fn new(
        server: &Server,
        demand: Demand,
        settings: &Settings,
        now: Time,
        fault_window: FaultWindow,
    ) -> Candidate {
        let connections = &server.connections;
        let occupied = connections.occupied_slots();
        let needed = connections.slots_to_occupy(demand.group, demand.slots);
        let limit = &server.limit;
        let overflow_limit = limit.ceiling() + limit.overflow_slots(now, fault_window, needed);
        let may_overflow =
            limit.has_no_recent_fault(now, fault_window) && occupied + needed <= overflow_limit;
        let overflow_weight = server.entry.valid_weight() / (1.0 + occupied).powi(2);
        Candidate {
            server: server.entry.server,
            zone: server.entry.zone,
            occupied_slots: occupied,
            holds_group: connections.contains_group(demand.group),
            free_slots: limit.free_slots(occupied, server.slow_start.warmth(settings, now), needed),
            overflow_weight: if may_overflow { overflow_weight } else { 0.0 },
        }
    }
}

/// What narrows the draw among candidates.
#[derive(Clone, Copy, Debug)]
pub struct Preferences {
    group: Option<GroupId>,
    /// As many servers as the group fills by its share of the connections that have a group.
    group_servers: usize,
    local_zone: Option<LocalZone>,
}

/// The zone whose servers come first, and the most slots that these may occupy for that.
#[derive(Clone, Copy, Debug)]
struct LocalZone {
    zone: ZoneId,
    max_occupied_slots: f64,
}

impl Preferences {
    /// The preferences for a connection whose group makes `group_share` (0 to 1) of the connections that have
    /// a group.
    pub fn new(
        group: Option<GroupId>,
        group_share: f64,
        fleet: FleetOccupancy,
        settings: &Settings,
    ) -> Preferences {
        let servers_filled = (group_share * fleet.servers).ceil().max(1.0) as usize;
        let group_servers = if group.is_some() { servers_filled } else { 0 };
        // Ceilings rise with what is accepted. Were the local zone always first, all clients that return at
        // once after a restart would end there; a few connections more than elsewhere justify the cost of a
        // crossing.
        let mean_limit = LOCAL_ZONE_MEAN_FACTOR * fleet.occupied_slots / f64::max(fleet.servers, 1.0);
        let max_occupied_slots = mean_limit + LOCAL_ZONE_EXTRA_SLOTS;
        let zones_differ = settings.cross_zone_cost > 0.0;
        let local_zone = zones_differ.then_some(LocalZone { zone: settings.zone, max_occupied_slots });
        Preferences { group, group_servers, local_zone }
    }

    /// Draws a server by free slots, and where no candidate has any by overflow weight.
    pub fn select(self, rng: &mut Pcg64Mcg, candidates: &[Candidate]) -> Option<ServerId> {
        let in_overflow = Preferences { local_zone: None, ..self };
        let free = self.draw(rng, candidates, |candidate| candidate.free_slots);
        free.or_else(|| in_overflow.draw(rng, candidates, |candidate| candidate.overflow_weight))
    }

    fn draw(
        self,
        rng: &mut Pcg64Mcg,
        candidates: &[Candidate],
        weight: fn(&Candidate) -> f64,
    ) -> Option<ServerId> {
        let mut preferred: Vec<_> = candidates.iter().filter(|candidate| weight(candidate) > 0.0).collect();
        if preferred.iter().any(|candidate| candidate.holds_group) {
            preferred.retain(|candidate| candidate.holds_group);
        } else if let Some(group) = self.group {
            preferred = self.servers_for_group(group, preferred, weight);
        }
        if preferred.iter().any(|candidate| self.is_local(candidate)) {
            preferred.retain(|candidate| self.is_local(candidate));
        }
        draw_weighted(rng, &preferred, |candidate| weight(candidate)).map(|candidate| candidate.server)
    }

    /// The servers that a group fills. Many balancers with a few connections each would otherwise spread a
    /// group over the whole fleet, and every server would bear the work of every group.
    fn servers_for_group(
        self,
        group: GroupId,
        candidates: Vec<&Candidate>,
        weight: fn(&Candidate) -> f64,
    ) -> Vec<&Candidate> {
        let rank = |candidate: &Candidate| exponential_for((group, candidate.server)) / weight(candidate);
        let mut ranked: Vec<_> =
            candidates.into_iter().map(|candidate| (rank(candidate), candidate)).collect();
        ranked.sort_by(|a, b| a.0.total_cmp(&b.0));
        ranked.into_iter().take(self.group_servers).map(|(_, candidate)| candidate).collect()
    }

    fn is_local(self, candidate: &Candidate) -> bool {
        self.local_zone.is_some_and(|local| {
            candidate.zone == local.zone && candidate.occupied_slots <= local.max_occupied_slots
        })
    }
}

/// The ejected server to try before its time when nothing else is left; `may_run_at` is what the retry policy
/// allows.
///
/// Where most of the servers refuse connections or answer errors, without a rejection, a drop or a time-out,
/// the cause may be on this balancer's side, or pass, and rejecting everything would be worse. Servers that
/// drop and reject are not tried: more load would keep them from ever recovering.
pub fn select_last_resort<'a>(
    serving: impl Iterator<Item = &'a Server> + Clone,
    now: Time,
    fault_window: FaultWindow,
    may_run_at: impl Fn(&Server) -> bool,
) -> Option<ServerId> {
    let failed_without_fault = |server: &&Server| {
        server.outlier.has_failures() && server.limit.has_no_recent_fault(now, fault_window)
    };
    let failed = serving.clone().filter(failed_without_fault);
    if failed.clone().count() * 2 <= serving.count() {
        return None;
    }
    failed
        .filter(|server| !server.connections.has_attempt_in_flight() && server.slow_start.is_ready(now))
        .filter(|server| may_run_at(server))
        .min_by_key(|server| server.outlier.ejected_until())
        .map(|server| server.entry.server)
}
