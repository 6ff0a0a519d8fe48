//! Chooses the connections that are moved, and the ceilings that are changed instead where that is enough.

use super::fleet::FairShare;
use super::pressure::{Assessment, Pressure};
use super::room::{free_slots, has_unknown_capacity};
use super::units::{movable_units, select_units, MoveLimits};
use super::{CeilingIncrease, Migration, Rebalance, ServerSnapshot};
use crate::{ServerId, Time};

/// A ceiling of which nothing is known is raised to this share of the fair share.
const UNKNOWN_CEILING_SHARE: f64 = 0.9;
/// Of an excess so much is moved at a time: other balancers see the same excess.
const MOVED_EXCESS_SHARE: f64 = 0.5;

/// A server under pressure.
#[derive(Clone, Copy)]
struct PressuredServer<'a> {
    server: &'a ServerSnapshot,
    pressure: Pressure,
}

/// A server that can take migrated clients.
#[derive(Clone, Copy)]
struct ServerWithRoom {
    server: ServerId,
    free_slots: f64,
}

/// Connections to move, and servers whose ceilings are lowered to what they hold.
#[derive(Default)]
pub(super) struct MovePlan {
    pub(super) moves: Vec<Migration>,
    pub(super) lowered: Vec<ServerId>,
}

impl Rebalance {
    /// Raises the ceilings of servers of which nothing is known towards the fair share: the few slots that a server
    /// begins with would otherwise keep it nearly empty for long after it is warm, and migrated clients would go
    /// anywhere but there.
    pub(super) fn raise_unknown_ceilings(
        &self,
        now: Time,
        servers: &[ServerSnapshot],
    ) -> Vec<CeilingIncrease> {
        let fair_share = FairShare::new(servers);
        let mut increases = Vec::new();
        for server in servers.iter().filter(|server| has_unknown_capacity(&self.view, now, server)) {
            let ceiling = fair_share.of(server) * UNKNOWN_CEILING_SHARE;
            if server.ceiling < ceiling {
                increases.push(CeilingIncrease { server: server.server, ceiling });
            }
        }
        increases
    }

    /// Chooses who is moved, and whose ceilings are lowered to what they hold.
    pub(super) fn plan_moves(&mut self, now: Time, servers: &[ServerSnapshot]) -> MovePlan {
        let fair_share = FairShare::new(servers);
        if fair_share.is_empty() {
            return MovePlan::default();
        }
        let mut pressured = self.pressured_servers(now, servers, fair_share);
        let lowered = pressured.iter().map(|donor| donor.server.server).collect();
        pressured.retain(|donor| donor.pressure.certain && !self.was_just_filled(donor.server));
        let worst_excess = pressured.iter().map(|donor| donor.pressure.excess).fold(0.0, f64::max);
        self.rate.on_excess(now, worst_excess);
        if pressured.is_empty() || self.rate.tokens() < 1.0 {
            return MovePlan { moves: Vec::new(), lowered };
        }
        let room = self.servers_with_room(now, servers, fair_share, &pressured);
        let moves = self.select_moves(now, pressured, &room);
        let emptiest = room.iter().max_by(|a, b| a.free_slots.total_cmp(&b.free_slots));
        if let (false, Some(target)) = (moves.is_empty(), emptiest) {
            self.recently_filled.insert(target.server, now);
        }
        self.metrics.moved += moves.len() as u64;
        for migration in &moves {
            self.view.on_migrated(now, migration.connection);
        }
        MovePlan { moves, lowered }
    }

    fn pressured_servers<'a>(
        &self,
        now: Time,
        servers: &'a [ServerSnapshot],
        fair_share: FairShare,
    ) -> Vec<PressuredServer<'a>> {
        let assessment =
            Assessment { context: &self.context, config: &self.config, view: &self.view, fair_share, now };
        let mut pressured = Vec::new();
        for server in servers.iter().filter(|server| server.ready) {
            let relieving = self.relieving.contains_key(&server.server);
            let pressure = assessment.pressure(server, relieving);
            pressured.extend(pressure.map(|pressure| PressuredServer { server, pressure }));
        }
        pressured
    }

    /// A server that was just filled must not send the same clients on, unless its pressure is measured.
    fn was_just_filled(&self, server: &ServerSnapshot) -> bool {
        self.recently_filled.contains_key(&server.server) && !self.context.reports_message_time
    }

    fn servers_with_room(
        &self,
        now: Time,
        servers: &[ServerSnapshot],
        fair_share: FairShare,
        donors: &[PressuredServer<'_>],
    ) -> Vec<ServerWithRoom> {
        let is_donor = |id: ServerId| donors.iter().any(|donor| donor.server.server == id);
        let mut room = Vec::new();
        for server in servers.iter().filter(|server| server.ready && !is_donor(server.server)) {
            let free_slots = free_slots(&self.context, &self.view, now, server, fair_share.of(server));
            if free_slots > 0.0 {
                room.push(ServerWithRoom { server: server.server, free_slots });
            }
        }
        room
    }

    /// Selects units off the donors, the one with the slowest messages first, until the room is used up.
    fn select_moves(
        &mut self,
        now: Time,
        mut donors: Vec<PressuredServer<'_>>,
        room: &[ServerWithRoom],
    ) -> Vec<Migration> {
        let total_room = room.iter().map(|target| target.free_slots).sum::<f64>();
        let mut free_slots = total_room * MOVED_EXCESS_SHARE - self.view.absent_slots();
        donors.sort_by(|a, b| {
            let (a, b) = (&a.pressure, &b.pressure);
            let by_message_time = b.relative_message_time.total_cmp(&a.relative_message_time);
            by_message_time.then(b.excess.total_cmp(&a.excess))
        });
        let mut moves = Vec::new();
        for PressuredServer { server, pressure } in donors {
            let limits = MoveLimits {
                tokens: self.rate.tokens(),
                max_tokens: self.rate.max_tokens(),
                slots: free_slots.min(pressure.excess * MOVED_EXCESS_SHARE).max(0.0),
                cost_seconds: self.rate.client_cost_seconds(&self.view),
                margin: self.config.margin,
            };
            let units = movable_units(&self.view, &self.context, server.server);
            let mean_lifetime = self.view.mean_lifetime_seconds(now);
            for unit in select_units(units, &pressure, server.occupied_slots, mean_lifetime, limits) {
                self.rate.spend(unit.members.len());
                free_slots -= unit.slots;
                self.relieving.entry(server.server).or_insert(now);
                let from = server.server;
                moves.extend(unit.members.into_iter().map(|connection| Migration { connection, from }));
            }
        }
        moves
    }
}
