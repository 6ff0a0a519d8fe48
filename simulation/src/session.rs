//! The session store: one queue, served in turn at a bounded rate. Each new connection needs a call.

use crate::world::Session;

/// The store.
#[derive(Debug)]
pub struct Store {
    /// Calls a second when it is well.
    rate: f64,
    session: Session,
    free_at: u64,
}

impl Store {
    /// A store that takes so many calls a second.
    pub fn new(rate: f64, session: Session) -> Store {
        Store { rate, session, free_at: 0 }
    }

    /// A call comes now; when it is answered.
    pub fn call(&mut self, now: u64) -> u64 {
        let slow = match self.session {
            Session::Normal => false,
            Session::Slow => true,
            Session::SlowMidway => (26_000_000..41_000_000).contains(&now),
        };
        let takes = 1e6 / self.rate * if slow { 5.0 } else { 1.0 };
        self.free_at = self.free_at.max(now) + takes as u64;
        self.free_at
    }
}
