//! The concurrency limit of a server: how many slots this balancer may occupy there.
//!
//! **What is decided.** Each server has a ceiling in slots (one slot is the load of a mean connection). It
//! bounds what this balancer alone occupies there. Selection draws servers by their free slots: the ceiling
//! times the server's warmth, less the occupied slots.
//!
//! **Inputs.** The outcome of attempts; the time of a message over the tightest message objective of all
//! classes (a ratio); load reports (utilisation, 1 is full); what other balancers observed of these.
//!
//! **Rule.**
//!
//! - *Start*: a few slots in proportion to the server's weight. A ceiling of 0 starts anew whenever an
//!   endpoint list, or a change of it, is applied.
//! - *Increase*: by one slot when the connection that occupied the last free slot is established.
//! - *Decrease*: to 0.8 of what is occupied, or of the ceiling if that is less, when the server rejects an
//!   attempt or drops a connection; to what is occupied when an attempt has no answer. There is no minimum: a
//!   server that dropped its last connection must not have a free slot at once.
//! - *Message time*: up to a third of the objective it sets the ceiling to what is occupied, above that to
//!   what is occupied over (1 + ratio). So a message that is in time takes the free slots, too; the server
//!   grows by its overflow.
//! - *Load report*: of 0.85 or more, it keeps 0.85 of what is occupied, less if the utilisation is above 1.
//!   Below that, at a server without a recent fault, it sets the ceiling to what is occupied and this
//!   balancer's part of the capacity that is left up to 0.85; a full server is taken to have at least four
//!   slots for it.
//! - *Peer*: slow messages elsewhere lower the ceiling as slow messages here do; a drop elsewhere takes half
//!   of the free slots.
//! - *Recovery*, looked at before each selection: if the ceiling is below what is occupied (or below 1), it
//!   rises by one slot once in a fault window. After four fault windows without a fault or such a step, and
//!   with no attempt in flight, it rises to what is occupied.
//! - Rebalancing may raise it, or lower it to what is occupied (`src/rebalance/`).
//!
//! **Faults.** A rejection, a drop, an attempt without an answer, slow messages, a load report of 0.85 or
//! more, a peer's observation and a step of recovery set the time of the last fault. Within the
//! [`FaultWindow`] after it, a server takes nothing beyond its ceiling; within four windows, one slot; after
//! that, one whole connection. A refused connection is a failure (`outlier_detection`) and no fault.
//!
//! **Why.** "Insensitive Load Balancing" (Bonald, Jonckheere, Proutière, 2004) takes the slots of each server
//! as given. Here nobody knows them, so they are learned as a congestion window is: additive increase,
//! multiplicative decrease.

use super::fault_window::FaultWindow;
use crate::types::{LearnedState, Micros, Time};

/// The ceiling in slots of a new server of mean weight.
const INITIAL_SLOTS: f64 = 4.0;
/// The lowest and the highest ceiling in slots of a new server, whatever its weight is.
const MIN_INITIAL_SLOTS: f64 = 1.0;
const MAX_INITIAL_SLOTS: f64 = 16.0;
/// What remains of a ceiling, as a factor, after a rejection or a drop.
const REJECTION_FACTOR: f64 = 0.8;
/// What remains of a ceiling, as a factor, after an attempt without an answer: only the free slots are lost,
/// since silence does not show that the server has too much.
const TIMEOUT_FACTOR: f64 = 1.0;
/// What remains of the free slots, as a factor, where another balancer observed a drop.
const PEER_DROP_FREE_SLOTS_FACTOR: f64 = 0.5;
/// Messages that take this part of their objective show that the server is filling up: value is lost to slow
/// messages long before a server rejects or drops.
const SLOW_MESSAGE_RATIO: f64 = 1.0 / 3.0;
/// Reported utilisation up to which a ceiling lets a server fill: messages become slow before it is 1.
const TARGET_UTILISATION: f64 = 0.85;
/// The fewest slots that this balancer's part of a full server is taken to have when a load report sets a
/// ceiling: of many balancers each has next to nothing, against a few initial slots.
const MIN_SLOTS_AT_CAPACITY: f64 = 4.0;
/// Fault windows after a fault in which a server is taken to be at its limit.
const AT_LIMIT_FAULT_WINDOWS: u64 = 4;
/// Slots by which a ceiling may be exceeded at a server that may be at its limit.
const MIN_OVERFLOW_SLOTS: f64 = 1.0;

