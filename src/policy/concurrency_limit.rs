//! The concurrency limit of a server: up to how many slots this balancer fills it.
//!
//! **What is decided.** The ceiling of each server, in slots (one slot is the load of a mean connection). The
//! ceiling limits only the slots that this balancer occupies there. Selection draws servers by their free
//! slots: the ceiling times the server's warmth, less the occupied slots. If no server has free slots, a
//! connection may exceed a ceiling (overflow).
//!
//! **Inputs.** The outcome of attempts; the ratio of a message time to the tightest message objective of all
//! classes; load reports (utilisation, 1 is full); peers' observations of slow messages and drops.
//!
//! **Rule.**
//!
//! - *Start*: a few slots in proportion to the server's weight. A ceiling of 0 is set to this initial value
//!   whenever an endpoint list, or a change of it, is applied.
//! - *Increase*: by one slot when a connection is established that occupied the last free slot or exceeded
//!   the ceiling.
//! - *Decrease*: when the server rejects an attempt or drops a connection, to 0.8 of the occupied slots, or
//!   of the ceiling if that is lower. When an attempt has no answer, to the occupied slots, unless the
//!   ceiling is lower. There is no minimum: a server that dropped its last connection must not have a free
//!   slot at once.
//! - *Message time*: a ratio below a third sets the ceiling to the occupied slots; a ratio of a third or more
//!   sets it to the occupied slots over (1 + ratio). Even a message in time therefore removes the free slots.
//!   The ceiling then rises again by connections that exceed it.
//! - *Load report*: a utilisation of 0.85 or more reduces the ceiling to 0.85 of the occupied slots (of the
//!   ceiling if that is lower), or further if the utilisation is above 1. A lower utilisation, at a server
//!   without a recent fault, sets the ceiling to the occupied slots that the report certainly includes, plus
//!   this balancer's part of the capacity that remains up to 0.85. For this part, a full server is assumed to
//!   have at least four slots of this balancer.
//! - *Peer*: slow messages at a peer lower the ceiling like slow messages here; a drop at a peer removes half
//!   of the free slots.
//! - *Recovery*, checked before each selection: after four fault windows without a fault or a step, and with
//!   no attempt in flight, the ceiling rises to the occupied slots. Otherwise a ceiling below the occupied
//!   slots (or below 1), at a server that has had a fault, rises by one slot once in each fault window. At a
//!   server without occupied slots, a ceiling below 1 no longer rises after the four windows.
//! - *Restored connections* raise the ceiling to the occupied slots. A hot restart sets the ceiling that the
//!   predecessor had learned.
//! - *Rebalancing* may raise the ceiling, or lower it to the occupied slots (`src/rebalance/`).
//!
//! **Faults.** A rejection, a drop, an attempt without an answer, slow messages, a load report of 0.85 or
//! more, a peer's observation and a step of recovery set the time of the last fault. Within the
//! [`FaultWindow`] after it, the ceiling of the server must not be exceeded. Within four windows, it may be
//! exceeded by one slot; after that, by one whole connection. A refused connection is a failure
//! (`outlier_detection`) but not a fault.
//!
//! **Why.** "Insensitive Load Balancing" (Bonald, Jonckheere, Proutière, 2004) takes the number of slots of
//! each server as given. Here it is unknown, so it is learned like a congestion window: by additive increase
//! and multiplicative decrease.

use super::fault_window::FaultWindow;
use crate::types::{LearnedState, Micros, Time};

