//! The entries of the replicated map: the last writer wins.

/// What the map holds for a key. Of two entries the greater one takes precedence: the fields are compared in
/// their order.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Entry {
    /// One more than the highest counter that its writer had seen.
    pub counter: u64,
    /// Name of the node that wrote it.
    pub node: String,
    /// Its value, or `None` for a tombstone.
    pub value: Option<String>,
}
