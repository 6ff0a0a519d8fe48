//! Replication of the map between nodes, by gossip over datagrams.
//!
//! Owns this node's [`ReplicatedMap`], the addresses of the other replicas and the schedule of digests. Rule:
//!
//! - A new entry is sent to all other replicas at once, one datagram each.
//! - Every [`DIGEST_INTERVAL`] one of the replicas, in turn, is sent a digest. It answers with its own digest and with
//!   entries of the buckets that differ, and is answered with entries in return. Lost datagrams are so made up for.
//! - Digests and entries are accepted from configured replicas only, and writes from this machine only.
//!
//! An entry that has changed is logged and persisted. Where its key concerns endpoint lists, the lists of all pools are
//! derived anew.

use std::net::SocketAddr;

use super::endpoint_updates::ENDPOINT_KEY_PREFIX;
use super::exclusions::EXCLUSION_KEY_PREFIX;
use super::store::{AddressedReplicaMessage, Digest, Entry, ReplicaMessage, ReplicatedMap, WriteError};
use super::{Effect, LogEvent, ReplicationConfig, State};
use crate::{Micros, Time};

/// The interval at which a replica sends a digest to one of the others.
const DIGEST_INTERVAL: Micros = Micros::from_millis(500);
/// Prefixes of the keys whose entries change endpoint lists.
const ENDPOINT_LIST_PREFIXES: [&str; 2] = [EXCLUSION_KEY_PREFIX, ENDPOINT_KEY_PREFIX];

/// The replicated map, and its exchange with the other replicas.
pub(super) struct Replication {
    map: ReplicatedMap,
    peers: Vec<SocketAddr>,
    /// The number of digests sent, by which the peers take turns.
    digests_sent: usize,
    /// `None` without peers.
    next_digest_at: Option<Time>,
}

impl Replication {
    pub(super) fn new(config: ReplicationConfig, now: Time) -> Replication {
        Replication {
            map: ReplicatedMap::new(&config.node),
            next_digest_at: (!config.peers.is_empty()).then_some(now),
            peers: config.peers,
            digests_sent: 0,
        }
    }

    pub(super) fn map(&self) -> &ReplicatedMap {
        &self.map
    }

    /// Whether this node has a replica of the map.
    pub(super) fn is_enabled(&self) -> bool {
        self.map.is_enabled()
    }

    pub(super) fn entries(&self) -> Vec<(String, Entry)> {
        self.map.entries().map(|(key, entry)| (key.clone(), entry.clone())).collect()
    }

    /// Merges the entries of an earlier process.
    pub(super) fn import_entries(&mut self, entries: Vec<(String, Entry)>) {
        for (key, entry) in entries {
            self.map.merge_entry(&key, entry);
        }
    }

    /// Replaces the peers. Where they have changed, one is sent a digest at once.
    pub(super) fn set_peers(&mut self, now: Time, peers: Vec<SocketAddr>) {
        if self.peers != peers {
            self.next_digest_at = (!peers.is_empty()).then_some(now);
            self.peers = peers;
        }
    }

    pub(super) fn next_digest_at(&self) -> Option<Time> {
        self.next_digest_at
    }

    /// The next digest to send, and the time of the one after it.
    fn next_digest(&mut self, now: Time) -> Option<AddressedReplicaMessage> {
        let peer = *self.peers.get(self.digests_sent % self.peers.len().max(1))?;
        self.digests_sent += 1;
        self.next_digest_at = Some(now.plus(DIGEST_INTERVAL));
        let message = ReplicaMessage::Digest { wanted: true, buckets: self.map.digest() };
        Some(AddressedReplicaMessage { to: peer, message })
    }

