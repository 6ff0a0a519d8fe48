//! Whether migrated clients reconnect.
//!
//! **Decided:** whether enough clients reconnect to migrate more, and whether so few do that migrations are put on hold.
//!
//! **Inputs:** numbers of clients with a flow key: migrated ones that reconnected here or whose time to do so is over,
//! and other balancers' clients that reconnected here; the number of balancers n.
//!
//! **Rule:** of the migrated clients one in n is expected here, and as many of the other balancers' clients. Half of the
//! expected number is sufficient. Reconnections have failed when fewer than half are seen and, with several balancers,
//! the shortfall exceeds [`TOLERATED_DEVIATIONS`] standard deviations of a Poisson count. Counts decay exponentially
//! over [`DECAY_SECONDS`].

/// The fewest concluded migrations from which a failure is inferred.
const MIN_CONCLUDED: f64 = 4.0;
/// Standard deviations by which the number may fall short by chance.
const TOLERATED_DEVIATIONS: f64 = 2.0;
/// Time constant of the counts' decay.
const DECAY_SECONDS: f64 = 60.0;

/// Decaying counts of clients with a flow key.
#[derive(Debug)]
pub(super) struct Reconnections {
    balancers: f64,
    /// Clients that this balancer migrated and that have returned, or whose time to return is over.
    concluded: f64,
    /// Those of them that returned here.
    returned: f64,
    /// Clients of other balancers that reconnected here.
    from_others: f64,
}

impl Reconnections {
    pub(super) fn new() -> Reconnections {
        Reconnections { balancers: 1.0, concluded: 0.0, returned: 0.0, from_others: 0.0 }
    }

    pub(super) fn set_balancers(&mut self, balancers: u32) {
        self.balancers = f64::from(balancers.max(1));
    }

    pub(super) fn on_returned(&mut self) {
        self.concluded += 1.0;
        self.returned += 1.0;
    }

    pub(super) fn on_returned_from_other(&mut self) {
        self.from_others += 1.0;
    }

    /// The time to return is over for these clients.
    pub(super) fn on_timed_out(&mut self, clients: usize) {
        self.concluded += clients as f64;
    }

    /// Whether enough clients reconnect to raise the rate of migrations.
    pub(super) fn are_sufficient(&self) -> bool {
        self.concluded > 0.0 && self.observed() >= self.concluded / self.balancers / 2.0
    }

    /// Whether too few clients reconnect. If so, the counts start again from zero.
    pub(super) fn take_failure(&mut self) -> bool {
        let expected = self.concluded / self.balancers;
        // The clients of a single balancer have no other one to reconnect to.
        let tolerance = if self.balancers > 1.0 { TOLERATED_DEVIATIONS * expected.sqrt() } else { 0.0 };
        let observed = self.observed();
        let failed =
            self.concluded >= MIN_CONCLUDED && observed < expected / 2.0 && observed < expected - tolerance;
        if failed {
            (self.concluded, self.returned, self.from_others) = (0.0, 0.0, 0.0);
        }
        failed
    }

    pub(super) fn decay(&mut self, seconds: f64) {
        let factor = (-seconds / DECAY_SECONDS).exp();
        self.concluded *= factor;
        self.returned *= factor;
        self.from_others *= factor;
    }

    /// Clients that reconnected here: this balancer's and, of several balancers, the others'.
    fn observed(&self) -> f64 {
        self.returned + if self.balancers > 1.0 { self.from_others } else { 0.0 }
    }
}
