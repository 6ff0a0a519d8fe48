//! The replicated map: a small key-value store that is replicated to every node of a tier.
//!
//! Each entry carries a Lamport counter (L. Lamport, "Time, Clocks, and the Ordering of Events in a
//! Distributed System", 1978) and the name of the node that wrote it. Of two entries for one key, the entry
//! with the higher counter wins (last writer wins). Entries with equal counters are ordered by the name of
//! their node. A deletion is stored as an entry without a value (a tombstone), and tombstones are never
//! removed.
//!
//! The map is eventually consistent: nodes that exchange digests and entries converge to the same map, even
//! if messages are lost, repeated or reordered. This is sufficient for states of servers and a few limits: a
//! balancer without the latest drain sends requests to the draining server for as long as a digest takes, as
//! it does with a late endpoint list. A consistent store would need a majority of nodes to drain one server,
//! and balancers fail when drains are needed most.
//!
//! A node that restarts assigns low counters to its writes until it has received the entries that it missed.
//! Such writes would lose to older entries. Writes made before the node is caught up
//! (`src/routing/catch_up.rs`) are therefore unconfirmed. An unconfirmed write that loses to a received entry is
//! repeated once, with a counter above that of the entry.
//!
//! [`ReplicatedMap`] owns the entries of one node. It neither sends nor persists anything, but returns the
//! messages and entries to the caller (`src/routing/replication.rs`). All sizes are bounded, including those
//! of received entries.

use std::collections::{BTreeMap, BTreeSet};

use super::digest::{bucket_of, digest_of};
use super::repair_position::RepairPosition;

pub use super::digest::{Digest, DIGEST_BUCKETS};
pub use super::entry::{Entry, KeyedEntry};
pub use super::replica_message::{AddressedReplicaMessage, ReplicaMessage};

/// Longest key, in bytes. This limit and the next two ensure that every entry fits a datagram of 256 bytes.
pub const MAX_KEY_LENGTH: usize = 72;
/// Longest value, in bytes.
pub const MAX_VALUE_LENGTH: usize = 96;
/// Longest name of a node, in bytes.
pub const MAX_NODE_LENGTH: usize = 32;
/// Highest counter of a valid entry. If any counter were accepted from other nodes, an entry with the highest
/// possible counter would make all further writes impossible.
const MAX_COUNTER: u64 = u64::MAX / 2;
/// Largest number of keys, including tombstones.
const MAX_KEYS: usize = 4096;
/// Largest number of entries that are sent in answer to one digest. Further entries are sent in answer to
/// later digests.
const MAX_REPAIR_ENTRIES: usize = 8;

/// Reason why a key was not written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WriteError {
    /// The entry is outside the limits: the key or value is too long, the key is empty, or this node's name
    /// is empty or too long. The counters may also be used up. In this case all lengths in the text are
    /// within the limits.
    #[error(
        "entry with a key of {key_length}, a value of {value_length} and a node name of {node_length} bytes \
        is outside the limits of the replicated map: key of 1 to {MAX_KEY_LENGTH}, value of up to \
        {MAX_VALUE_LENGTH} and node name of 1 to {MAX_NODE_LENGTH} bytes"
    )]
    InvalidEntry {
        /// Length of the key, in bytes.
        key_length: usize,
        /// Length of the value, in bytes; 0 for a deletion.
        value_length: usize,
        /// Length of this node's name, in bytes.
        node_length: usize,
    },
    /// The key is new, and the map already contains its largest number of keys.
    #[error("the replicated map already contains {MAX_KEYS} keys, its limit")]
    MapFull,
}

/// Replica of the map at one node.
#[derive(Debug, Default)]
pub struct ReplicatedMap {
    /// Name of this node; empty if the node does not take part in replication.
    node: String,
    entries: BTreeMap<String, Entry>,
    /// Highest counter of all entries that were written or merged at this node.
    highest_counter: u64,
    /// Keys that were written at this node and for which another node may have newer entries.
    unconfirmed_writes: BTreeSet<String>,
    /// Whether the entries of the other nodes have been received.
    is_caught_up: bool,
    repair_position: RepairPosition,
}

impl ReplicatedMap {
    /// Creates an empty replica for the node of this name. An empty name disables replication.
    pub fn new(node: &str) -> ReplicatedMap {
        ReplicatedMap { node: node.to_owned(), ..ReplicatedMap::default() }
    }

