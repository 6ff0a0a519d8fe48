//! Numbers for connections and admin clients, which share one sequence.

use std::cell::Cell;
use std::rc::Rc;

/// A sequence of numbers from 0. Clones take from the same sequence.
#[derive(Clone, Default)]
pub(super) struct IdSequence(Rc<Cell<u64>>);

impl IdSequence {
    /// The next number.
    pub(super) fn next(&self) -> u64 {
        let id = self.0.get();
        self.0.set(id + 1);
        id
    }
}
