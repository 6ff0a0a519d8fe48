//! This node's replica of the map, the addresses of the other replicas, and the schedule of digests.

use std::net::SocketAddr;

use super::catch_up::CatchUp;
use super::store::{
    AddressedReplicaMessage, Digest, Entry, KeyedEntry, ReplicaMessage, ReplicatedMap, WriteError,
};
use super::ReplicationConfig;
use crate::{Micros, Time};

/// Interval at which a replica sends a digest to one of the other replicas.
const DIGEST_INTERVAL: Micros = Micros::from_millis(500);

/// This node's replica of the map, and the state of its exchange with the other replicas.
pub(super) struct Replica {
    map: ReplicatedMap,
    /// Addresses of the other replicas.
    other_replicas: Vec<SocketAddr>,
    /// Number of digests sent. It selects the replica that receives the next digest, in rotation.
    digests_sent: usize,
    /// Time at which the next digest is sent; `None` without other replicas.
    next_digest_at: Option<Time>,
    catch_up: CatchUp,
}

impl Replica {
    pub(super) fn new(config: ReplicationConfig, now: Time) -> Replica {
        Replica {
            map: ReplicatedMap::new(&config.node),
            next_digest_at: (!config.other_replicas.is_empty()).then_some(now),
            catch_up: CatchUp::start(now, &config.other_replicas),
            other_replicas: config.other_replicas,
            digests_sent: 0,
        }
    }

    pub(super) fn map(&self) -> &ReplicatedMap {
        &self.map
    }

    /// Returns whether the entries that this node missed before its start have been received, or their wait
    /// has ended.
    pub(super) fn is_ready(&self) -> bool {
        self.catch_up.is_ready()
    }

    /// Returns whether this node takes part in replication.
    pub(super) fn is_enabled(&self) -> bool {
        self.map.is_enabled()
    }

    pub(super) fn entries(&self) -> Vec<KeyedEntry> {
        self.map.entries().map(|(key, entry)| KeyedEntry { key: key.clone(), entry: entry.clone() }).collect()
    }

    /// Merges entries that an earlier process stored or exported.
    pub(super) fn import_entries(&mut self, entries: Vec<KeyedEntry>) {
        for KeyedEntry { key, entry } in entries {
            self.map.merge_entry(&key, entry);
        }
    }

    /// Merges an entry that another replica sent. Returns the new entry of the key, or `None` if the key is
    /// unchanged.
    ///
    /// A replica whose digest was equal had all writes of this node. An entry that it sends since then is a
    /// later write, and an unconfirmed write must not be repeated over it.
    pub(super) fn merge_remote_entry(&mut self, from: SocketAddr, key: &str, entry: Entry) -> Option<Entry> {
        if self.catch_up.is_equal(from) {
            self.map.confirm_write(key);
        }
        self.map.merge_remote_entry(key, entry)
    }

    /// Writes a key, or deletes it if `value` is `None`. Returns the new entry.
    ///
    /// # Errors
    ///
    /// Returns an error if the map rejects the entry.
    pub(super) fn write(&mut self, key: &str, value: Option<&str>) -> Result<Entry, WriteError> {
        self.map.write(key, value)
    }

    /// Returns the addresses of the other replicas.
    pub(super) fn other_replicas(&self) -> &[SocketAddr] {
        &self.other_replicas
    }

    /// Replaces the addresses of the other replicas. If they have changed, a digest is sent at once.
    pub(super) fn set_other_replicas(&mut self, now: Time, other_replicas: Vec<SocketAddr>) {
        if self.other_replicas != other_replicas {
            self.next_digest_at = (!other_replicas.is_empty()).then_some(now);
            self.catch_up.set_replicas(&other_replicas);
            self.other_replicas = other_replicas;
        }
    }

    pub(super) fn next_digest_at(&self) -> Option<Time> {
        self.next_digest_at.into_iter().chain(self.catch_up.next_request_at()).min()
    }

    /// Returns the digests whose time has been reached: those of the catch-up and the next one in rotation.
    pub(super) fn scheduled_digests(&mut self, now: Time) -> Vec<AddressedReplicaMessage> {
        let requested = self.catch_up.due_requests(now);
        self.confirm_writes_after_catch_up();
        let mut digests: Vec<_> = requested.into_iter().map(|replica| self.request_digest(replica)).collect();
        if self.next_digest_at.is_some_and(|at| at <= now) {
            digests.extend(self.next_digest(now));
        }
        digests
    }

    /// Returns a digest for the next replica in rotation, and schedules the following digest. Returns `None`
    /// without other replicas.
    fn next_digest(&mut self, now: Time) -> Option<AddressedReplicaMessage> {
        let replica = *self.other_replicas.get(self.digests_sent % self.other_replicas.len().max(1))?;
        self.digests_sent += 1;
        self.next_digest_at = Some(now.plus(DIGEST_INTERVAL));
        Some(self.request_digest(replica))
    }

    /// Returns a message with the local digest that requests the digest of a replica.
    fn request_digest(&self, replica: SocketAddr) -> AddressedReplicaMessage {
        let message = ReplicaMessage::Digest { digest_requested: true, digest: self.map.digest() };
        AddressedReplicaMessage { to: replica, message }
    }

    /// Returns the messages to a replica with this digest: entries, then the local digest if it was
    /// requested. The digest is sent last, so that the other replica compares it after it has merged the
    /// entries. It is sent even if both are equal, because the other replica may be catching up.
    ///
    /// During the catch-up, a difference is answered by a further request, so that the exchange continues
    /// without a delay until the digests are equal.
    pub(super) fn answer_digest(
        &mut self,
        now: Time,
        from: SocketAddr,
        digest_requested: bool,
        digest: &Digest,
    ) -> Vec<ReplicaMessage> {
        let mut answer = self.map.answer_digest(digest);
        let local = self.map.digest();
        let waits_for_entries = self.catch_up.record_digest(now, from, local == *digest);
        self.confirm_writes_after_catch_up();
        if digest_requested || waits_for_entries {
            answer.push(ReplicaMessage::Digest {
                digest_requested: waits_for_entries && !digest_requested,
                digest: local,
            });
        }
        answer
    }

    fn confirm_writes_after_catch_up(&mut self) {
        if self.catch_up.is_complete() {
            self.map.confirm_writes();
        }
    }
}
