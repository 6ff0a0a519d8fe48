//! Which servers can take migrated clients, and whose ceilings are too low for what they can hold.
//!
//! **Decided:** the slots that each server can take beyond those that are occupied, and the ceilings to raise.
//!
//! **Inputs:** occupied and fair slots, ceiling, warmth, and the times of its start and of its last fault, for each
//! server; whether it reported slow messages recently.
//!
//! **Rule:** a server has spare capacity if it is below its fair share by more than random placement explains, did not
//! report slow messages recently, and had no fault within [`FAULT_COOLDOWN`]. Its spare capacity reaches
//! - up to its ceiling, at most its fair share, times its warmth, if it had a fault in this incarnation: the ceiling
//!   was lowered for it;
//! - up to its fair share times its warmth while it is in slow start, and at once by no more than a part of the fair
//!   share: [`WARMING_BATCH_SECONDS`] over the duration of a slow start;
//! - up to its fair share otherwise, whatever its ceiling is.
//!
//! The ceiling of a ready server that has started recently and had no fault is raised to [`RAISED_CEILING_SHARE`] of
//! its fair share.
//!
//! **Reason:** a server starts with a ceiling of a few slots, which is raised only as they are filled. While servers
//! with more occupied slots show more free ones, new connections keep going there.

use super::fair_share::FairShare;
use super::observed_connections::ObservedConnections;
use super::{CeilingIncrease, RebalanceContext, ServerSnapshot};
use crate::{Micros, ServerId, Time};

/// A server that started longer ago than this has shown what it can hold.
const RECENT_START: Micros = Micros::from_secs(60);
/// The least deficit of a server that has started recently, in standard deviations of its fair share.
const MIN_DEFICIT_DEVIATIONS_RECENT_START: f64 = 1.0;
/// The least deficit of any other server: by chance some server is always below its fair share.
const MIN_DEFICIT_DEVIATIONS: f64 = 3.0;
/// Time after a fault in which a server has no spare capacity: a slow server shows few connections because it cannot
/// hold more.
const FAULT_COOLDOWN: Micros = Micros::from_secs(5);
/// Seconds of a slow start: the part of the fair share that it adds in them may be taken at once.
const WARMING_BATCH_SECONDS: f64 = 2.0;
/// Share of the fair share to which a ceiling is raised.
const RAISED_CEILING_SHARE: f64 = 0.9;

/// The slots that a server can take for migrated clients.
#[derive(Clone, Copy, Debug)]
pub(super) struct SpareCapacity {
    pub(super) server: ServerId,
    pub(super) slots: f64,
}

/// Finds spare capacity and ceilings that are too low.
#[derive(Clone, Copy, Debug)]
pub(super) struct CapacityEstimator<'a> {
    pub(super) now: Time,
    pub(super) context: &'a RebalanceContext,
    pub(super) connections: &'a ObservedConnections,
    pub(super) fair_share: FairShare,
}

impl CapacityEstimator<'_> {
    /// The ceilings to raise.
    pub(super) fn ceiling_increases(&self, servers: &[ServerSnapshot]) -> Vec<CeilingIncrease> {
        let mut increases = Vec::new();
        for server in servers.iter().filter(|server| self.has_unknown_capacity(server)) {
            let ceiling = self.fair_share.slots_of(server) * RAISED_CEILING_SHARE;
            if server.ceiling < ceiling {
                increases.push(CeilingIncrease { server: server.server, ceiling });
            }
        }
        increases
    }

    /// Ready servers with spare capacity, except those of `excluded`.
    pub(super) fn find(
        &self,
        servers: &[ServerSnapshot],
        excluded: impl Fn(ServerId) -> bool,
    ) -> Vec<SpareCapacity> {
        let mut spare = Vec::new();
        for server in servers.iter().filter(|server| server.ready && !excluded(server.server)) {
            let slots = self.spare_slots(server);
            if slots > 0.0 {
                spare.push(SpareCapacity { server: server.server, slots });
            }
        }
        spare
    }

    /// Slots that a server can take; zero or less if there are none.
    fn spare_slots(&self, server: &ServerSnapshot) -> f64 {
        let fair_slots = self.fair_share.slots_of(server);
        if self.is_slow(server) || self.is_within_noise(server, fair_slots) {
            return 0.0;
        }
        match server.last_fault {
            Some(at) if self.now.since(at) < FAULT_COOLDOWN => 0.0,
            Some(_) => server.ceiling.min(fair_slots) * server.warmth - server.occupied_slots,
            None if server.warmth < 1.0 => self.warming_slots(server, fair_slots),
            None => fair_slots - server.occupied_slots,
        }
    }

    /// Slots that a server in slow start can take.
    fn warming_slots(&self, server: &ServerSnapshot, fair_slots: f64) -> f64 {
        let slow_start_micros = self.context.slow_start_duration.max(Micros(1)).as_f64();
        let slots_per_second = fair_slots * 1e6 / slow_start_micros;
        (fair_slots * server.warmth - server.occupied_slots).min(WARMING_BATCH_SECONDS * slots_per_second)
    }

    /// Whether random placement explains how far a server is below its fair share.
    fn is_within_noise(&self, server: &ServerSnapshot, fair_slots: f64) -> bool {
        let min_deviations = if self.started_recently(server) {
            MIN_DEFICIT_DEVIATIONS_RECENT_START
        } else {
            MIN_DEFICIT_DEVIATIONS
        };
        fair_slots - server.occupied_slots < min_deviations * fair_slots.sqrt()
    }

    /// Whether a server has started recently without a fault since: its low ceiling then says nothing of its capacity.
    fn has_unknown_capacity(&self, server: &ServerSnapshot) -> bool {
        self.started_recently(server) && server.ready && server.last_fault.is_none() && !self.is_slow(server)
    }

    fn started_recently(&self, server: &ServerSnapshot) -> bool {
        server.started.is_some_and(|at| self.now.since(at) < RECENT_START)
    }

    fn is_slow(&self, server: &ServerSnapshot) -> bool {
        self.connections.reported_slow(self.now, server.server)
    }
}
