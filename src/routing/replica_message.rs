//! The messages between replicas of the map.

use std::net::SocketAddr;

use super::digest::Digest;
use super::entry::Entry;

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