/// Ceiling in slots of a new server of mean weight.
const INITIAL_SLOTS: f64 = 4.0;
/// Lowest ceiling in slots of a new server, for any weight.
const MIN_INITIAL_SLOTS: f64 = 1.0;
/// Highest ceiling in slots of a new server, for any weight.
const MAX_INITIAL_SLOTS: f64 = 16.0;
/// Factor that a rejection or a drop applies to the ceiling, after the free slots are removed.
const REJECTION_FACTOR: f64 = 0.8;
/// Factor that an attempt without an answer applies to the ceiling, after the free slots are removed. Only
/// the free slots are lost, because a missing answer does not show that the server is overloaded.
const TIMEOUT_FACTOR: f64 = 1.0;
/// Factor that a drop observed by a peer applies to the free slots.
const PEER_DROP_FREE_SLOTS_FACTOR: f64 = 0.5;
/// Ratio of message time to objective from which messages count as slow. The server is close to its limit
/// then: messages miss their objective long before a server rejects or drops.
const SLOW_MESSAGE_RATIO: f64 = 1.0 / 3.0;
/// Reported utilisation up to which a ceiling lets a server fill. Messages become slow before utilisation
/// reaches 1.
const TARGET_UTILISATION: f64 = 0.85;
/// Least number of slots that this balancer is assumed to have at a full server when a load report sets a
/// ceiling. With many balancers the part of each is close to 0. Without this minimum, a server with a report
/// would have fewer slots than a server without one, which has a few initial slots.
const MIN_SLOTS_AT_CAPACITY: f64 = 4.0;
/// Number of fault windows after a fault in which a server is assumed to be at its limit.
const AT_LIMIT_FAULT_WINDOWS: u64 = 4;
/// Slots by which the ceiling of a server that may be at its limit may be exceeded.
const MIN_OVERFLOW_SLOTS: f64 = 1.0;

/// Capacity of a server according to a load report.
#[derive(Clone, Copy, Debug)]
pub struct ReportedCapacity {
    /// Load over capacity: 1 is full.
    pub utilisation: f64,
    /// Slots occupied by this balancer that the report certainly includes.
    pub occupied_in_report: f64,
    /// Connections of this balancer at a full server. Each counts as one slot.
    pub slots_at_capacity: f64,
}

/// Learned ceiling of one server, and the time of its last fault.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConcurrencyLimit {
    /// In slots; 0 before the first list that names the server is applied.
    ceiling: f64,
    last_fault: Option<Time>,
}

impl ConcurrencyLimit {
    /// Restores the limit that another process has learned.
    pub fn from_learned(learned: &LearnedState) -> ConcurrencyLimit {
        ConcurrencyLimit { ceiling: learned.ceiling, last_fault: learned.last_fault }
    }

    /// Returns the ceiling in slots.
    pub fn ceiling(&self) -> f64 {
        self.ceiling
    }

    /// Returns the time of the server's last fault; none if it had none. After a peer's observation the time
    /// may be in the future.
    pub fn last_fault(&self) -> Option<Time> {
        self.last_fault
    }

    /// Returns whether the server has had no fault within the fault window.
    pub fn has_no_recent_fault(&self, now: Time, fault_window: FaultWindow) -> bool {
        !self.had_fault_within(now, fault_window.length())
    }

    /// Returns the free slots for a connection that needs `needed` slots, at a server of warmth `warmth` (0
    /// to 1); 0 if the connection does not fit.
    ///
    /// As in the paper's circuit networks, a customer that needs several slots receives all of them or is
    /// blocked. Here half of a server's slots are sufficient, because small servers could otherwise not
    /// accept such a connection at all.
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

    /// Returns the slots by which the ceiling may be exceeded for one connection that needs `needed` slots.
    ///
    /// A server without a fault may accept the whole connection. A limit of one slot would exclude heavy
    /// connections, and the first connection of a group, and the ceiling could never rise. A server that had
    /// a fault within the last four fault windows is assumed to be at its limit, and may accept one slot.
    pub fn overflow_slots(&self, now: Time, fault_window: FaultWindow, needed: f64) -> f64 {
        let is_at_limit = self.had_fault_within(now, AT_LIMIT_FAULT_WINDOWS * fault_window.length());
        if is_at_limit {
            MIN_OVERFLOW_SLOTS
        } else {
            needed.max(MIN_OVERFLOW_SLOTS)
        }
    }

    /// Returns whether the ceiling is 0: the server is new, or decreases have reduced its ceiling to 0.
    pub fn is_zero(&self) -> bool {
        self.ceiling == 0.0
    }

    /// Sets the initial ceiling of a server: a few slots in proportion to its weight over the mean weight of
    /// all servers.
    pub fn set_initial(&mut self, weight: f64, mean_weight: f64) {
        let slots = INITIAL_SLOTS * weight / mean_weight.max(f64::MIN_POSITIVE);
        self.ceiling = slots.clamp(MIN_INITIAL_SLOTS, MAX_INITIAL_SLOTS);
    }

