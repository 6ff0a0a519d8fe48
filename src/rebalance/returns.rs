//! Whether migrated clients come back.

/// So many clients have to be due before their returns are judged.
const MIN_DUE: f64 = 4.0;
/// Standard deviations by which returns may fall short.
const TOLERATED_DEVIATIONS: f64 = 2.0;
/// Counts fade over this time.
const FADE_SECONDS: f64 = 60.0;

/// Counts of clients with a key, fading with time.
#[derive(Debug)]
pub(super) struct Returns {
    balancers: f64,
    /// Clients that this balancer migrated and that are back, or whose time to come back is over.
    due: f64,
    /// Those of them that came back here.
    returned: f64,
    /// Clients of other balancers that reconnected here.
    from_others: f64,
}

impl Returns {
    pub(super) fn new() -> Returns {
        Returns { balancers: 1.0, due: 0.0, returned: 0.0, from_others: 0.0 }
    }

    pub(super) fn set_balancers(&mut self, balancers: u32) {
        self.balancers = f64::from(balancers.max(1));
    }

    pub(super) fn on_returned(&mut self) {
        self.due += 1.0;
        self.returned += 1.0;
    }

    pub(super) fn on_returned_from_other(&mut self) {
        self.from_others += 1.0;
    }

    pub(super) fn on_expired(&mut self, clients: usize) {
        self.due += clients as f64;
    }

    /// Clients that reconnected here: own ones and, of several balancers, those of others as well.
    fn seen(&self) -> f64 {
        self.returned + if self.balancers > 1.0 { self.from_others } else { 0.0 }
    }

    /// Whether as many have come back as justify more moves.
    pub(super) fn are_sufficient(&self) -> bool {
        self.due > 0.0 && self.seen() >= self.due / self.balancers / 2.0
    }

    /// Whether clients do not come back; the counts then start anew.
    ///
    /// Of n balancers an n-th of the migrated clients should come back here, and as many of the others'. Less than half
    /// of that, by more than chance, means that clients do not come back.
    pub(super) fn take_failure(&mut self) -> bool {
        let expected = self.due / self.balancers;
        // A single balancer cannot lose clients to another one.
        let tolerance = if self.balancers > 1.0 { TOLERATED_DEVIATIONS * expected.sqrt() } else { 0.0 };
        let seen = self.seen();
        let failed = self.due >= MIN_DUE && seen < expected / 2.0 && seen < expected - tolerance;
        if failed {
            (self.due, self.returned, self.from_others) = (0.0, 0.0, 0.0);
        }
        failed
    }

    pub(super) fn fade(&mut self, seconds: f64) {
        let factor = (-seconds / FADE_SECONDS).exp();
        self.due *= factor;
        self.returned *= factor;
        self.from_others *= factor;
    }
}
