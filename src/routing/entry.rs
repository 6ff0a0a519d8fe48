//! Entries of the replicated map, ordered so that the entry of the last writer is the greatest.

/// Entry of a key in the replicated map. Of two entries for one key, the greater one takes precedence. Fields
/// are compared in the order of their declaration.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Entry {
    /// Lamport counter: one more than the highest counter that the writing node had seen.
    pub counter: u64,
    /// Name of the node that wrote the entry.
    pub node: String,
    /// Value of the key, or `None` for a tombstone.
    pub value: Option<String>,
}

/// Key of the replicated map, with the entry of this key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedEntry {
    /// Key of the entry.
    pub key: String,
    /// Counter, writer and value.
    pub entry: Entry,
}
