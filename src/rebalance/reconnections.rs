//! Checks whether migrated clients reconnect.
//!
//! **Decided:** whether enough clients reconnect to raise the rate of migrations, and whether so few
//! reconnect that migrations are put on hold.
//!
//! **Inputs:** the number c of clients with a key that this balancer migrated and that have reconnected
//! or timed out; the number of reconnections observed at this balancer; the number n of balancers.
//!
//! **Rule:** the expected number is c/n, because a migrated client reconnects to any balancer. If each other
//! balancer migrates as many clients, as many clients of each also reconnect here. They count as observed,
//! but are not added to the expected number. The observed number is the sum of this balancer's own clients,
//! which are recognised by their key, and, with several balancers, all other clients that report a
//! reconnection. Reconnections are sufficient if the observed number is at least c/n/2. They have failed if c
//! is at least [`MIN_CONCLUDED`], the observed number is below c/n/2 and, with several balancers, it is below
//! c/n by more than [`TOLERATED_DEVIATIONS`] standard deviations of a Poisson count. Counts decay
//! exponentially over [`DECAY_SECONDS`].

/// Smallest number of concluded migrations from which a failure is inferred.
const MIN_CONCLUDED: f64 = 4.0;
/// Shortfall that is attributed to chance, in standard deviations.
const TOLERATED_DEVIATIONS: f64 = 2.0;
/// Time constant of the counts' decay.
const DECAY_SECONDS: f64 = 60.0;

/// Decaying counts of migrated clients and of reconnections.
#[derive(Debug)]
pub(super) struct Reconnections {
    balancers: f64,
    /// Clients with a key that this balancer migrated and that have reconnected or timed out.
    concluded: f64,
    /// Concluded clients that reconnected here.
    reconnected: f64,
    /// Clients that reported a reconnection and were not recognised by their key. Most are clients of other
    /// balancers; clients without a key and those whose connection here broke also count.
    from_others: f64,
}

impl Reconnections {
    pub(super) fn new() -> Reconnections {
        Reconnections { balancers: 1.0, concluded: 0.0, reconnected: 0.0, from_others: 0.0 }
    }

    pub(super) fn set_balancers(&mut self, balancers: u32) {
        self.balancers = f64::from(balancers.max(1));
    }

    pub(super) fn on_reconnected(&mut self) {
        self.concluded += 1.0;
        self.reconnected += 1.0;
    }

    pub(super) fn on_reconnected_from_other(&mut self) {
        self.from_others += 1.0;
    }

    /// Records the number of clients that did not reconnect in time.
    pub(super) fn on_timed_out(&mut self, clients: usize) {
        self.concluded += clients as f64;
    }

    /// Returns whether enough clients reconnect to raise the rate of migrations.
    pub(super) fn are_sufficient(&self) -> bool {
        self.concluded > 0.0 && self.observed() >= self.concluded / self.balancers / 2.0
    }

    /// Returns whether too few clients reconnect. If so, resets the counts to zero.
    pub(super) fn detect_failure(&mut self) -> bool {
        let expected = self.concluded / self.balancers;
        // The clients of a single balancer cannot reconnect to another balancer.
        let tolerance = if self.balancers > 1.0 { TOLERATED_DEVIATIONS * expected.sqrt() } else { 0.0 };
        let observed = self.observed();
        let failed =
            self.concluded >= MIN_CONCLUDED && observed < expected / 2.0 && observed < expected - tolerance;
        if failed {
            (self.concluded, self.reconnected, self.from_others) = (0.0, 0.0, 0.0);
        }
        failed
    }

    pub(super) fn decay(&mut self, seconds: f64) {
        let factor = (-seconds / DECAY_SECONDS).exp();
        self.concluded *= factor;
        self.reconnected *= factor;
        self.from_others *= factor;
    }

    /// Returns the number of reconnections here: of this balancer's clients and, with several balancers, of
    /// all other clients that reported a reconnection.
    fn observed(&self) -> f64 {
        self.reconnected + if self.balancers > 1.0 { self.from_others } else { 0.0 }
    }
}
