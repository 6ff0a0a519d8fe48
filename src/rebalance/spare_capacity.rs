//! Finds servers that can accept migrated clients, and servers whose ceilings are too low for their capacity.
//!
//! **Decided:** the slots that each server can accept in addition to its occupied slots, and the ceilings to
//! raise.
//!
//! **Inputs:** for each server, its occupied and fair slots, ceiling, warmth, the times of its start and of
//! its last fault, and whether it reported slow messages recently.
//!
//! **Rule:** a server has spare capacity if it is below its fair share by more than random placement
//! explains, did not report slow messages recently, and had no fault within [`FAULT_COOLDOWN`]. Its spare
//! capacity is the difference between its occupied slots and one of these limits:
//! - if the current server process has had a fault, the smaller of ceiling and fair share, times the warmth,
//!   because the ceiling was lowered for the fault;
//! - during slow start, the fair share times the warmth. At most a part of the fair share may be used at a
//!   time: [`WARMING_BATCH_SECONDS`] divided by the duration of a slow start;
//! - otherwise the fair share, regardless of the ceiling.
//!
//! The ceiling of a ready server that has started recently, had no fault and did not report slow messages
//! recently is raised to [`RAISED_CEILING_SHARE`] of its fair share.
//!
//! **Reason:** a server starts with a ceiling of a few slots, which is raised only when they are filled. As
//! long as servers with more occupied slots also have more free slots, new connections continue to be placed
//! there.

use super::fair_share::FairShare;
use super::observed_connections::ObservedConnections;
use super::{CeilingIncrease, RebalanceContext, ServerSnapshot};
use crate::{Micros, ServerId, Time};

/// Time after its start for which a server counts as recently started. After this time its capacity is known.
const RECENT_START: Micros = Micros::from_secs(60);
/// Smallest deficit of a recently started server, in standard deviations of its fair share.
const MIN_DEFICIT_DEVIATIONS_RECENT_START: f64 = 1.0;
/// Smallest deficit of any other server, in standard deviations of its fair share. By chance, some server is
/// always below its fair share.
const MIN_DEFICIT_DEVIATIONS: f64 = 3.0;
/// Time after a fault in which a server has no spare capacity. A slow server has few connections because it
/// cannot handle more.
const FAULT_COOLDOWN: Micros = Micros::from_secs(5);
/// Largest part of the capacity of a server in slow start that may be filled at one evaluation, as the
/// seconds in which its capacity grows by that part.
const WARMING_BATCH_SECONDS: f64 = 2.0;
/// Ceiling to which a recently started server is raised, as a share of its fair share.
const RAISED_CEILING_SHARE: f64 = 0.9;

/// Slots that a server can accept for migrated clients.
#[derive(Clone, Copy, Debug)]
pub(super) struct SpareCapacity {
    pub(super) server: ServerId,
    pub(super) slots: f64,
}

/// Inputs from which spare capacity and too low ceilings are found.
#[derive(Clone, Copy, Debug)]
pub(super) struct CapacityEstimator<'a> {
    pub(super) now: Time,
    pub(super) context: &'a RebalanceContext,
    pub(super) connections: &'a ObservedConnections,
    pub(super) fair_share: FairShare,
}

impl CapacityEstimator<'_> {
    /// Returns the ceilings to raise.
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

    /// Returns the ready servers with spare capacity, except those for which `excluded` returns true.
    pub(super) fn find(
        &self,
        servers: &[ServerSnapshot],
        excluded: impl Fn(ServerId) -> bool,
    ) -> Vec<SpareCapacity> {
        let mut spare = Vec::new();
        for server in servers.iter().filter(|server| server.is_ready && !excluded(server.server)) {
            let slots = self.spare_slots(server);
            if slots > 0.0 {
                spare.push(SpareCapacity { server: server.server, slots });
            }
        }
        spare
    }

    /// Returns the slots that a server can accept. The result may be negative, which means that there are
    /// none.
    fn spare_slots(&self, server: &ServerSnapshot) -> f64 {
        let fair_slots = self.fair_share.slots_of(server);
        if self.is_slow(server) || self.is_within_noise(server, fair_slots) {
            return 0.0;
        }
        match server.last_fault_at {
            Some(at) if self.now.since(at) < FAULT_COOLDOWN => 0.0,
            Some(_) => server.ceiling.min(fair_slots) * server.warmth - server.occupied_slots,
            None if server.warmth < 1.0 => self.warming_slots(server, fair_slots),
            None => fair_slots - server.occupied_slots,
        }
    }

    /// Returns the slots that a server in slow start can accept.
    fn warming_slots(&self, server: &ServerSnapshot, fair_slots: f64) -> f64 {
        let slow_start_micros = self.context.slow_start_duration.max(Micros(1)).as_f64();
        let slots_per_second = fair_slots * 1e6 / slow_start_micros;
        (fair_slots * server.warmth - server.occupied_slots).min(WARMING_BATCH_SECONDS * slots_per_second)
    }

    /// Returns whether random placement explains the deficit of a server below its fair share.
    fn is_within_noise(&self, server: &ServerSnapshot, fair_slots: f64) -> bool {
        let min_deviations = if self.started_recently(server) {
            MIN_DEFICIT_DEVIATIONS_RECENT_START
        } else {
            MIN_DEFICIT_DEVIATIONS
        };
        fair_slots - server.occupied_slots < min_deviations * fair_slots.sqrt()
    }

    /// Returns whether a server has started recently and had no fault since. Its low ceiling then does not
    /// indicate its capacity.
    fn has_unknown_capacity(&self, server: &ServerSnapshot) -> bool {
        self.started_recently(server)
            && server.is_ready
            && server.last_fault_at.is_none()
            && !self.is_slow(server)
    }

    fn started_recently(&self, server: &ServerSnapshot) -> bool {
        server.started_at.is_some_and(|at| self.now.since(at) < RECENT_START)
    }

    fn is_slow(&self, server: &ServerSnapshot) -> bool {
        self.connections.reported_slow(self.now, server.server)
    }
}
