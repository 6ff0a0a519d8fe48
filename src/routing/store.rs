//! The replicated map: a small store of keys and values that all nodes of a tier hold a replica of.
//!
//! Each entry carries a Lamport counter (L. Lamport, "Time, Clocks, and the Ordering of Events in a
//! Distributed System", 1978) and the name of the node that wrote it. Of two entries for one key the last
//! writer wins: the one with the higher counter, then with the higher node name. A deletion is an entry
//! without a value, a tombstone, and remains.
//!
//! The map is eventually consistent: nodes that go on exchanging digests and entries converge to the same
//! map, whatever messages were lost, repeated or reordered. `docs/design.md` says why that is enough.
//!
//! A node that restarted without its entries would write with low counters, and its writes would lose to
//! older ones. Its writes are therefore unconfirmed until a message of another node has arrived. An
//! unconfirmed write that loses to a received entry is repeated once, with a counter above that of the entry.
//!
//! [`ReplicatedMap`] owns the entries of one node. It sends and persists nothing: what has to be sent or
//! stored is returned (`src/routing/replication.rs`). All sizes are bounded, those of received entries as
//! well.

use std::collections::{BTreeMap, BTreeSet};

use super::digest::{bucket_of, digest_of};
use super::repair_position::RepairPosition;

pub use super::digest::{Digest, DIGEST_BUCKETS};
pub use super::entry::Entry;
pub use super::replica_message::{AddressedReplicaMessage, ReplicaMessage};

/// The longest key, in bytes. With this and the next two limits, any entry fits a datagram of 256 bytes.
pub const MAX_KEY_LENGTH: usize = 72;
/// The longest value, in bytes.
pub const MAX_VALUE_LENGTH: usize = 96;
/// The longest name of a node, in bytes.
pub const MAX_NODE_LENGTH: usize = 32;
/// The highest counter that is accepted from another node. An entry with the last possible counter would make
/// any further write impossible.
const MAX_COUNTER: u64 = u64::MAX / 2;
/// The largest number of keys, tombstones included.
const MAX_KEYS: usize = 4096;
/// The largest number of entries that are sent for one digest. Others are sent for the next digests.
const MAX_REPAIR_ENTRIES: usize = 8;

/// Why a key was not written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WriteError {
    /// The key or value is too long, the key is empty, or this node has no name.
    #[error("the entry exceeds the limits of the replicated map")]
    InvalidEntry,
    /// The map holds its largest number of keys, and this is none of them.
    #[error("the replicated map is full")]
    MapFull,
}

/// One node's replica of the map.
#[derive(Debug, Default)]
pub struct ReplicatedMap {
    /// Name of this node; empty if it has no replica.
    node: String,
    entries: BTreeMap<String, Entry>,
    /// The highest counter of any entry that was written or merged here.
    highest_counter: u64,
    /// Keys written here that another node may hold newer entries of.
    unconfirmed_writes: BTreeSet<String>,
    /// Whether a message of another node was received.
    has_peer_contact: bool,
    repair_position: RepairPosition,
}

impl ReplicatedMap {
    /// An empty replica of this node.
    pub fn new(node: &str) -> ReplicatedMap {
        ReplicatedMap { node: node.to_owned(), ..ReplicatedMap::default() }
    }

    /// Whether this node takes part in replication.
    pub fn is_enabled(&self) -> bool {
        !self.node.is_empty()
    }

    /// The entry of a key, which may be a tombstone.
    pub fn entry(&self, key: &str) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// The value of a key.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.entries.get(key)?.value.as_deref()
    }

    /// The values of all keys with this prefix, each with the rest of its key, in the order of the keys.
    pub fn with_prefix<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = (&'a str, &'a str)> {
        let matching =
            self.entries.range(prefix.to_owned()..).take_while(move |(key, _)| key.starts_with(prefix));
        matching.filter_map(move |(key, entry)| Some((&key[prefix.len()..], entry.value.as_deref()?)))
    }

    /// All entries, tombstones included.
    pub fn entries(&self) -> impl Iterator<Item = (&String, &Entry)> {
        self.entries.iter()
    }

    /// Whether a map may hold this entry.
    pub fn is_valid(key: &str, entry: &Entry) -> bool {
        let value_length = entry.value.as_ref().map_or(0, String::len);
        !key.is_empty()
            && key.len() <= MAX_KEY_LENGTH
            && value_length <= MAX_VALUE_LENGTH
            && (1..=MAX_NODE_LENGTH).contains(&entry.node.len())
            && entry.counter <= MAX_COUNTER
    }

    /// Writes a key at this node, or deletes it where `value` is `None`. Returns the new entry.
    ///
    /// # Errors
    ///
    /// The entry would not be valid, or the map is full.
    pub fn write(&mut self, key: &str, value: Option<&str>) -> Result<Entry, WriteError> {
        let entry = Entry {
            counter: self.highest_counter + 1,
            node: self.node.clone(),
            value: value.map(str::to_owned),
        };
        if !self.has_peer_contact {
            self.unconfirmed_writes.insert(key.to_owned());
        }
        if !Self::is_valid(key, &entry) {
            return Err(WriteError::InvalidEntry);
        }
        // The counter is higher than any other, so only a full map can reject the entry.
        if !self.merge_entry(key, entry.clone()) {
            return Err(WriteError::MapFull);
        }
        Ok(entry)
    }

    /// Merges an entry that was written at any node. Returns whether it replaced the local one.
    pub fn merge_entry(&mut self, key: &str, entry: Entry) -> bool {
        let is_full = self.entries.len() >= MAX_KEYS && !self.entries.contains_key(key);
        let is_superseded = self.entries.get(key).is_some_and(|local| *local >= entry);
        if is_full || is_superseded || !Self::is_valid(key, &entry) {
            return false;
        }
        self.highest_counter = self.highest_counter.max(entry.counter);
        self.entries.insert(key.to_owned(), entry);
        true
    }

    /// Merges an entry of another node. Returns the key's new entry, if it has changed: the received one, or
    /// the repeated one of an unconfirmed write that lost to it.
    pub fn merge_remote_entry(&mut self, key: &str, entry: Entry) -> Option<Entry> {
        self.has_peer_contact = true;
        let local = self.entries.get(key).cloned();
        let merged = self.merge_entry(key, entry.clone()).then_some(entry);
        let was_unconfirmed = self.unconfirmed_writes.remove(key);
        match local.filter(|_| was_unconfirmed && merged.is_some()) {
            Some(lost) => self.write(key, lost.value.as_deref()).ok(),
            None => merged,
        }
    }

    /// The digest of all entries.
    pub fn digest(&self) -> Digest {
        digest_of(self.entries.iter())
    }

    /// The messages to a node with this digest: some entries of the buckets in which the digests differ.
    pub fn repair(&mut self, remote: &Digest) -> Vec<ReplicaMessage> {
        self.has_peer_contact = true;
        let local = self.digest();
        if local == *remote {
            // The other node has the same entries, so none of its entries supersedes a write of this node.
            self.unconfirmed_writes.clear();
        }
        let differs = |key: &str| local[bucket_of(key)] != remote[bucket_of(key)];
        let differing: Vec<_> = self.entries.iter().filter(|(key, _)| differs(key)).collect();
        let count = differing.len().min(MAX_REPAIR_ENTRIES);
        let first = self.repair_position.draw(differing.len());
        let selected = differing.iter().cycle().skip(first).take(count);
        selected
            .map(|&(key, entry)| ReplicaMessage::Entry { key: key.clone(), entry: entry.clone() })
            .collect()
    }
}
