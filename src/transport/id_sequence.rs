//! Ids of connections and admin calls, which share one sequence.

use std::cell::Cell;
use std::rc::Rc;

/// A sequence of ids that starts at 0. Clones share the sequence.
#[derive(Clone, Default)]
pub(super) struct IdSequence(Rc<Cell<u64>>);

impl IdSequence {
    /// Returns the next id.
    pub(super) fn next(&self) -> u64 {
        let id = self.0.get();
        self.0.set(id + 1);
        id
    }
}
