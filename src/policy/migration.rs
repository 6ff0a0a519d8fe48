//! Migration: an overloaded server gives up connections while others have free capacity.
//!
//! **What is decided.** How many connections of a server are asked to reconnect, and which.
//!
//! **Inputs.** An observation that a server is overloaded: a message time of half its objective or more (the
//! ratio of the two), or a load report of a full server. The slots that are occupied there, the spare
//! capacity of other servers, and the priority weight of each connection's class.
//!
//! **Rule.** At most every half a second (`last_migration`):
//!
//! - One connection leaves. With fewer than eight occupied slots it leaves with a probability of the slots
//!   over eight.
//! - Where messages take twice their objective or more, a tenth of the connections for each multiple of the
//!   objective leaves, up to half, and at least one if eight slots are occupied.
//! - No more leave than there is spare capacity, but for that last one: the free slots and the overflow at
//!   servers with no failures and no recent fault, divided by the number of serving servers that have
//!   failures or a recent fault, the overloaded one included, as each of those may give up connections at
//!   every balancer.
//! - Those leave first whose end frees the most slots for each unit of priority weight (of 1, where no load
//!   has been measured). The last connection of a group frees the slots of its group, too.
//!
//! **Why.** The effect of a migration has to show before the next one is decided. Every balancer learns of an
//! overloaded server; the more they are, the fewer slots each occupies there, and without the probability
//! they would empty it together. At twice the objective no message is in time, so that staying has no value,
//! and messages become useful again for the rest once some have left.
//!
//! Migration for balance, without an overload, is decided in `src/rebalance/`; it starts the half second,
//! too.

use super::fault_window::FaultWindow;
use super::server::Server;
use crate::types::{Settings, Time};

/// Messages that take this part of their objective often miss it: connections have to leave.
const MIGRATION_RATIO: f64 = 0.5;
/// With so many occupied slots one connection migrates for certain.
const SLOTS_FOR_CERTAIN_MIGRATION: f64 = 8.0;
/// At so many times the objective no message is in time.
const USELESS_RATIO: f64 = 2.0;
/// The ratio is divided by this to give the share of connections that leave where no message is in time.
const USELESS_SHARE_DIVISOR: f64 = 10.0;
/// The largest such share.
const MAX_USELESS_SHARE: f64 = 0.5;
/// Slots that a migrated connection is taken to need beyond the ceiling of its next server.
const MIGRATION_OVERFLOW_SLOTS: f64 = 4.0;
/// The lowest priority weight that is taken for real: slots are divided by it.
const MIN_PRIORITY_WEIGHT: f64 = 0.01;

/// Whether message times that take `objective_ratio` times their objective make a server give up connections.
pub fn is_overloaded(objective_ratio: f64) -> bool {
    objective_ratio >= MIGRATION_RATIO
}

/// The number of connections that are to leave a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MigrationNeed {
    /// As many as are wanted, if there is spare capacity elsewhere.
    wanted: f64,
    /// As many as leave in any case.
    least: f64,
}

impl MigrationNeed {
    /// The need of a server whose messages take `objective_ratio` times their objective; 0 if only its
    /// overload is known.
    pub fn new(server: &Server, objective_ratio: f64) -> MigrationNeed {
        let occupied = server.connections.occupied_slots();
        let probability = (occupied / SLOTS_FOR_CERTAIN_MIGRATION).clamp(0.0, 1.0);
        if objective_ratio < USELESS_RATIO {
            return MigrationNeed { wanted: probability, least: 0.0 };
        }
        let useless_share = (objective_ratio / USELESS_SHARE_DIVISOR).min(MAX_USELESS_SHARE);
        let useless = server.connections.established_count() as f64 * useless_share;
        MigrationNeed { wanted: f64::max(probability, useless), least: probability }
    }

    /// The number of connections that leave. `random` is a draw from 0 to 1 that rounds up or down.
    pub fn count(self, random: f64, spare_capacity: f64) -> usize {
        (self.wanted + random).min(spare_capacity).max(self.least) as usize
    }
}

/// Spare slots at servers without failures and without a recent fault, divided by the number of servers that
/// have some.
pub fn spare_capacity<'a>(
    serving: impl Iterator<Item = &'a Server>,
    settings: &Settings,
    now: Time,
    fault_window: FaultWindow,
) -> f64 {
    let is_sound = |server: &&Server| {
        server.limit.has_no_recent_fault(now, fault_window) && !server.outlier.has_failures()
    };
    let (sound, overloaded): (Vec<_>, Vec<_>) = serving.partition(is_sound);
    let spare_slots = |server: &Server| {
        let ceiling = server.limit.ceiling() * server.slow_start.warmth(settings, now);
        let overflow = server.limit.overflow_slots(now, fault_window, MIGRATION_OVERFLOW_SLOTS);
        (ceiling + overflow - server.connections.occupied_slots()).max(0.0)
    };
    let ready = sound.into_iter().filter(|server| server.slow_start.is_ready(now));
    ready.map(spare_slots).sum::<f64>() / overloaded.len().max(1) as f64
}

/// What the end of a connection relieves its server of: slots for each unit of priority weight. Where no
/// loads are measured the weight does not show what becomes free, and all count alike: then it is none.
pub fn relief(freed_slots: f64, priority_weight: Option<f64>) -> f64 {
    let priority_weight = priority_weight.map_or(1.0, |weight| weight.max(MIN_PRIORITY_WEIGHT));
    freed_slots / priority_weight
}
