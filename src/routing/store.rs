//! The replicated map: last writer wins, by counter and then by the writer's name. Deletions stay as
//! tombstones. Nothing here is sent or stored; the reducer asks for both.
//!
//! It is eventually consistent: nodes that go on hearing of each other come to the same map, whatever was
//! lost, repeated or came out of order. `docs/design.md` says why that is enough.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Parts of a digest.
pub const BUCKETS: usize = 16;
/// The longest key, value and name of a node, such that any entry fits a datagram of 256 bytes.
pub const LONGEST_KEY: usize = 72;
pub const LONGEST_VALUE: usize = 96;
pub const LONGEST_NODE: usize = 32;
/// Keys kept, tombstones included.
const MOST_KEYS: usize = 4096;
/// Entries sent for one digest; the rest follows with the next ones.
const MOST_SENT: usize = 8;

/// What a key holds.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Entry {
    /// How many writes its writer knew of when it wrote, this one included.
    pub counter: u64,
    /// Its writer.
    pub node: String,
    /// Its value, or none for a tombstone.
    pub value: Option<String>,
}

/// What nodes send each other, and what a command sends to a node.
#[derive(Clone, Debug, PartialEq)]
pub enum Gossip {
    /// Hashes of all the sender has, by bucket; and whether one is wanted back.
    Digest { wanted: bool, buckets: [u64; BUCKETS] },
    /// One entry.
    Entry { key: String, entry: Entry },
    /// An operator's write; answered by the entry that it made.
    Write { key: String, value: Option<String> },
}

/// A message for a node.
pub type Letter = (SocketAddr, Gossip);

/// One node's map.
#[derive(Debug, Default)]
pub struct Store {
    node: String,
    entries: BTreeMap<String, Entry>,
    /// The highest counter seen.
    clock: u64,
    /// Keys written here before any other node was heard: this one may have forgotten what it knew.
    unsure: BTreeSet<String>,
    heard: bool,
    /// Where the next entries sent for a digest begin. Danger: counted on, it could fall into step with the
    /// others' digests, and the same entries would go to the same node each time.
    turn: u64,
}

fn hash(parts: &[&[u8]]) -> u64 {
    let bytes = parts.iter().flat_map(|part| part.iter().chain(&[0xff]));
    bytes.fold(0xcbf2_9ce4_8422_2325, |h: u64, &b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}

fn bucket(key: &str) -> usize {
    (hash(&[key.as_bytes()]) >> 32) as usize % BUCKETS
}

impl Store {
    /// An empty map of this node.
    pub fn new(node: &str) -> Store {
        Store { node: node.to_owned(), ..Store::default() }
    }

    /// Whether this node has a store at all.
    pub fn is_on(&self) -> bool {
        !self.node.is_empty()
    }

    /// A key's entry.
    pub fn entry(&self, key: &str) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// A key's value.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.entries.get(key)?.value.as_deref()
    }

    /// Keys below a prefix that hold a value, without it.
    pub fn under<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = (&'a str, &'a str)> {
        let all = self.entries.range(prefix.to_owned()..).take_while(move |(key, _)| key.starts_with(prefix));
        all.filter_map(move |(key, entry)| Some((&key[prefix.len()..], entry.value.as_deref()?)))
    }

    /// All entries, tombstones included.
    pub fn entries(&self) -> impl Iterator<Item = (&String, &Entry)> {
        self.entries.iter()
    }

    /// Whether an entry may be held at all.
    pub fn sound(key: &str, entry: &Entry) -> bool {
        let value = entry.value.as_ref().map_or(0, String::len);
        !key.is_empty()
            && key.len() <= LONGEST_KEY
            && value <= LONGEST_VALUE
            && (1..=LONGEST_NODE).contains(&entry.node.len())
            // Danger: one entry with the last counter would end all writing for good.
            && entry.counter <= u64::MAX / 2
    }

    /// Writes a key here. None if it is too long, or the map is full.
    pub fn write(&mut self, key: &str, value: Option<&str>) -> Option<Entry> {
        let (counter, node) = (self.clock + 1, self.node.clone());
        let entry = Entry { counter, node, value: value.map(str::to_owned) };
        if !self.heard {
            self.unsure.insert(key.to_owned());
        }
        self.take(key, entry.clone()).then_some(entry)
    }

    /// Takes in an entry written anywhere; whether it is news.
    pub fn take(&mut self, key: &str, entry: Entry) -> bool {
        let full = self.entries.len() >= MOST_KEYS && !self.entries.contains_key(key);
        if full || !Self::sound(key, &entry) || self.entries.get(key).is_some_and(|old| *old >= entry) {
            return false;
        }
        self.clock = self.clock.max(entry.counter);
        self.entries.insert(key.to_owned(), entry);
        true
    }

    /// Takes in an entry from another node: what of it, or of this node's own, is news here.
    pub fn hear(&mut self, key: &str, entry: Entry) -> Option<Entry> {
        self.heard = true;
        let mine = self.entries.get(key).cloned();
        let news = self.take(key, entry.clone()).then_some(entry);
        // Danger: a node that restarted from nothing counts from the start, and what an operator wrote there
        // would lose to an older write. It is written again, once, above what it lost to.
        let again = self.unsure.remove(key).then_some(mine).flatten().filter(|_| news.is_some());
        match again {
            Some(mine) => self.write(key, mine.value.as_deref()),
            None => news,
        }
    }

    /// Hashes of what is held, by bucket: the same at two nodes only if they hold the same.
    pub fn digest(&self) -> [u64; BUCKETS] {
        let mut buckets = [0u64; BUCKETS];
        for (key, entry) in &self.entries {
            let value = entry.value.as_ref().map_or(&b"\0none"[..], |value| value.as_bytes());
            let counter = entry.counter.to_be_bytes();
            let all = hash(&[key.as_bytes(), &counter, entry.node.as_bytes(), value]);
            buckets[bucket(key)] = buckets[bucket(key)].wrapping_add(all);
        }
        buckets
    }

    /// What to send to one whose digest is this: some entries of the buckets that differ.
    pub fn repair(&mut self, theirs: &[u64; BUCKETS]) -> Vec<Gossip> {
        self.heard = true;
        let mine = self.digest();
        if mine == *theirs {
            // Another node holds all that is held here: what was written here stands.
            self.unsure.clear();
        }
        let differ = |key: &String| mine[bucket(key)] != theirs[bucket(key)];
        let all: Vec<_> = self.entries.iter().filter(|(key, _)| differ(key)).collect();
        let count = all.len().min(MOST_SENT);
        let skipped = (self.turn >> 33) as usize % all.len().max(1);
        let sent = all.iter().cycle().skip(skipped).take(count);
        let sent: Vec<Gossip> =
            sent.map(|&(key, entry)| Gossip::Entry { key: key.clone(), entry: entry.clone() }).collect();
        self.turn = self.turn.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        sent
    }
}