    /// Raises the ceiling by one slot when a connection is established that occupied the last free slot or
    /// exceeded the ceiling.
    pub fn on_last_slot_established(&mut self) {
        self.ceiling += 1.0;
    }

    /// Lowers the ceiling when the server rejected an attempt or dropped a connection. Both show that it is
    /// overloaded.
    pub fn on_rejection_or_drop(&mut self, now: Time, occupied: f64) {
        self.decrease(now, occupied, REJECTION_FACTOR);
    }

    /// Removes the free slots when an attempt had no answer in time.
    pub fn on_attempt_timed_out(&mut self, now: Time, occupied: f64) {
        self.decrease(now, occupied, TIMEOUT_FACTOR);
    }

    /// Sets the ceiling after a message that took `objective_ratio` times its objective.
    ///
    /// Each message time measures the currently occupied slots. If each one reduced the already reduced
    /// ceiling again, the ceiling would fall to 0 while the server works off its backlog, and would remain
    /// there.
    pub fn on_message_time(&mut self, now: Time, occupied: f64, objective_ratio: f64) {
        let is_slow = objective_ratio >= SLOW_MESSAGE_RATIO;
        let factor = if is_slow { 1.0 / (1.0 + objective_ratio) } else { 1.0 };
        self.ceiling = occupied * factor;
        if is_slow {
            self.last_fault = Some(now);
        }
    }

    /// Lowers the ceiling when a peer observed that messages take `objective_ratio` times their objective.
    /// The server is then at its limit with the connections of all balancers. The fault counts from
    /// `fault_time`, which may be in the future.
    pub fn on_peer_slow_messages(&mut self, occupied: f64, objective_ratio: f64, fault_time: Time) {
        if objective_ratio >= SLOW_MESSAGE_RATIO {
            self.ceiling = self.ceiling.min(occupied / (1.0 + objective_ratio));
            self.last_fault = self.last_fault.max(Some(fault_time));
        }
    }

    /// Removes a part of the free slots when a peer observed a drop. The server has capacity again, but would
    /// be overloaded if all balancers continued as before. The fault counts from `fault_time`, which may be
    /// in the future.
    pub fn on_peer_drop(&mut self, occupied: f64, fault_time: Time) {
        let free = (self.ceiling - occupied).max(0.0);
        self.ceiling = self.ceiling.min(occupied + free * PEER_DROP_FREE_SLOTS_FACTOR);
        self.last_fault = self.last_fault.max(Some(fault_time));
    }

    /// Applies a load report. At or above the target utilisation it is a fault; below, it sets the ceiling of
    /// a server without a recent fault.
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

    /// Raises a ceiling that is below the load that the server handles. Decreases may have gone too far, and
    /// the loads of established connections grow, too.
    pub fn recover(&mut self, now: Time, fault_window: FaultWindow, occupied: f64, is_connecting: bool) {
        let window = fault_window.length();
        let target = occupied.max(1.0);
        if !is_connecting && !self.had_fault_within(now, AT_LIMIT_FAULT_WINDOWS * window) {
            self.raise_to(occupied);
        } else if self.ceiling < target && self.last_fault.is_some() && !self.had_fault_within(now, window) {
            // The step counts as a fault, so that the next step follows after another fault window.
            self.last_fault = Some(now);
            self.ceiling = (self.ceiling + 1.0).min(target);
        }
    }

    /// Raises the ceiling to `slots`, the least that the server is assumed to handle.
    pub fn raise_to(&mut self, slots: f64) {
        self.ceiling = self.ceiling.max(slots);
    }

    /// Lowers the ceiling to `slots` if it is higher.
    pub fn lower_to(&mut self, slots: f64) {
        self.ceiling = self.ceiling.min(slots);
    }

    /// Removes the free slots from the ceiling, multiplies the remainder by `factor`, and records a fault.
    fn decrease(&mut self, now: Time, occupied: f64, factor: f64) {
        self.ceiling = self.ceiling.min(occupied) * factor;
        self.last_fault = Some(now);
    }

    fn had_fault_within(&self, now: Time, window: Micros) -> bool {
        self.last_fault.is_some_and(|at| now.since(at) <= window)
    }
}