/// What a load report shows of a server.
#[derive(Clone, Copy, Debug)]
pub struct ReportedCapacity {
    /// Load over capacity: 1 is full.
    pub utilisation: f64,
    /// Slots of this balancer that the report can already contain.
    pub occupied_in_report: f64,
    /// This balancer's part of a full server, in slots: one for each connection.
    pub slots_at_capacity: f64,
}

/// The learned ceiling of one server, and when the server last had a fault.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConcurrencyLimit {
    /// In slots; 0 before the first list that names the server is applied.
    ceiling: f64,
    last_fault: Option<Time>,
}

impl ConcurrencyLimit {
    /// The limit that another process has learned.
    pub fn from_learned(learned: &LearnedState) -> ConcurrencyLimit {
        ConcurrencyLimit { ceiling: learned.ceiling, last_fault: learned.last_fault }
    }

    /// The ceiling in slots.
    pub fn ceiling(&self) -> f64 {
        self.ceiling
    }

    /// When the server last had a fault. A peer's observation may count from a time that lies ahead.
    pub fn last_fault(&self) -> Option<Time> {
        self.last_fault
    }

    /// Whether the server has had no fault within the fault window.
    pub fn has_no_recent_fault(&self, now: Time, fault_window: FaultWindow) -> bool {
        !self.had_fault_within(now, fault_window.length())
    }

    /// Free slots for a connection that needs `needed` slots, at a server that is warm to the share `warmth`;
    /// 0 if the connection does not fit. As in the paper's circuit networks, a customer that needs several
    /// slots gets all of them or is blocked; but half of a server's slots are enough, or small servers would
    /// take none.
    pub fn free_slots(&self, occupied: f64, warmth: f64, needed: f64) -> f64 {
        let ceiling = self.ceiling * warmth;
        let free = ceiling - occupied;
        let fits = free > 0.0 && free >= needed.min(ceiling / 2.0);
        if fits {
            free
        } else {
            0.0
        }
    }

    /// Slots by which the ceiling may be exceeded for one connection that needs `needed` slots.
    ///
    /// It is the whole connection: a limit of one slot would keep a heavy connection, or the first of a
    /// group, from a server without a known fault, and its ceiling from ever rising. A server with a fault
    /// not long ago is at its limit, and gets one slot.
    pub fn overflow_slots(&self, now: Time, fault_window: FaultWindow, needed: f64) -> f64 {
        let is_at_limit = self.had_fault_within(now, AT_LIMIT_FAULT_WINDOWS * fault_window.length());
        if is_at_limit {
            MIN_OVERFLOW_SLOTS
        } else {
            needed.max(MIN_OVERFLOW_SLOTS)
        }
    }

    /// Whether nothing may be held at the server: it is new, or its ceiling has fallen to nothing.
    pub fn is_zero(&self) -> bool {
        self.ceiling == 0.0
    }

    /// A new server: a few slots in proportion to its weight over the mean weight of all servers.
    pub fn set_initial(&mut self, weight: f64, mean_weight: f64) {
        let slots = INITIAL_SLOTS * weight / mean_weight.max(f64::MIN_POSITIVE);
        self.ceiling = slots.clamp(MIN_INITIAL_SLOTS, MAX_INITIAL_SLOTS);
    }

    /// The connection that occupied the last free slot is established.
    pub fn on_last_slot_established(&mut self) {
        self.ceiling += 1.0;
    }

    /// The server rejected an attempt or dropped a connection, and so shows itself that it has too much.
    pub fn on_rejection_or_drop(&mut self, now: Time, occupied: f64) {
        self.decrease(now, occupied, REJECTION_FACTOR);
    }

    /// An attempt had no answer in time.
    pub fn on_attempt_timed_out(&mut self, now: Time, occupied: f64) {
        self.decrease(now, occupied, TIMEOUT_FACTOR);
    }

