//! Migration: connections are migrated away from an overloaded server while other servers have free capacity.
//!
//! **What is decided.** How many clients of a server are asked to reconnect, and which.
//!
//! **Inputs.** An observation that a server is overloaded: a message time of half the tightest message
//! objective of all classes or more (the ratio of the two), or a load report of a full server. The slots that
//! are occupied at the server, the spare capacity of other servers, and the priority weight of each
//! connection's class.
//!
//! **Rule.** In the half second after a migration, no further connection migrates (`last_migration`).
//! Otherwise each observation makes a new draw:
//!
//! - One connection migrates. With fewer than eight occupied slots, it migrates with a probability of the
//!   occupied slots over eight for each observation.
//! - If messages take twice their objective or more, a tenth of the connections migrates for each multiple of
//!   the objective, up to half of them, and at least one connection if eight slots are occupied.
//! - No more connections migrate than there is spare capacity, except for the one connection at eight
//!   occupied slots and twice the objective. The spare capacity is the sum of free slots and overflow at
//!   servers that have no failures and no recent fault and are not held back by slow start (a ceiling counts
//!   times the warmth), divided by the number of serving servers that have failures or a recent fault,
//!   including the overloaded server. It is divided because every balancer may migrate connections away from
//!   each of these servers.
//! - Connections whose end frees the most slots for each unit of priority weight migrate first. The weight
//!   counts as 1 if no load has been measured. The last connection of a group also frees the slots of the
//!   group.
//!
//! **Why.** The effect of a migration has to become visible before the next one is decided. Every balancer
//! learns of an overloaded server. The more balancers there are, the fewer slots each of them occupies there,
//! and without the probability they would empty the server together. At twice the objective no message is in
//! time, so that remaining connected has no value. Once some connections have left, the messages of the
//! remaining connections are in time again.
//!
//! Migration for balance, without an overload, is decided in `src/rebalance/`. It also starts the half
//! second.

use super::fault_window::FaultWindow;
use super::server::Server;
use crate::types::{Settings, Time};

/// Ratio of message time to objective from which connections are migrated, because messages then often miss
/// the objective.
const MIGRATION_RATIO: f64 = 0.5;
/// Number of occupied slots from which one connection migrates with certainty.
const SLOTS_FOR_CERTAIN_MIGRATION: f64 = 8.0;
/// Ratio of message time to objective from which no message is in time, and a share of the connections
/// migrates at once.
const BULK_MIGRATION_RATIO: f64 = 2.0;
/// Divisor of the ratio that gives the share of connections that migrates if no message is in time.
const BULK_SHARE_DIVISOR: f64 = 10.0;
/// Largest share of connections that migrates at once.
const MAX_BULK_SHARE: f64 = 0.5;
/// Slots above the ceiling of its next server that a migrated connection is assumed to need.
const MIGRATION_OVERFLOW_SLOTS: f64 = 4.0;
/// Lowest effective priority weight. Freed slots are divided by the weight.
const MIN_PRIORITY_WEIGHT: f64 = 0.01;

/// Returns whether messages that take `objective_ratio` times their objective show that their server is
/// overloaded.
pub fn is_overloaded(objective_ratio: f64) -> bool {
    objective_ratio >= MIGRATION_RATIO
}

/// Number of connections to migrate away from a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MigrationNeed {
    /// Mean number of connections to migrate if other servers have enough spare capacity.
    wanted: f64,
    /// Number of connections to migrate without regard to spare capacity.
    least: f64,
}

impl MigrationNeed {
    /// Computes the number for a server whose messages take `objective_ratio` times their objective; the
    /// ratio is 0 if it is only known that the server is overloaded.
    pub fn new(server: &Server, objective_ratio: f64) -> MigrationNeed {
        let occupied = server.connections.occupied_slots();
        let probability = (occupied / SLOTS_FOR_CERTAIN_MIGRATION).clamp(0.0, 1.0);
        if objective_ratio < BULK_MIGRATION_RATIO {
            return MigrationNeed { wanted: probability, least: 0.0 };
        }
        let bulk_share = (objective_ratio / BULK_SHARE_DIVISOR).min(MAX_BULK_SHARE);
        let bulk = server.connections.established_count() as f64 * bulk_share;
        MigrationNeed { wanted: f64::max(probability, bulk), least: probability }
    }

    /// Returns the number of connections that migrate. `random` is a draw from 0 to 1 that decides whether
    /// the number is rounded up or down.
    pub fn count(self, random: f64, spare_capacity: f64) -> usize {
        (self.wanted + random).min(spare_capacity).max(self.least) as usize
    }
}

/// Returns the spare slots at servers without failures and without a recent fault, divided by the number of
/// servers that have failures or a recent fault.
pub fn spare_capacity<'a>(
    serving: impl Iterator<Item = &'a Server>,
    settings: &Settings,
    now: Time,
    fault_window: FaultWindow,
) -> f64 {
    let is_healthy = |server: &&Server| {
        server.limit.has_no_recent_fault(now, fault_window) && !server.outlier.has_failures()
    };
    let (healthy, unhealthy): (Vec<_>, Vec<_>) = serving.partition(is_healthy);
    let spare_slots = |server: &Server| {
        let ceiling = server.limit.ceiling() * server.slow_start.warmth(settings, now);
        let overflow = server.limit.overflow_slots(now, fault_window, MIGRATION_OVERFLOW_SLOTS);
        (ceiling + overflow - server.connections.occupied_slots()).max(0.0)
    };
    let ready = healthy.into_iter().filter(|server| server.slow_start.is_ready(now));
    ready.map(spare_slots).sum::<f64>() / unhealthy.len().max(1) as f64
}

/// Returns the relief of a server by the end of a connection: the freed slots for each unit of priority
/// weight. `priority_weight` is none if no loads are measured. The weight then does not show the freed load,
/// and all connections count with weight 1.
pub fn relief(freed_slots: f64, priority_weight: Option<f64>) -> f64 {
    let priority_weight = priority_weight.map_or(1.0, |weight| weight.max(MIN_PRIORITY_WEIGHT));
    freed_slots / priority_weight
}
