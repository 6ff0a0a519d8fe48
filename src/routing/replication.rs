//! Replication of the map between nodes, by gossip over datagrams.
//!
//! [`super::replica`] owns the map, the addresses of the other replicas and the schedule of digests. Rules:
//!
//! - An entry that is written at this node is sent to all other replicas at once, in one datagram each. The
//!   repetition of an unconfirmed write is not sent at once; it reaches the other replicas by the exchange of
//!   digests.
//! - At a fixed interval, a digest is sent to one of the other replicas, in rotation. The receiver answers
//!   with its own digest and with entries of the buckets that differ, and receives entries in return. This
//!   anti-entropy repairs the effects of lost datagrams.
//! - After the start, digests are exchanged with all other replicas without a delay, until this replica has
//!   the entries that it missed ([`super::catch_up`]). The process is not ready before.
//! - Digests and entries are accepted from configured replicas only, and writes from this machine only.
//!
//! A changed entry is logged and persisted. If its key affects endpoint lists, the lists of all pools are
//! derived again.

use std::net::SocketAddr;

use super::endpoint_updates::ENDPOINT_KEY_PREFIX;
use super::exclusions::EXCLUSION_KEY_PREFIX;
use super::store::{
    AddressedReplicaMessage, Digest, Entry, KeyedEntry, ReplicaMessage, ReplicatedMap, WriteError,
};
use super::{Effect, LogEvent, State};
use crate::Time;

/// Prefixes of the keys whose entries affect endpoint lists.
const ENDPOINT_LIST_PREFIXES: [&str; 2] = [EXCLUSION_KEY_PREFIX, ENDPOINT_KEY_PREFIX];

impl State {
    /// Returns this node's replica of the map.
    pub fn replicated_map(&self) -> &ReplicatedMap {
        self.replication.map()
    }

    /// Handles a message of another replica or of an operator's command.
    pub(super) fn on_replica_message(&mut self, now: Time, from: SocketAddr, message: ReplicaMessage) {
        // Any process can send datagrams to the port. Replicas are recognised by their configured addresses.
        if !matches!(message, ReplicaMessage::Write { .. })
            && !self.replication.other_replicas().contains(&from)
        {
            return self.effects.push(Effect::Log(LogEvent::MessageFromUnknownReplica { from }));
        }
        match message {
            ReplicaMessage::Digest { digest_requested, digest } => {
                self.on_digest(now, from, digest_requested, &digest);
            }
            ReplicaMessage::Entry { key, entry } => self.on_entry_received(now, from, key, entry),
            ReplicaMessage::Write { key, value } => self.on_write_requested(now, from, key, value),
        }
    }

    fn on_digest(&mut self, now: Time, from: SocketAddr, digest_requested: bool, digest: &Digest) {
        for message in self.replication.answer_digest(now, from, digest_requested, digest) {
            self.send_replica_message(from, message);
        }
    }

    fn send_replica_message(&mut self, to: SocketAddr, message: ReplicaMessage) {
        self.effects.push(Effect::SendReplicaMessage(AddressedReplicaMessage { to, message }));
    }

    fn on_entry_received(&mut self, now: Time, from: SocketAddr, key: String, entry: Entry) {
        if let Some(entry) = self.replication.merge_remote_entry(from, &key, entry) {
            self.on_entry_stored(now, key, entry);
        }
    }

    /// Writes a key for an operator's command on this machine, and replies with the entry. There is no reply
    /// if the write fails.
    fn on_write_requested(&mut self, now: Time, from: SocketAddr, key: String, value: Option<String>) {
        if !from.ip().is_loopback() {
            return self.effects.push(Effect::Log(LogEvent::RemoteWriteIgnored { from }));
        }
        if self.write_entry(now, &key, value.as_deref()).is_err() {
            return;
        }
        if let Some(entry) = self.replication.map().entry(&key).cloned() {
            self.send_replica_message(from, ReplicaMessage::Entry { key, entry });
        }
    }

    /// Imports the entries and exclusions that an earlier process stored on disk.
    pub(super) fn on_stored_state_read(
        &mut self,
        now: Time,
        entries: Vec<KeyedEntry>,
        excluded_by_operator: Vec<String>,
    ) {
        self.exclusions.import(excluded_by_operator, Vec::new());
        self.replication.import_entries(entries);
        self.refresh_all_endpoints(now);
    }

    /// Writes a key at this replica and sends the entry to all other replicas.
    ///
    /// # Errors
    ///
    /// Returns an error if the map rejects the entry.
    pub(super) fn write_entry(
        &mut self,
        now: Time,
        key: &str,
        value: Option<&str>,
    ) -> Result<(), WriteError> {
        let entry = self.replication.write(key, value)?;
        let message = ReplicaMessage::Entry { key: key.to_owned(), entry: entry.clone() };
        self.on_entry_stored(now, key.to_owned(), entry);
        for replica in self.replication.other_replicas().to_vec() {
            self.send_replica_message(replica, message.clone());
        }
        Ok(())
    }

    /// Logs and persists a new entry, and derives the endpoint lists again if the entry affects them.
    fn on_entry_stored(&mut self, now: Time, key: String, entry: Entry) {
        let changes_endpoints = ENDPOINT_LIST_PREFIXES.iter().any(|prefix| key.starts_with(prefix));
        self.log_entry(&key, &entry);
        self.effects.push(Effect::PersistEntry { key, entry });
        if changes_endpoints {
            self.refresh_all_endpoints(now);
        }
    }

    fn log_entry(&mut self, key: &str, entry: &Entry) {
        let (key, node) = (key.to_owned(), entry.node.clone());
        self.effects.push(Effect::Log(match entry.value.clone() {
            Some(value) => LogEvent::EntryStored { key, value, node },
            None => LogEvent::EntryDeleted { key, node },
        }));
    }

    /// Sends the digests whose time has been reached.
    pub(super) fn send_scheduled_digests(&mut self, now: Time) {
        let digests = self.replication.scheduled_digests(now);
        self.effects.extend(digests.into_iter().map(Effect::SendReplicaMessage));
    }
}