    /// A message took `objective_ratio` times its objective.
    ///
    /// Each measurement is of what is occupied now. Decreased again from the last decrease, a ceiling would
    /// fall to nothing while accumulated work is done, and stay there.
    pub fn on_message_time(&mut self, now: Time, occupied: f64, objective_ratio: f64) {
        let is_slow = objective_ratio >= SLOW_MESSAGE_RATIO;
        let factor = if is_slow { 1.0 / (1.0 + objective_ratio) } else { 1.0 };
        self.ceiling = occupied * factor;
        if is_slow {
            self.last_fault = Some(now);
        }
    }

    /// Another balancer observed that messages take `objective_ratio` times their objective: with what all
    /// balancers hold there the server is at its limit. The fault counts from `fault_time`, which may lie
    /// ahead.
    pub fn on_peer_slow_messages(&mut self, occupied: f64, objective_ratio: f64, fault_time: Time) {
        if objective_ratio >= SLOW_MESSAGE_RATIO {
            self.ceiling = self.ceiling.min(occupied / (1.0 + objective_ratio));
            self.last_fault = self.last_fault.max(Some(fault_time));
        }
    }

    /// Another balancer observed a drop. The server has capacity again, but would get more than it bears if
    /// all balancers went on as before. The fault counts from `fault_time`, which may lie ahead.
    pub fn on_peer_drop(&mut self, occupied: f64, fault_time: Time) {
        let free = (self.ceiling - occupied).max(0.0);
        self.ceiling = self.ceiling.min(occupied + free * PEER_DROP_FREE_SLOTS_FACTOR);
        self.last_fault = self.last_fault.max(Some(fault_time));
    }

    /// A load report came. From the target utilisation on it is a fault; below, it sets the ceiling of a
    /// server without a recent fault.
    pub fn on_load_report(
        &mut self,
        now: Time,
        fault_window: FaultWindow,
        occupied: f64,
        reported: ReportedCapacity,
    ) {
        let ReportedCapacity { utilisation, occupied_in_report, slots_at_capacity } = reported;
        if utilisation >= TARGET_UTILISATION {
            self.decrease(now, occupied, TARGET_UTILISATION / f64::max(1.0, utilisation));
        } else if self.has_no_recent_fault(now, fault_window) {
            let slots_at_capacity = slots_at_capacity.max(MIN_SLOTS_AT_CAPACITY);
            self.ceiling = occupied_in_report + (TARGET_UTILISATION - utilisation) * slots_at_capacity;
        }
    }

    /// Recovers from decreases that went below what the server turns out to bear; its connections' loads
    /// grow, too.
    pub fn recover(&mut self, now: Time, fault_window: FaultWindow, occupied: f64, is_connecting: bool) {
        let window = fault_window.length();
        let wanted = occupied.max(1.0);
        if !is_connecting && !self.had_fault_within(now, AT_LIMIT_FAULT_WINDOWS * window) {
            self.raise_to(occupied);
        } else if self.ceiling < wanted && self.last_fault.is_some() && !self.had_fault_within(now, window) {
            // Counted like a fault, so that the next slot follows after another fault window.
            self.last_fault = Some(now);
            self.ceiling = (self.ceiling + 1.0).min(wanted);
        }
    }

    /// The server is taken to bear `slots`: raises the ceiling to it, if it is lower.
    pub fn raise_to(&mut self, slots: f64) {
        self.ceiling = self.ceiling.max(slots);
    }

    /// Lowers the ceiling to `slots`, if it is higher.
    pub fn lower_to(&mut self, slots: f64) {
        self.ceiling = self.ceiling.min(slots);
    }

    /// Takes away the free slots, and keeps `factor` of the rest.
    fn decrease(&mut self, now: Time, occupied: f64, factor: f64) {
        self.ceiling = self.ceiling.min(occupied) * factor;
        self.last_fault = Some(now);
    }

    fn had_fault_within(&self, now: Time, window: Micros) -> bool {
        self.last_fault.is_some_and(|at| now.since(at) <= window)
    }
}
