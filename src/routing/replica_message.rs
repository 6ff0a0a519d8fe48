//! The entries of the replicated map, and the messages that carry them between replicas.

use std::net::SocketAddr;

use super::digest::Digest;

/// What the map holds for a key. Of two entries the greater one takes precedence: the fields are compared in
/// their order.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Entry {
    /// How many writes its writer knew of when it wrote, this one included.
    pub counter: u64,
    /// Name of the node that wrote it.
    pub node: String,
    /// Its value, or `None` for a tombstone.
    pub value: Option<String>,
}

/// A message between replicas, or from an operator's command to a replica.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicaMessage {
    /// The sender's digest.
    Digest {
        /// Whether the sender requests the receiver's digest.
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
    /// An operator's write. The reply is the entry that it made.
    Write {
        /// The key to write.
        key: String,
        /// The value, or `None` to delete the key.
        value: Option<String>,
    },
}

/// A message and its receiver.
#[derive(Clone, Debug, PartialEq)]
pub struct AddressedReplicaMessage {
    /// Address of the receiver.
    pub to: SocketAddr,
    /// The message.
    pub message: ReplicaMessage,
}
