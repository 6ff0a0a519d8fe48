//! Finds servers that are overloaded compared with their fair share.
//!
//! **Decided:** for each ready server, whether it is under pressure, how strong the pressure is, and whether
//! it is certain enough to migrate established connections. If it is not, only the server's ceiling is
//! lowered, so that new connections are placed at other servers.
//!
//! **Inputs:** occupied and fair slots of the server; the standard deviation of random placement in slots
//! (`placement_noise.rs`); the server's message time divided by the tightest message objective, if servers
//! report message times; otherwise the operator's [`RebalanceConfig::assumed_utilisation`].
//!
//! **Rule:** a server is under pressure if its excess over the fair share is at least [`MIN_EXCESS_SLOTS`]
//! and, if many of its connections are in groups, at least [`MIN_GROUPED_DEVIATIONS`] standard deviations.
//! The pressure is certain
//! - with reported message times: if the server has reported slow messages for several seconds
//!   (`slow_message_reports.rs`) and its excess is at least the number of standard deviations in
//!   [`MEASURED_THRESHOLDS`]. A server without such reports is not slow;
//! - without reported message times: if its excess is at least the number of standard deviations in
//!   [`INFERRED_THRESHOLDS`]. The utilisation is then inferred: assumed mean utilisation * (occupied
//!   slots - [`DEDUCTED_THRESHOLD_SHARE`] * threshold in slots) / fair share. The same applies if message
//!   times are reported but no message objective is set.
//!
//! Each threshold has a lower value that applies after migrations away from the server have begun.
//!
//! **Reason:** in an M/M/1 queue with processor sharing the mean message time grows as 1/(1 - utilisation)
//! (Kleinrock, Queueing Systems, vol. 1), so a small excess at a busy server delays the messages of all its
//! connections.

use std::cmp::Ordering;

use super::fair_share::FairShare;
use super::observed_connections::ObservedConnections;
use super::placement_noise::PlacementNoise;
use super::{RebalanceConfig, RebalanceContext, ServerSnapshot};
use crate::{Micros, ServerId, Time};

/// Utilisation at which servers begin to report slow messages.
const SLOW_UTILISATION: f64 = 0.85;
/// Message time divided by the tightest message objective, at [`SLOW_UTILISATION`].
const MESSAGE_TIME_AT_SLOW_UTILISATION: f64 = 1.0 / 3.0;
/// Relative decrease of the message time divided by the relative decrease of the load that causes it. For a
/// message time that grows as 1/(1 - u) it is u/(1 - u), which is 5 at u = 0.83, slightly below
/// [`SLOW_UTILISATION`].
const MESSAGE_TIME_ELASTICITY: f64 = 5.0;
/// Highest utilisation that is inferred. It bounds the inferred message time.
const MAX_INFERRED_UTILISATION: f64 = 0.97;
/// Smallest ratio of message time to objective that is used in divisions, which avoids a division by zero.
const MIN_RELATIVE_MESSAGE_TIME: f64 = 0.01;
/// Thresholds if slow messages are reported.
const MEASURED_THRESHOLDS: Hysteresis = Hysteresis { start_deviations: 0.5, continue_deviations: 0.25 };
/// Thresholds if pressure is inferred from the occupied slots alone.
const INFERRED_THRESHOLDS: Hysteresis = Hysteresis { start_deviations: 2.5, continue_deviations: 1.5 };
/// Share of the threshold, in slots, that is deducted from the occupied slots to infer the utilisation.
const DEDUCTED_THRESHOLD_SHARE: f64 = 0.5;
/// Smallest excess over the fair share that counts as pressure.
const MIN_EXCESS_SLOTS: f64 = 1.0;
/// Share of a server's connections in groups above which [`MIN_GROUPED_DEVIATIONS`] applies.
const MAX_UNRESTRICTED_GROUPED_SHARE: f64 = 0.1;
/// Smallest excess, in standard deviations, at which a server with many grouped connections counts as under
/// pressure. When such a server has no free slots left, the next members of its groups are placed at a second
/// server, which then also pays the overhead of the groups.
const MIN_GROUPED_DEVIATIONS: f64 = 2.0;

