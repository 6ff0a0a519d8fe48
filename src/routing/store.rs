//! The replicated map. Of two entries for one key the last writer's wins: the one with the higher counter, and then with
//! the higher name of its writer. Deletions stay as tombstones. Nothing is sent or persisted here; the caller does both.
//!
//! The map is eventually consistent: nodes that go on exchanging messages converge to the same map, whatever messages
//! were lost, repeated or reordered. `docs/design.md` says why that is enough.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Number of buckets in a digest.
pub const DIGEST_BUCKETS: usize = 16;
/// The longest key, in bytes. This and the next two limits let any entry fit a datagram of 256 bytes.
pub const MAX_KEY_LENGTH: usize = 72;
/// The longest value, in bytes.
pub const MAX_VALUE_LENGTH: usize = 96;
/// The longest name of a node, in bytes.
pub const MAX_NODE_LENGTH: usize = 32;
/// The highest counter that is accepted from another node. A single entry with the last possible counter would end all
/// writing for good.
const MAX_COUNTER: u64 = u64::MAX / 2;
/// The most keys that are kept, tombstones included.
const MAX_KEYS: usize = 4096;
/// The most entries that are sent for one digest; the rest follows with the next digests.
const MAX_REPAIR_ENTRIES: usize = 8;

const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
/// Hashed after each part, so that parts cannot be confused with one another: it is in no UTF-8 text.
const PART_SEPARATOR: u8 = 0xff;
/// Hashed in place of the value of a tombstone.
const TOMBSTONE: &[u8] = b"\0none";

const LCG_MULTIPLIER: u64 = 6_364_136_223_846_793_005;
const LCG_INCREMENT: u64 = 1_442_695_040_888_963_407;
/// The low bits of a linear congruential generator have short periods, and are not used.
const LCG_DISCARDED_BITS: u32 = 33;

/// What the map holds for a key. The order of entries is that of their precedence.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Entry {
    /// How many writes its writer knew of when it wrote, this one included.
    pub counter: u64,
    /// Name of the node that wrote it.
    pub node: String,
    /// Its value, or none for a tombstone.
    pub value: Option<String>,
}

/// Hashes of all entries, by bucket. Maps with the same entries have the same digest, and, but for collisions, others
/// have not.
pub type Digest = [u64; DIGEST_BUCKETS];

/// A message between replicas, or from an operator's command to a replica.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicaMessage {
    /// The sender's digest.
    Digest {
        /// Whether the sender wants the receiver's digest in return.
        wanted: bool,
        /// The digest.
        buckets: Digest,
    },
    /// One entry.
    Entry {
        /// Its key.
        key: String,
        /// The entry.
        entry: Entry,
    },
    /// An operator's write, which is answered by the entry that it made.
    Write {
        /// The key to write.
        key: String,
        /// The value, or none to delete the key.
        value: Option<String>,
    },
}

/// A message with the address that it is for.
pub type AddressedReplicaMessage = (SocketAddr, ReplicaMessage);

/// One node's replica of the map.
#[derive(Debug, Default)]
pub struct ReplicatedMap {
    /// Name of this node; empty if it has no replica.
    node: String,
    entries: BTreeMap<String, Entry>,
    /// The highest counter seen.
    highest_counter: u64,
    /// Keys written here before any message of another node was received: this node may have forgotten newer entries of them.
    unconfirmed_writes: BTreeSet<String>,
    /// Whether a message of another node has been received.
    has_peer_contact: bool,
    /// State of the generator that draws where the entries sent for a digest begin. If they were sent in turn, the turns
    /// could keep step with the digests of several nodes, and the same node would always get the same entries.
    repair_draw: u64,
}

/// The FNV-1a hash of these parts.
fn hash_parts(parts: &[&[u8]]) -> u64 {
    let bytes = parts.iter().flat_map(|part| part.iter().chain(&[PART_SEPARATOR]));
    bytes.fold(FNV_OFFSET_BASIS, |hash: u64, &byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME))
}

