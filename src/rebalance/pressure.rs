//! Which servers are overloaded compared with their fair share.
//!
//! **Decided:** for each ready server whether it is under pressure, how much, and whether that is certain enough to
//! migrate established connections. Where it is not, only its ceiling is lowered, so that new connections go elsewhere.
//!
//! **Inputs:** occupied and fair slots of the server; the standard deviation of random placement in slots
//! (`placement_noise.rs`); its message time over the tightest message objective, where servers report it; the
//! operator's `assumed_use` where they do not.
//!
//! **Rule:** a server is under pressure if it holds at least [`MIN_EXCESS_SLOTS`] over its fair share and, where many of
//! its connections are in groups, [`MIN_GROUPED_DEVIATIONS`] standard deviations. The pressure is certain
//! - where servers report message times: if the server has reported slow messages for a while (`slow_message_reports.rs`)
//!   and its excess is at least the standard deviations of [`MEASURED_THRESHOLDS`]; a server without such reports is not
//!   slow;
//! - elsewhere: if its excess is at least the standard deviations of [`INFERRED_THRESHOLDS`]. Its utilisation is then
//!   inferred: the assumed mean utilisation times its slots, less a part of the noise, over its fair share.
//!
//! Each threshold has a lower value that applies once migrations away from the server have begun.
//!
//! **Reason:** in an M/M/1 queue with processor sharing the mean message time grows as 1/(1 - utilisation) (Kleinrock,
//! Queueing Systems, vol. 1), so a small excess at a busy server delays the messages of all its connections.

use std::cmp::Ordering;

use super::fair_share::FairShare;
use super::observed_connections::ObservedConnections;
use super::placement_noise::PlacementNoise;
use super::{RebalanceConfig, RebalanceContext, ServerSnapshot};
use crate::{Micros, ServerId, Time};

/// Utilisation at which servers begin to report slow messages.
const SLOW_UTILISATION: f64 = 0.85;
/// Message time over a tight objective at [`SLOW_UTILISATION`].
const MESSAGE_TIME_AT_SLOW_UTILISATION: f64 = 1.0 / 3.0;
/// Relative fall of the message time for a relative fall of the load: u/(1 - u) for 1/(1 - u), at u = 0.83.
const MESSAGE_TIME_ELASTICITY: f64 = 5.0;
/// The highest utilisation that is inferred, which bounds the inferred message time.
const MAX_INFERRED_UTILISATION: f64 = 0.97;
/// The least message time over the objective with which losses are computed: avoids a division by zero.
const MIN_RELATIVE_MESSAGE_TIME: f64 = 0.01;
/// Thresholds where slow messages are reported.
const MEASURED_THRESHOLDS: Hysteresis = Hysteresis { start_deviations: 0.5, continue_deviations: 0.25 };
/// Thresholds where pressure is inferred from occupied slots alone.
const INFERRED_THRESHOLDS: Hysteresis = Hysteresis { start_deviations: 2.5, continue_deviations: 1.5 };
/// Share of the threshold's slots that is deducted from the occupied slots to infer the utilisation.
const DEDUCTED_THRESHOLD_SHARE: f64 = 0.5;
/// The least excess over the fair share that counts as pressure.
const MIN_EXCESS_SLOTS: f64 = 1.0;
/// Share of a server's connections in groups above which [`MIN_GROUPED_DEVIATIONS`] applies.
const MAX_UNRESTRICTED_GROUPED_SHARE: f64 = 0.1;
/// The least excess of a server with many grouped connections, in standard deviations: once its free slots are gone,
/// the next members of its groups go to a second server, which then bears the groups' overhead as well.
const MIN_GROUPED_DEVIATIONS: f64 = 2.0;

/// Thresholds of the excess, in standard deviations of random placement.
#[derive(Clone, Copy, Debug)]
struct Hysteresis {
    /// Migrations begin at this.
    start_deviations: f64,
    /// Once begun, they continue down to this.
    continue_deviations: f64,
}

impl Hysteresis {
    fn deviations(self, is_being_relieved: bool) -> f64 {
        if is_being_relieved {
            self.continue_deviations
        } else {
            self.start_deviations
        }
    }
}

