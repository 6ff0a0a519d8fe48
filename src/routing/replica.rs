//! This node's replica of the map, the addresses of the other replicas, and the schedule of digests.

use std::net::SocketAddr;

use super::store::{AddressedReplicaMessage, Digest, Entry, ReplicaMessage, ReplicatedMap, WriteError};
use super::ReplicationConfig;
use crate::{Micros, Time};

/// The interval at which a replica sends a digest to one of the others.
const DIGEST_INTERVAL: Micros = Micros::from_millis(500);

/// The replicated map, and its exchange with the other replicas.
pub(super) struct Replica {
    map: ReplicatedMap,
    peers: Vec<SocketAddr>,
    /// The number of digests sent, by which the peers take turns.
    digests_sent: usize,
    /// `None` without peers.
    next_digest_at: Option<Time>,
}

impl Replica {
    pub(super) fn new(config: ReplicationConfig, now: Time) -> Replica {
        Replica {
            map: ReplicatedMap::new(&config.node),
            next_digest_at: (!config.peers.is_empty()).then_some(now),
            peers: config.peers,
            digests_sent: 0,
        }
    }

    pub(super) fn map(&self) -> &ReplicatedMap {
        &self.map
    }

    /// Whether this node has a replica of the map.
    pub(super) fn is_enabled(&self) -> bool {
        self.map.is_enabled()
    }

    pub(super) fn entries(&self) -> Vec<(String, Entry)> {
        self.map.entries().map(|(key, entry)| (key.clone(), entry.clone())).collect()
    }

    /// Merges the entries of an earlier process.
    pub(super) fn import_entries(&mut self, entries: Vec<(String, Entry)>) {
        for (key, entry) in entries {
            self.map.merge_entry(&key, entry);
        }
    }

    /// Merges an entry of another replica, and returns it if it is stored.
    pub(super) fn merge_remote_entry(&mut self, key: &str, entry: Entry) -> Option<Entry> {
        self.map.merge_remote_entry(key, entry)
    }

    /// Writes a key, and returns the new entry.
    ///
    /// # Errors
    ///
    /// The map cannot take the entry.
    pub(super) fn write(&mut self, key: &str, value: Option<&str>) -> Result<Entry, WriteError> {
        self.map.write(key, value)
    }

    /// The addresses of the other replicas.
    pub(super) fn peers(&self) -> &[SocketAddr] {
        &self.peers
    }

    /// Replaces the peers. Where they have changed, one is sent a digest at once.
    pub(super) fn set_peers(&mut self, now: Time, peers: Vec<SocketAddr>) {
        if self.peers != peers {
            self.next_digest_at = (!peers.is_empty()).then_some(now);
            self.peers = peers;
        }
    }

    pub(super) fn next_digest_at(&self) -> Option<Time> {
        self.next_digest_at
    }

    /// The next digest, if it is time to send it.
    pub(super) fn scheduled_digest(&mut self, now: Time) -> Option<AddressedReplicaMessage> {
        self.next_digest_at.filter(|&at| at <= now)?;
        self.next_digest(now)
    }

    /// The next digest to send. Sets the time of the one after it.
    fn next_digest(&mut self, now: Time) -> Option<AddressedReplicaMessage> {
        let peer = *self.peers.get(self.digests_sent % self.peers.len().max(1))?;
        self.digests_sent += 1;
        self.next_digest_at = Some(now.plus(DIGEST_INTERVAL));
        let message = ReplicaMessage::Digest { wanted: true, buckets: self.map.digest() };
        Some(AddressedReplicaMessage { to: peer, message })
    }

    /// The messages to a replica with this digest: the local digest, where it is wanted and differs, and then
    /// entries.
    pub(super) fn answer_digest(&mut self, wanted: bool, buckets: &Digest) -> Vec<ReplicaMessage> {
        let mut answer = self.map.repair(buckets);
        if wanted && (!answer.is_empty() || *buckets != self.map.digest()) {
            answer.insert(0, ReplicaMessage::Digest { wanted: false, buckets: self.map.digest() });
        }
        answer
    }
}