    /// The messages to a replica with this digest: the local digest, where it is wanted and differs, and then entries.
    fn answer_digest(&mut self, wanted: bool, buckets: &Digest) -> Vec<ReplicaMessage> {
        let mut answer = self.map.repair(buckets);
        if wanted && (!answer.is_empty() || *buckets != self.map.digest()) {
            answer.insert(0, ReplicaMessage::Digest { wanted: false, buckets: self.map.digest() });
        }
        answer
    }
}

impl State {
    /// This node's replica of the map.
    pub fn store(&self) -> &ReplicatedMap {
        self.replication.map()
    }

    /// Handles a message of another replica or of an operator's command.
    pub(super) fn on_replica_message(&mut self, now: Time, from: SocketAddr, message: ReplicaMessage) {
        // Any process can send datagrams to the port, so replicas are known by their configured addresses.
        if !matches!(message, ReplicaMessage::Write { .. }) && !self.replication.peers.contains(&from) {
            return self.effects.push(Effect::Log(LogEvent::MessageFromUnknownPeer { from }));
        }
        match message {
            ReplicaMessage::Digest { wanted, buckets } => self.on_digest(from, wanted, &buckets),
            ReplicaMessage::Entry { key, entry } => self.on_entry_received(now, key, entry),
            ReplicaMessage::Write { key, value } => self.on_write_requested(now, from, key, value),
        }
    }

    fn on_digest(&mut self, from: SocketAddr, wanted: bool, buckets: &Digest) {
        for message in self.replication.answer_digest(wanted, buckets) {
            self.send_replica_message(from, message);
        }
    }

    fn send_replica_message(&mut self, to: SocketAddr, message: ReplicaMessage) {
        self.effects.push(Effect::SendReplicaMessage(AddressedReplicaMessage { to, message }));
    }

    fn on_entry_received(&mut self, now: Time, key: String, entry: Entry) {
        if let Some(entry) = self.replication.map.merge_remote_entry(&key, entry) {
            self.on_entry_stored(now, key, entry);
        }
    }

    /// Writes a key for an operator's command on this machine, and replies with the entry. A write that fails has no
    /// reply.
    fn on_write_requested(&mut self, now: Time, from: SocketAddr, key: String, value: Option<String>) {
        if !from.ip().is_loopback() {
            return self.effects.push(Effect::Log(LogEvent::RemoteWriteIgnored { from }));
        }
        if self.write_entry(now, &key, value.as_deref()).is_err() {
            return;
        }
        if let Some(entry) = self.replication.map.entry(&key).cloned() {
            self.send_replica_message(from, ReplicaMessage::Entry { key, entry });
        }
    }

    /// Restores the entries and exclusions that an earlier process stored.
    pub(super) fn on_state_restored(
        &mut self,
        now: Time,
        entries: Vec<(String, Entry)>,
        excluded_by_operator: Vec<String>,
    ) {
        self.exclusions.import(excluded_by_operator, Vec::new());
        self.replication.import_entries(entries);
        self.refresh_all_endpoints(now);
    }

    /// Writes a key at this replica and sends the entry to the others.
    ///
    /// # Errors
    ///
    /// The map cannot take the entry.
    pub(super) fn write_entry(
        &mut self,
        now: Time,
        key: &str,
        value: Option<&str>,
    ) -> Result<(), WriteError> {
        let entry = self.replication.map.write(key, value)?;
        let message = ReplicaMessage::Entry { key: key.to_owned(), entry: entry.clone() };
        self.on_entry_stored(now, key.to_owned(), entry);
        for peer in self.replication.peers.clone() {
            self.send_replica_message(peer, message.clone());
        }
        Ok(())
    }

    /// Logs and persists a new entry, and derives the endpoint lists anew where it concerns them.
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

    /// Sends the next digest, if it is time for it.
    pub(super) fn send_scheduled_digest(&mut self, now: Time) {
        if self.replication.next_digest_at.is_some_and(|at| at <= now) {
            let digest = self.replication.next_digest(now);
            self.effects.extend(digest.map(Effect::SendReplicaMessage));
        }
    }
}
