//! Messages between replicas of the map.

use std::net::SocketAddr;

use super::digest::Digest;
use super::entry::Entry;

/// A message between replicas, or from an operator's command to a replica.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicaMessage {
    /// Digest of the sender's entries.
    Digest {
        /// Whether the sender requests the receiver's digest.
        digest_requested: bool,
        /// Sums of the entries' hashes, by bucket.
        digest: Digest,
    },
    /// An entry of the map.
    Entry {
        /// Key of the entry.
        key: String,
        /// Counter, writer and value.
        entry: Entry,
    },
    /// Write by an operator's command. The reply is the resulting entry.
    Write {
        /// Key to write.
        key: String,
        /// New value, or `None` to delete the key.
        value: Option<String>,
    },
}

/// A message with the address of its receiver.
#[derive(Clone, Debug, PartialEq)]
pub struct AddressedReplicaMessage {
    /// Address of the replica or command that receives the message.
    pub to: SocketAddr,
    /// Message to send in one datagram.
    pub message: ReplicaMessage,
}
