//! This node's replica of the map, the addresses of the other replicas, and the schedule of digests.

use std::net::SocketAddr;

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
}

impl Replica {
    pub(super) fn new(config: ReplicationConfig, now: Time) -> Replica {
        Replica {
            map: ReplicatedMap::new(&config.node),
            next_digest_at: (!config.other_replicas.is_empty()).then_some(now),
            other_replicas: config.other_replicas,
            digests_sent: 0,
        }
    }

    pub(super) fn map(&self) -> &ReplicatedMap {
        &self.map
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

    /// Merges an entry of another replica. Returns the new entry of the key, or `None` if the key is
    /// unchanged.
    pub(super) fn merge_remote_entry(&mut self, key: &str, entry: Entry) -> Option<Entry> {
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
            self.other_replicas = other_replicas;
        }
    }

    pub(super) fn next_digest_at(&self) -> Option<Time> {
        self.next_digest_at
    }

    /// Returns the next digest if its time has been reached, and schedules the one after it.
    pub(super) fn scheduled_digest(&mut self, now: Time) -> Option<AddressedReplicaMessage> {
        self.next_digest_at.filter(|&at| at <= now)?;
        self.next_digest(now)
    }

    /// Returns a digest for the next replica in rotation, and schedules the following digest. Returns `None`
    /// without other replicas.
    fn next_digest(&mut self, now: Time) -> Option<AddressedReplicaMessage> {
        let replica = *self.other_replicas.get(self.digests_sent % self.other_replicas.len().max(1))?;
        self.digests_sent += 1;
        self.next_digest_at = Some(now.plus(DIGEST_INTERVAL));
        let message = ReplicaMessage::Digest { digest_requested: true, digest: self.map.digest() };
        Some(AddressedReplicaMessage { to: replica, message })
    }

    /// Returns the messages to a replica with this digest: the local digest if it was requested and differs,
    /// followed by entries.
    pub(super) fn answer_digest(&mut self, digest_requested: bool, digest: &Digest) -> Vec<ReplicaMessage> {
        let mut answer = self.map.answer_digest(digest);
        if digest_requested && (!answer.is_empty() || *digest != self.map.digest()) {
            answer.insert(0, ReplicaMessage::Digest { digest_requested: false, digest: self.map.digest() });
        }
        answer
    }
}
