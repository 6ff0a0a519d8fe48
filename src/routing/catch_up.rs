//! Catch-up of a replica that has started with the entries of the other replicas.
//!
//! A replica that was not running has missed entries. Until it has received them, it assigns counters to its
//! writes that are too low, and it does not know servers that were excluded meanwhile. It therefore exchanges
//! digests with every other replica at once, without waiting for the rotation of the regular digests.
//!
//! A replica is caught up with another one when both have sent equal digests. It is caught up as a whole when
//! it is caught up with every other replica, except those that are silent for [`SILENCE_TIMEOUT`] after the
//! start, or whose digests still differ [`EXCHANGE_TIMEOUT`] after their first message. At least one other
//! replica must have been heard: a replica alone cannot know which entries it has missed.
//!
//! The process reports that it is ready when the catch-up ends, or when no other replica is heard within
//! [`SILENCE_TIMEOUT`]. It stays ready from then on.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::{Micros, Time};

/// Time after the start within which another replica has to be heard. A running replica answers within
/// milliseconds.
const SILENCE_TIMEOUT: Micros = Micros::from_secs(1);
/// Time after the first message of another replica within which the digests have to become equal.
const EXCHANGE_TIMEOUT: Micros = Micros::from_secs(3);
/// Interval at which digests are sent again to the replicas that the catch-up waits for, since a datagram may
/// be lost.
const RETRY_INTERVAL: Micros = Micros::from_millis(100);

/// What is known of the entries of one other replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    /// No message has been received from the replica.
    Silent,
    /// The digests differ.
    Differs { first_heard_at: Time, last_heard_at: Time },
    /// The digests were equal.
    Equal,
}

/// Progress of the catch-up with all other replicas.
#[derive(Debug)]
pub(super) struct CatchUp {
    started_at: Time,
    replicas: BTreeMap<SocketAddr, Progress>,
    /// Time at which the next digests are sent.
    next_request_at: Time,
    is_complete: bool,
    is_ready: bool,
}

impl CatchUp {
    /// Starts a catch-up with the other replicas at these addresses.
    pub(super) fn start(now: Time, replicas: &[SocketAddr]) -> CatchUp {
        CatchUp {
            started_at: now,
            replicas: replicas.iter().map(|&replica| (replica, Progress::Silent)).collect(),
            next_request_at: now,
            is_complete: false,
            is_ready: replicas.is_empty(),
        }
    }

    /// Replaces the addresses of the other replicas. The progress with those that remain is kept.
    pub(super) fn set_replicas(&mut self, replicas: &[SocketAddr]) {
        let progress_of = |replica: &SocketAddr| self.replicas.get(replica).copied();
        let progress = |replica: &SocketAddr| progress_of(replica).unwrap_or(Progress::Silent);
        self.replicas = replicas.iter().map(|replica| (*replica, progress(replica))).collect();
    }

    /// Returns whether the entries of the other replicas have been received.
    pub(super) fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Returns whether the digests of this replica and another one were equal.
    pub(super) fn is_equal(&self, replica: SocketAddr) -> bool {
        self.replicas.get(&replica) == Some(&Progress::Equal)
    }

    /// Returns whether the process does not have to wait any longer before it reports that it is ready.
    pub(super) fn is_ready(&self) -> bool {
        self.is_ready
    }

    /// Records a digest of another replica, and whether it equals the digest of this replica. Returns whether
    /// the catch-up still waits for entries of that replica.
    pub(super) fn record_digest(&mut self, now: Time, replica: SocketAddr, is_equal: bool) -> bool {
        let Some(progress) = self.replicas.get_mut(&replica) else { return false };
        *progress = match *progress {
            _ if is_equal => Progress::Equal,
            Progress::Silent => Progress::Differs { first_heard_at: now, last_heard_at: now },
            Progress::Differs { first_heard_at, .. } => {
                Progress::Differs { first_heard_at, last_heard_at: now }
            }
            Progress::Equal => Progress::Equal,
        };
        let waits_for_entries = matches!(*progress, Progress::Differs { .. });
        self.update(now);
        waits_for_entries && !self.is_complete
    }

    /// Returns the time at which the next digests are sent; `None` after the end of the catch-up, and while
    /// no other replica was heard in time, since the regular digests are sufficient then.
    pub(super) fn next_request_at(&self) -> Option<Time> {
        let is_heard = self.replicas.values().any(|progress| *progress != Progress::Silent);
        (!self.is_complete && (is_heard || !self.is_ready)).then_some(self.next_request_at)
    }

    /// Returns the replicas to which a digest is due, and schedules the next digests. An exchange that was
    /// active within [`RETRY_INTERVAL`] continues by itself.
    pub(super) fn due_requests(&mut self, now: Time) -> Vec<SocketAddr> {
        self.update(now);
        if self.next_request_at().is_none_or(|at| at > now) {
            return Vec::new();
        }
        self.next_request_at = now.plus(RETRY_INTERVAL);
        let is_due = |progress: &Progress| match *progress {
            Progress::Silent => true,
            Progress::Differs { last_heard_at, .. } => last_heard_at.plus(RETRY_INTERVAL) <= now,
            Progress::Equal => false,
        };
        let due = self.replicas.iter().filter(|(_, progress)| is_due(progress));
        due.map(|(replica, _)| *replica).collect()
    }

    /// Ends the catch-up or the wait for readiness if its condition holds.
    fn update(&mut self, now: Time) {
        let is_silence_over = self.started_at.plus(SILENCE_TIMEOUT) <= now;
        let is_finished = |progress: &Progress| match *progress {
            Progress::Silent => is_silence_over,
            Progress::Differs { first_heard_at, .. } => first_heard_at.plus(EXCHANGE_TIMEOUT) <= now,
            Progress::Equal => true,
        };
        let all_finished = self.replicas.values().all(is_finished);
        let is_heard = self.replicas.values().any(|progress| *progress != Progress::Silent);
        self.is_complete |= all_finished && is_heard;
        self.is_ready |= all_finished;
    }
}