/// The pressure on a server that holds more than its fair share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Pressure {
    /// The server.
    pub(super) server: ServerId,
    /// Slots that are occupied at it.
    pub(super) occupied_slots: f64,
    /// Occupied slots over its fair share.
    pub(super) excess_slots: f64,
    /// Message time over the tightest objective.
    pub(super) relative_message_time: f64,
    /// Whether established connections may be migrated for it.
    pub(super) is_certain: bool,
}

impl Pressure {
    /// Orders by message time, then by excess, the largest first.
    pub(super) fn cmp_slowest_first(&self, other: &Pressure) -> Ordering {
        let by_message_time = other.relative_message_time.total_cmp(&self.relative_message_time);
        by_message_time.then(other.excess_slots.total_cmp(&self.excess_slots))
    }

    /// Share of messages that miss the objective, with exponentially distributed message times.
    pub(super) fn missed_share(&self) -> f64 {
        (-1.0 / self.relative_message_time.max(MIN_RELATIVE_MESSAGE_TIME)).exp()
    }

    /// Seconds of good service that the remaining connections gain in each second from each slot that is freed.
    pub(super) fn relief_per_slot(&self) -> f64 {
        MESSAGE_TIME_ELASTICITY * self.missed_share()
            / self.relative_message_time.max(MIN_RELATIVE_MESSAGE_TIME)
    }
}

/// What the pressure on servers is estimated from.
#[derive(Clone, Copy, Debug)]
pub(super) struct PressureEstimator<'a> {
    pub(super) now: Time,
    pub(super) config: &'a RebalanceConfig,
    pub(super) context: &'a RebalanceContext,
    pub(super) connections: &'a ObservedConnections,
    pub(super) fair_share: FairShare,
}

impl PressureEstimator<'_> {
    /// The pressure on a server, if any. `is_being_relieved`: migrations away from it have begun.
    pub(super) fn estimate(&self, server: &ServerSnapshot, is_being_relieved: bool) -> Option<Pressure> {
        let fair_slots = self.fair_share.slots_of(server);
        let excess_slots = server.occupied_slots - fair_slots;
        // Checked first: it is cheap and excludes most servers.
        if excess_slots < MIN_EXCESS_SLOTS {
            return None;
        }
        let noise = PlacementNoise::at(self.connections, server.server);
        let is_grouped = noise.grouped_share > MAX_UNRESTRICTED_GROUPED_SHARE;
        if is_grouped && excess_slots < MIN_GROUPED_DEVIATIONS * noise.deviation_slots {
            return None;
        }
        if self.context.reports_message_time && self.context.message_objective > Micros::ZERO {
            let threshold_slots = MEASURED_THRESHOLDS.deviations(is_being_relieved) * noise.deviation_slots;
            Some(self.measured_pressure(server, excess_slots, threshold_slots))
        } else {
            let threshold_slots = INFERRED_THRESHOLDS.deviations(is_being_relieved) * noise.deviation_slots;
            Some(self.inferred_pressure(server, fair_slots, threshold_slots))
        }
    }

    fn measured_pressure(
        &self,
        server: &ServerSnapshot,
        excess_slots: f64,
        threshold_slots: f64,
    ) -> Pressure {
        let message_time = self.connections.sustained_message_time(self.now, server.server);
        let relative_message_time =
            message_time.map_or(0.0, |took| took.as_f64() / self.context.message_objective.as_f64());
        Pressure {
            server: server.server,
            occupied_slots: server.occupied_slots,
            excess_slots,
            relative_message_time,
            is_certain: relative_message_time > 0.0 && excess_slots >= threshold_slots,
        }
    }

    fn inferred_pressure(&self, server: &ServerSnapshot, fair_slots: f64, threshold_slots: f64) -> Pressure {
        let excess_slots = server.occupied_slots - fair_slots;
        let certainly_occupied = server.occupied_slots - threshold_slots * DEDUCTED_THRESHOLD_SHARE;
        let utilisation = self.config.assumed_utilisation * certainly_occupied / fair_slots.max(1.0);
        Pressure {
            server: server.server,
            occupied_slots: server.occupied_slots,
            excess_slots,
            relative_message_time: relative_message_time_at(utilisation),
            is_certain: excess_slots >= threshold_slots,
        }
    }
}

/// Message time over the objective at a utilisation.
fn relative_message_time_at(utilisation: f64) -> f64 {
    MESSAGE_TIME_AT_SLOW_UTILISATION * (1.0 - SLOW_UTILISATION)
        / (1.0 - utilisation.min(MAX_INFERRED_UTILISATION))
}