    /// Returns whether this node takes part in replication.
    pub fn is_enabled(&self) -> bool {
        !self.node.is_empty()
    }

    /// Returns the entry of a key, which may be a tombstone.
    pub fn entry(&self, key: &str) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// Returns the value of a key, or `None` if the key is missing or deleted.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.entries.get(key)?.value.as_deref()
    }

    /// Returns the values of all keys with this prefix in the order of the keys, each with the part of its
    /// key that follows the prefix.
    pub fn with_prefix<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = (&'a str, &'a str)> {
        let matching =
            self.entries.range(prefix.to_owned()..).take_while(move |(key, _)| key.starts_with(prefix));
        matching.filter_map(move |(key, entry)| Some((&key[prefix.len()..], entry.value.as_deref()?)))
    }

    /// Returns all keys with their entries, including tombstones.
    pub fn entries(&self) -> impl Iterator<Item = (&String, &Entry)> {
        self.entries.iter()
    }

    /// Returns whether the map accepts this entry.
    pub fn is_valid(key: &str, entry: &Entry) -> bool {
        let value_length = entry.value.as_ref().map_or(0, String::len);
        !key.is_empty()
            && key.len() <= MAX_KEY_LENGTH
            && value_length <= MAX_VALUE_LENGTH
            && (1..=MAX_NODE_LENGTH).contains(&entry.node.len())
            && entry.counter <= MAX_COUNTER
    }

    /// Writes a key at this node, or deletes it if `value` is `None`. Returns the new entry.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry would be invalid or the map is full.
    pub fn write(&mut self, key: &str, value: Option<&str>) -> Result<Entry, WriteError> {
        let entry = self.write_next(key, value)?;
        if !self.is_caught_up {
            self.unconfirmed_writes.insert(key.to_owned());
        }
        Ok(entry)
    }

    /// Stores an entry of this node with a counter above those of all other entries.
    fn write_next(&mut self, key: &str, value: Option<&str>) -> Result<Entry, WriteError> {
        let entry = Entry {
            counter: self.highest_counter + 1,
            node: self.node.clone(),
            value: value.map(str::to_owned),
        };
        if !Self::is_valid(key, &entry) {
            return Err(WriteError::InvalidEntry {
                key_length: key.len(),
                value_length: value.map_or(0, str::len),
                node_length: self.node.len(),
            });
        }
        // The counter is higher than that of any other entry, so only a full map can reject the entry.
        if !self.merge_entry(key, entry.clone()) {
            return Err(WriteError::MapFull);
        }
        Ok(entry)
    }

    /// Merges an entry that was written at any node. Returns whether the entry was stored.
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

    /// Merges an entry received from another node. Returns the new entry of the key, or `None` if the key is
    /// unchanged. The new entry is the received one, or the repetition of an unconfirmed write that lost to
    /// it.
    pub fn merge_remote_entry(&mut self, key: &str, entry: Entry) -> Option<Entry> {
        let local = self.entries.get(key).cloned();
        let merged = self.merge_entry(key, entry.clone()).then_some(entry);
        let was_unconfirmed = self.unconfirmed_writes.remove(key);
        match local.filter(|_| was_unconfirmed && merged.is_some()) {
            Some(overwritten) => self.write_next(key, overwritten.value.as_deref()).ok(),
            None => merged,
        }
    }

    /// Records that the latest write of a key at this node is not repeated if it loses to a received entry.
    pub fn confirm_write(&mut self, key: &str) {
        self.unconfirmed_writes.remove(key);
    }

    /// Records that the entries of the other nodes have been received. All writes at this node are confirmed
    /// from then on.
    pub fn confirm_writes(&mut self) {
        self.is_caught_up = true;
        self.unconfirmed_writes.clear();
    }

    /// Returns the digest of all entries.
    pub fn digest(&self) -> Digest {
        digest_of(self.entries.iter())
    }

    /// Returns the messages to a node with this digest: at most `MAX_REPAIR_ENTRIES` entries of the buckets
    /// in which the digests differ.
    pub fn answer_digest(&mut self, remote: &Digest) -> Vec<ReplicaMessage> {
        let local = self.digest();
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
