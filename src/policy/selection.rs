//! Selection: which server gets a new connection.
//!
//! **What is decided.** Which of the candidates is selected, if any. If none is selected, the request is
//! answered with [`RefusalReason::NoServer`](crate::RefusalReason::NoServer).
//!
//! **Inputs.** The candidates, which `placement.rs` collects: servers that are listed as serving, are not
//! ejected (`outlier_detection`), are not held back by `slow_start`, and where the `retry_policy` allows the
//! request to run. Each candidate has its free slots, its overflow weight, its zone, and whether the server
//! has connections or attempts of the request's group. Selection changes no state.
//!
//! **Rule.** A server is drawn at random, in proportion to its free slots. These are its ceiling times its
//! warmth, less the occupied slots. They count as 0 if they are fewer than the connection needs and also
//! fewer than half of that ceiling. If no candidate has free slots, a server is drawn in proportion to its
//! overflow weight. This is its weight over the square of (1 + occupied slots) if the server has had no fault
//! within the fault window and the connection fits into its overflow (`concurrency_limit`), and 0 otherwise.
//! Two preferences narrow the draw:
//!
//! - *Group.* A connection of a group is placed on a candidate that already has connections or attempts of
//!   the group. If there is none, it is placed on one of n servers. This n is the group's share of the
//!   connections that have a group, times the number of serving servers, rounded up. The n servers are chosen
//!   by a draw that is seeded by the group and the server and weighted by the free slots (in the overflow
//!   draw, by the overflow weight), so that balancers with similar free slots choose the same servers. The
//!   first connection of a group needs two more slots.
//! - *Zone.* If crossing zones has a cost, a server of the local zone is preferred while its occupied slots
//!   are at most a little above the mean of all servers. The overflow draw has no such preference.
//!
//! As a last resort, if more than half of the serving servers have failures but no recent fault, one of these
//! is tried before its ejection ends. It is the server whose ejection ends first, whatever its ceiling is.
//!
//! **Why.** Drawing in proportion to free slots is the "simple balancing" of "Insensitive Load Balancing"
//! (Bonald, Jonckheere, Proutière, 2004): the fraction of blocked customers depends only on the mean load,
//! not on its distribution. In that model all customers are alike. Here connections differ in size, share the
//! work of their group, and may cross zones.

use rand_pcg::Pcg64Mcg;

use super::fault_window::{FaultWindow, FleetOccupancy};
use super::server::Server;
use crate::bookkeeping::{draw_weighted, exponential_for};
use crate::types::{GroupId, ServerId, Settings, Time, ZoneId};

/// A server of the local zone is preferred while its occupied slots are at most this multiple of the mean of
/// all servers, plus [`LOCAL_ZONE_EXTRA_SLOTS`].
const LOCAL_ZONE_MEAN_FACTOR: f64 = 1.25;
/// Slots above the multiple of the mean up to which a server of the local zone is preferred.
const LOCAL_ZONE_EXTRA_SLOTS: f64 = 4.0;

/// A server that may receive an attempt of the request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    server: ServerId,
    zone: ZoneId,
    occupied_slots: f64,
    /// The server has connections or attempts of the request's group.
    holds_group: bool,
    free_slots: f64,
    /// Weight in the draw if no candidate has free slots; 0 if the ceiling must not be exceeded.
    overflow_weight: f64,
}

/// Slots and group that a request needs at its server.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// Group of the connection; none if the request has no group.
    pub group: Option<GroupId>,
    /// Slots of the connection itself. The slots for the first connection of a group are not included.
    pub slots: f64,
}

impl Candidate {
    /// Computes the free slots and the overflow weight of a server for a request.
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

/// Group and zone preferences, which narrow the draw among candidates.
#[derive(Clone, Copy, Debug)]
pub struct Preferences {
    group: Option<GroupId>,
    /// Number of servers that the group fills by its share of the connections that have a group.
    group_servers: usize,
    local_zone: Option<LocalZone>,
}

/// The zone whose servers are preferred.
#[derive(Clone, Copy, Debug)]
struct LocalZone {
    zone: ZoneId,
    /// Servers with more occupied slots than this are not preferred.
    max_occupied_slots: f64,
}

impl Preferences {
    /// Computes the preferences for a connection whose group has a share of `group_share` (0 to 1) in the
    /// connections that have a group.
    pub fn new(
        group: Option<GroupId>,
        group_share: f64,
        fleet: FleetOccupancy,
        settings: &Settings,
    ) -> Preferences {
        let servers_filled = (group_share * fleet.servers).ceil().max(1.0) as usize;
        let group_servers = if group.is_some() { servers_filled } else { 0 };
        // Ceilings rise with each accepted connection. If the local zone were always preferred, all clients
        // that reconnect at once after a restart would be placed there. A few connections more than elsewhere
        // justify the cost of crossing zones.
        let mean_limit = LOCAL_ZONE_MEAN_FACTOR * fleet.occupied_slots / f64::max(fleet.servers, 1.0);
        let max_occupied_slots = mean_limit + LOCAL_ZONE_EXTRA_SLOTS;
        let zones_differ = settings.cross_zone_cost > 0.0;
        let local_zone = zones_differ.then_some(LocalZone { zone: settings.zone, max_occupied_slots });
        Preferences { group, group_servers, local_zone }
    }

    /// Draws a server by free slots, or by overflow weight if no candidate has free slots.
    pub fn select(self, rng: &mut Pcg64Mcg, candidates: &[Candidate]) -> Option<ServerId> {
        let without_zone = Preferences { local_zone: None, ..self };
        let with_free_slots = self.draw(rng, candidates, |candidate| candidate.free_slots);
        with_free_slots.or_else(|| without_zone.draw(rng, candidates, |candidate| candidate.overflow_weight))
    }

    /// Draws a preferred candidate in proportion to `weight`; none if all weights are 0.
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

    /// Returns the servers that a group fills. Without this limit, many balancers with a few connections each
    /// would spread a group over the whole fleet, and every server would do the work of every group.
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

/// Selects an ejected server that is tried before its ejection ends, if a request has no other server.
/// `may_run_at` returns whether the retry policy allows the request to run at a server.
///
/// If most servers refuse connections or answer with errors, without a rejection, a drop or a timeout, the
/// cause may be on this balancer's side, or may be temporary. Rejecting all requests would then be worse.
/// Servers that drop or reject are not tried, because more load would keep them from recovering.
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