fn hash_entry(key: &str, entry: &Entry) -> u64 {
    let value = entry.value.as_ref().map_or(TOMBSTONE, |value| value.as_bytes());
    let counter = entry.counter.to_be_bytes();
    hash_parts(&[key.as_bytes(), &counter, entry.node.as_bytes(), value])
}

fn bucket_of(key: &str) -> usize {
    (hash_parts(&[key.as_bytes()]) >> 32) as usize % DIGEST_BUCKETS
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

    /// The entry of a key.
    pub fn entry(&self, key: &str) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// The value of a key.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.entries.get(key)?.value.as_deref()
    }

    /// The keys with this prefix that have a value, without the prefix, and their values.
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

    /// Writes a key at this node; no value deletes it. None if the entry would not be valid, or the map is full.
    pub fn write(&mut self, key: &str, value: Option<&str>) -> Option<Entry> {
        let entry = Entry {
            counter: self.highest_counter + 1,
            node: self.node.clone(),
            value: value.map(str::to_owned),
        };
        if !self.has_peer_contact {
            self.unconfirmed_writes.insert(key.to_owned());
        }
        self.merge_entry(key, entry.clone()).then_some(entry)
    }

    /// Merges an entry that was written at any node; returns whether it replaced what was held.
    pub fn merge_entry(&mut self, key: &str, entry: Entry) -> bool {
        let is_full = self.entries.len() >= MAX_KEYS && !self.entries.contains_key(key);
        let is_superseded = self.entries.get(key).is_some_and(|held| *held >= entry);
        if is_full || is_superseded || !Self::is_valid(key, &entry) {
            return false;
        }
        self.highest_counter = self.highest_counter.max(entry.counter);
        self.entries.insert(key.to_owned(), entry);
        true
    }

    /// Merges an entry from another node; returns the entry that is held for the key now, if that has changed.
    ///
    /// A node that restarted without its entries counts from the start, so an operator's write there would lose to an
    /// older one. Such a write is repeated once, with a counter above that of the entry it lost to.
    pub fn merge_remote_entry(&mut self, key: &str, entry: Entry) -> Option<Entry> {
        self.has_peer_contact = true;
        let held = self.entries.get(key).cloned();
        let merged = self.merge_entry(key, entry.clone()).then_some(entry);
        let was_unconfirmed = self.unconfirmed_writes.remove(key);
        match held.filter(|_| was_unconfirmed && merged.is_some()) {
            Some(lost) => self.write(key, lost.value.as_deref()),
            None => merged,
        }
    }

    /// The digest of all entries.
    pub fn digest(&self) -> Digest {
        let mut digest = [0u64; DIGEST_BUCKETS];
        for (key, entry) in &self.entries {
            let bucket = &mut digest[bucket_of(key)];
            *bucket = bucket.wrapping_add(hash_entry(key, entry));
        }
        digest
    }

    /// The messages to a node with this digest: some entries of the buckets that differ.
    pub fn repair(&mut self, remote: &Digest) -> Vec<ReplicaMessage> {
        self.has_peer_contact = true;
        let local = self.digest();
        if local == *remote {
            // Another node holds all that is held here, so no write of this node's was lost to an older one.
            self.unconfirmed_writes.clear();
        }
        let differs = |key: &str| local[bucket_of(key)] != remote[bucket_of(key)];
        let differing: Vec<_> = self.entries.iter().filter(|(key, _)| differs(key)).collect();
        let count = differing.len().min(MAX_REPAIR_ENTRIES);
        let first = (self.repair_draw >> LCG_DISCARDED_BITS) as usize % differing.len().max(1);
        let selected = differing.iter().cycle().skip(first).take(count);
        let messages = selected
            .map(|&(key, entry)| ReplicaMessage::Entry { key: key.clone(), entry: entry.clone() })
            .collect();
        self.repair_draw = self.repair_draw.wrapping_mul(LCG_MULTIPLIER).wrapping_add(LCG_INCREMENT);
        messages
    }
}
