//! Which servers hold more than their fair share, and what moves off them gain. Pure functions.

use super::fleet::FairShare;
use super::view::View;
use super::{RebalanceConfig, RebalanceContext, ServerSnapshot};
use crate::{Micros, Time};

/// At this use of a server's capacity messages take [`KNEE_MESSAGE_TIME`] of a tight objective, from which on servers
/// report slow messages; the time grows as 1/(1 - use) (the mean of M/M/1 with shared service; Kleinrock, Queueing
/// Systems, vol. 1).
const KNEE_USE: f64 = 0.85;
/// Message time at [`KNEE_USE`], over the objective.
const KNEE_MESSAGE_TIME: f64 = 1.0 / 3.0;
/// At that use a load that is one part in n lower lowers the message time by about so many parts in n.
const RELIEF_FACTOR: f64 = 5.0;
/// An inferred use is never taken to be nearer to saturation than this.
const MAX_INFERRED_USE: f64 = 0.97;
/// The least relative message time that losses are computed for: avoids a division by zero.
const MIN_RELATIVE_MESSAGE_TIME: f64 = 0.01;
/// Where servers report slow messages, deviations over the fair share at which moves begin and go on.
const MEASURED_THRESHOLDS: Thresholds = Thresholds { start: 0.5, proceed: 0.25 };
/// The same where pressure is only inferred from what servers hold.
const INFERRED_THRESHOLDS: Thresholds = Thresholds { start: 2.5, proceed: 1.5 };
/// Part of the threshold's noise that is not counted towards an inferred use.
const UNCERTAIN_NOISE_SHARE: f64 = 0.5;
/// A server so many slots over its fair share takes no new connection that another server can take.
const MIN_EXCESS_SLOTS: f64 = 1.0;
/// Where more than this share of a server's connections is in groups...
const MIN_GROUPED_SHARE: f64 = 0.1;
/// ...its excess has to be so many deviations.
const GROUPED_THRESHOLD: f64 = 2.0;

/// Hysteresis: excess in standard deviations of random placement.
#[derive(Clone, Copy, Debug)]
struct Thresholds {
    /// Moves begin above this.
    start: f64,
    /// Once begun, they go on above this.
    proceed: f64,
}

impl Thresholds {
    fn select(self, relieving: bool) -> f64 {
        if relieving {
            self.proceed
        } else {
            self.start
        }
    }
}

/// The pressure on a server that holds more than its fair share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pressure {
    /// Message time over the tightest objective.
    pub relative_message_time: f64,
    /// Slots that it holds over its fair share.
    pub excess: f64,
    /// Certain enough to migrate established connections; otherwise only new ones go elsewhere.
    pub certain: bool,
}

impl Pressure {
    /// Share of messages that miss the objective, with exponential message times.
    pub fn missed_share(&self) -> f64 {
        (-1.0 / self.relative_message_time.max(MIN_RELATIVE_MESSAGE_TIME)).exp()
    }

    /// Connection-seconds a second that the remaining connections gain from each slot that is freed.
    pub fn relief_per_slot(&self) -> f64 {
        RELIEF_FACTOR * self.missed_share() / self.relative_message_time.max(MIN_RELATIVE_MESSAGE_TIME)
    }
}

/// Message time over the objective at a use of the capacity.
fn relative_message_time_at(used: f64) -> f64 {
    KNEE_MESSAGE_TIME * (1.0 - KNEE_USE) / (1.0 - used.min(MAX_INFERRED_USE))
}

/// What the pressure on servers is assessed by.
#[derive(Clone, Copy, Debug)]
pub struct Assessment<'a> {
    /// The pool's settings.
    pub context: &'a RebalanceContext,
    /// The operator's settings.
    pub config: &'a RebalanceConfig,
    /// The connections.
    pub view: &'a View,
    /// The fair share of each server.
    pub fair_share: FairShare,
    /// The current time.
    pub now: Time,
}

impl Assessment<'_> {
    /// The pressure on a server that holds more than its fair share and more than random placement explains.
    /// `relieving`: moves off it have begun.
    pub fn pressure(&self, server: &ServerSnapshot, relieving: bool) -> Option<Pressure> {
        let fair = self.fair_share.of(server);
        let excess = server.occupied_slots - fair;
        // Checked first, as it is cheap and true of most servers most of the time.
        if excess < MIN_EXCESS_SLOTS {
            return None;
        }
        let noise = self.view.placement_noise(server.server);
        // Where free slots are gone a group's next members go elsewhere, and a second server pays for the group.
        if noise.grouped_share > MIN_GROUPED_SHARE && excess < GROUPED_THRESHOLD * noise.deviation {
            return None;
        }
        if self.context.reports_message_time && self.context.message_objective > Micros::ZERO {
            Some(self.measured_pressure(server, excess, noise.deviation, relieving))
        } else {
            Some(self.inferred_pressure(server, fair, noise.deviation, relieving))
        }
    }

    /// A server that could report slow messages and does not is not under pressure.
    fn measured_pressure(
        &self,
        server: &ServerSnapshot,
        excess: f64,
        deviation: f64,
        relieving: bool,
    ) -> Pressure {
        let message_time = self.view.sustained_message_time(self.now, server.server);
        let relative_message_time =
            message_time.map_or(0.0, |took| took.as_f64() / self.context.message_objective.as_f64());
        let threshold = MEASURED_THRESHOLDS.select(relieving) * deviation;
        let certain = relative_message_time > 0.0 && excess >= threshold;
        Pressure { relative_message_time, excess, certain }
    }

    fn inferred_pressure(
        &self,
        server: &ServerSnapshot,
        fair: f64,
        deviation: f64,
        relieving: bool,
    ) -> Pressure {
        let excess = server.occupied_slots - fair;
        let threshold = INFERRED_THRESHOLDS.select(relieving) * deviation;
        // Only what random placement does not explain counts towards the inferred use.
        let certainly_held = server.occupied_slots - threshold * UNCERTAIN_NOISE_SHARE;
        let used = self.config.assumed_use * certainly_held / fair.max(1.0);
        Pressure {
            relative_message_time: relative_message_time_at(used),
            excess,
            certain: excess >= threshold,
        }
    }
}
