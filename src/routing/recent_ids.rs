//! Ids of requests that a server may have received, and that this process does not count among its open
//! connections:
//!
//! - requests whose clients have left without an answer, after the request was forwarded: a server may have
//!   run such a request, or may yet run it;
//! - requests that the peer process of a hot restart has admitted since the export of the state.
//!
//! A further request with the same id could run a second time. The ids are therefore kept for [`RETENTION`],
//! and the oldest ones are dropped beyond [`MAX_BYTES`].

use std::collections::{BTreeSet, VecDeque};

use crate::{Micros, Time};

/// Time for which an id is kept. It is longer than a server works on a request of a client that has left, and
/// than a connection without a request stays open at the predecessor.
const RETENTION: Micros = Micros::from_secs(30);
/// Maximum length of all ids together, in bytes. An id takes some tens of bytes.
const MAX_BYTES: usize = 256 << 10;

/// An id, and the time until which it is kept.
struct KeptId {
    id: String,
    kept_until: Time,
}

/// The ids, the oldest first.
#[derive(Default)]
pub(super) struct RecentIds {
    by_age: VecDeque<KeptId>,
    ids: BTreeSet<String>,
    bytes: usize,
}

impl RecentIds {
    /// Keeps an id from now on.
    pub(super) fn record(&mut self, now: Time, id: &str) {
        if self.ids.insert(id.to_owned()) {
            self.bytes += id.len();
            self.by_age.push_back(KeptId { id: id.to_owned(), kept_until: now.plus(RETENTION) });
        }
        while self.bytes > MAX_BYTES {
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
            self.bytes -= oldest.id.len();
            self.ids.remove(&oldest.id);
        }
    }
}
