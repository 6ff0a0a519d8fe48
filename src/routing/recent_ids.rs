//! Ids of requests that a server may have received, and that this process does not count among its open
//! connections:
//!
//! - requests whose clients have left without an answer, after the request was forwarded: a server may have
//!   run such a request, or may yet run it;
//! - requests that the peer process of a hot restart has admitted since the export of the state.
//!
//! A further request with the same id could run a second time. The ids are therefore kept for [`RETENTION`],
//! and the oldest ones are dropped beyond [`MAX_MEMORY_BYTES`].

use std::collections::{BTreeSet, VecDeque};

use crate::{Micros, Time};

/// Time for which an id is kept. It is longer than a server works on a request of a client that has left, and
/// than a connection without a request stays open at the predecessor.
const RETENTION: Micros = Micros::from_secs(30);
/// Maximum memory of all ids together, in bytes.
const MAX_MEMORY_BYTES: usize = 1 << 20;
/// Memory of an id besides its text, in bytes. Short ids would otherwise take many times the limit.
const OVERHEAD_BYTES: usize = 160;

/// An id, and the time until which it is kept.
struct KeptId {
    id: String,
    kept_until: Time,
}

/// Returns the memory of an id, whose text is kept twice, in bytes.
fn memory_of(id: &str) -> usize {
    2 * id.len() + OVERHEAD_BYTES
}

/// The ids, the oldest first.
#[derive(Default)]
pub(super) struct RecentIds {
    by_age: VecDeque<KeptId>,
    ids: BTreeSet<String>,
    memory_bytes: usize,
}

impl RecentIds {
    /// Keeps an id from now on.
    pub(super) fn record(&mut self, now: Time, id: &str) {
        if self.ids.insert(id.to_owned()) {
            self.memory_bytes += memory_of(id);
            self.by_age.push_back(KeptId { id: id.to_owned(), kept_until: now.plus(RETENTION) });
        }
        while self.memory_bytes > MAX_MEMORY_BYTES {
            self.drop_oldest();
        }
    }

    /// Drops the ids whose time has passed.
    pub(super) fn drop_expired(&mut self, now: Time) {
        while self.by_age.front().is_some_and(|oldest| oldest.kept_until <= now) {
            self.drop_oldest();
        }
    }

    pub(super) fn contains(&self, id: &str) -> bool {
        self.ids.contains(id)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &String> {
        self.ids.iter()
    }

    fn drop_oldest(&mut self) {
        if let Some(oldest) = self.by_age.pop_front() {
            self.memory_bytes -= memory_of(&oldest.id);
            self.ids.remove(&oldest.id);
        }
    }
}
