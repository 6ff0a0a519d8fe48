//! Checks whether migrated clients reconnect.
//!
//! **Decided:** whether enough clients reconnect to raise the rate of migrations, and whether so few
//! reconnect that migrations are put on hold.
//!
//! **Inputs:** the number c of clients with a flow key that this balancer migrated and that have reconnected
//! or timed out; the number of reconnections observed at this balancer; the number n of balancers.
//!
//! **Rule:** c/n of these clients are expected to reconnect here, and as many clients of the other balancers.
//! Observed are this balancer's own clients, which are recognised by their key, and with several balancers
//! all clients that report a migration elsewhere. Half of the expected number is sufficient. Reconnections
//! have failed when fewer than half are observed and, with several balancers, the shortfall exceeds
//! [`TOLERATED_DEVIATIONS`] standard deviations of a Poisson count. Counts decay exponentially over
//! [`DECAY_SECONDS`].

/// Smallest number of concluded migrations from which a failure is inferred.
const MIN_CONCLUDED: f64 = 4.0;
/// Shortfall that is attributed to chance, in standard deviations.
const TOLERATED_DEVIATIONS: f64 = 2.0;
/// Time constant of the counts' decay.
const DECAY_SECONDS: f64 = 60.0;

/// Decaying counts of clients with a flow key.
#[derive(Debug)]
pub(super) struct Reconnections {
    balancers: f64,
    /// Clients that this balancer migrated and that have reconnected or timed out.
    concluded: f64,
    /// Concluded clients that reconnected here.
    reconnected: f64,
    /// Clients of other balancers that reconnected here.
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
    /// the clients of the other balancers.
    fn observed(&self) -> f64 {
        self.reconnected + if self.balancers > 1.0 { self.from_others } else { 0.0 }
    }
}