/// Thresholds of the excess, in standard deviations of random placement.
#[derive(Clone, Copy, Debug)]
struct Hysteresis {
    /// Excess at which migrations begin.
    start_deviations: f64,
    /// Excess down to which migrations continue after they have begun.
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

/// Pressure on a server whose occupied slots exceed its fair share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Pressure {
    /// Server under pressure.
    pub(super) server: ServerId,
    /// Occupied slots of the server.
    pub(super) occupied_slots: f64,
    /// Occupied slots in excess of the fair share.
    pub(super) excess_slots: f64,
    /// Message time divided by the tightest message objective.
    pub(super) relative_message_time: f64,
    /// Whether the pressure is certain enough to migrate established connections.
    pub(super) is_certain: bool,
}

impl Pressure {
    /// Compares by message time, then by excess, with the largest first.
    pub(super) fn cmp_slowest_first(&self, other: &Pressure) -> Ordering {
        let by_message_time = other.relative_message_time.total_cmp(&self.relative_message_time);
        by_message_time.then(other.excess_slots.total_cmp(&self.excess_slots))
    }

    /// Returns the share of messages that miss the objective if message times are exponentially distributed.
    pub(super) fn missed_share(&self) -> f64 {
        (-1.0 / self.relative_message_time.max(MIN_RELATIVE_MESSAGE_TIME)).exp()
    }

    /// Returns the gain of the remaining connections from each slot that becomes free, in seconds of good
    /// service per second. It is the derivative of [`Pressure::missed_share`] with respect to the relative
    /// decrease of the load. A slot is the load of one mean connection, so the number of connections, which
    /// all gain, cancels against the share of the load that a slot is.
    pub(super) fn relief_per_slot(&self) -> f64 {
        MESSAGE_TIME_ELASTICITY * self.missed_share()
            / self.relative_message_time.max(MIN_RELATIVE_MESSAGE_TIME)
    }
}

/// Inputs from which the pressure on servers is estimated.
#[derive(Clone, Copy, Debug)]
pub(super) struct PressureEstimator<'a> {
    pub(super) now: Time,
    pub(super) config: &'a RebalanceConfig,
    pub(super) context: &'a RebalanceContext,
    pub(super) connections: &'a ObservedConnections,
    pub(super) fair_share: FairShare,
}

impl PressureEstimator<'_> {
    /// Estimates the pressure on a server. Returns `None` if there is none. `is_being_relieved` means that
    /// migrations away from the server have begun.
    pub(super) fn estimate(&self, server: &ServerSnapshot, is_being_relieved: bool) -> Option<Pressure> {
        let fair_slots = self.fair_share.slots_of(server);
        let excess_slots = server.occupied_slots - fair_slots;
        // This check is first because it is cheap and excludes most servers.
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
            message_time.map_or(0.0, |time| time.as_f64() / self.context.message_objective.as_f64());
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
        let noise_adjusted_slots = server.occupied_slots - threshold_slots * DEDUCTED_THRESHOLD_SHARE;
        let utilisation = self.config.assumed_utilisation * noise_adjusted_slots / fair_slots.max(1.0);
        Pressure {
            server: server.server,
            occupied_slots: server.occupied_slots,
            excess_slots,
            relative_message_time: relative_message_time_at(utilisation),
            is_certain: excess_slots >= threshold_slots,
        }
    }
}

/// Returns the message time divided by the objective, at a given utilisation.
fn relative_message_time_at(utilisation: f64) -> f64 {
    MESSAGE_TIME_AT_SLOW_UTILISATION * (1.0 - SLOW_UTILISATION)
        / (1.0 - utilisation.min(MAX_INFERRED_UTILISATION))
}
