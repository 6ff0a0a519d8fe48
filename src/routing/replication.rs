//! The replicated map at this node: what other replicas and commands send, and what they are sent.

use std::net::SocketAddr;

use super::endpoint_updates::ENDPOINT_KEY_PREFIX;
use super::exclusions::EXCLUSION_KEY_PREFIX;
use super::store::{AddressedReplicaMessage, Entry, ReplicaMessage, ReplicatedMap, DIGEST_BUCKETS};
use super::{Effect, LogEvent, ReplicationConfig, State};
use crate::{Micros, Time};

/// A replica sends one of the others a digest this often.
const DIGEST_INTERVAL: Micros = Micros::from_millis(500);
/// Keys with these prefixes change endpoint lists.
const ENDPOINT_LIST_PREFIXES: [&str; 2] = [EXCLUSION_KEY_PREFIX, ENDPOINT_KEY_PREFIX];

/// The replicated map, the other replicas, and when one of them is sent a digest next.
pub(super) struct Replication {
    map: ReplicatedMap,
    peers: Vec<SocketAddr>,
    /// Counts the digests sent: the peers get them in turn.
    digests_sent: usize,
    /// None without peers.
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

    /// Whether there is a replicated map at all.
    pub(super) fn is_on(&self) -> bool {
        self.map.is_enabled()
    }

    pub(super) fn entries(&self) -> Vec<(String, Entry)> {
        self.map.entries().map(|(key, entry)| (key.clone(), entry.clone())).collect()
    }

    /// Takes in entries that an earlier process held.
    pub(super) fn import_entries(&mut self, entries: Vec<(String, Entry)>) {
        for (key, entry) in entries {
            self.map.merge_entry(&key, entry);
        }
    }

    /// Puts other peers in place; the first of new ones is sent a digest at once.
    pub(super) fn set_peers(&mut self, now: Time, peers: Vec<SocketAddr>) {
        if self.peers != peers {
            self.next_digest_at = (!peers.is_empty()).then_some(now);
            self.peers = peers;
        }
    }

    pub(super) fn next_digest_at(&self) -> Option<Time> {
        self.next_digest_at
    }

    /// The next digest, and to whom it goes.
    fn next_digest(&mut self, now: Time) -> Option<AddressedReplicaMessage> {
        let peer = *self.peers.get(self.digests_sent % self.peers.len().max(1))?;
        self.digests_sent += 1;
        self.next_digest_at = Some(now.plus(DIGEST_INTERVAL));
        Some((peer, ReplicaMessage::Digest { wanted: true, buckets: self.map.digest() }))
    }

    /// What a replica with this digest is sent: where it wants that and the two differ, a digest, and then entries.
    fn answer_digest(&mut self, wanted: bool, buckets: &[u64; DIGEST_BUCKETS]) -> Vec<ReplicaMessage> {
        let mut answer = self.map.repair(buckets);
        if wanted && (!answer.is_empty() || *buckets != self.map.digest()) {
            answer.insert(0, ReplicaMessage::Digest { wanted: false, buckets: self.map.digest() });
        }
        answer
    }
}

impl State {
    /// The replicated map as this replica has it.
    pub fn store(&self) -> &ReplicatedMap {
        self.replication.map()
    }

    pub(super) fn on_replica_message(&mut self, now: Time, from: SocketAddr, gossip: ReplicaMessage) {
        // What holds for all replicas is taken from configured replicas only.
        if !matches!(gossip, ReplicaMessage::Write { .. }) && !self.replication.peers.contains(&from) {
            return self.effects.push(Effect::Log(LogEvent::MessageFromUnknownPeer { from }));
        }
        match gossip {
            ReplicaMessage::Digest { wanted, buckets } => self.on_digest(from, wanted, &buckets),
            ReplicaMessage::Entry { key, entry } => self.on_entry_received(now, key, entry),
            ReplicaMessage::Write { key, value } => self.on_write_requested(now, from, key, value),
        }
    }

    fn on_digest(&mut self, from: SocketAddr, wanted: bool, buckets: &[u64; DIGEST_BUCKETS]) {
        for gossip in self.replication.answer_digest(wanted, buckets) {
            self.effects.push(Effect::SendReplicaMessage((from, gossip)));
        }
    }

    fn on_entry_received(&mut self, now: Time, key: String, entry: Entry) {
        if let Some(entry) = self.replication.map.merge_remote_entry(&key, entry) {
            self.on_entry_stored(now, key, entry);
        }
    }

    /// A command on this machine writes a key, and is sent the entry. Operators may write from this machine only.
    fn on_write_requested(&mut self, now: Time, from: SocketAddr, key: String, value: Option<String>) {
        if !from.ip().is_loopback() {
            return self.effects.push(Effect::Log(LogEvent::RemoteWriteIgnored { from }));
        }
        if !self.write_entry(now, &key, value.as_deref()) {
            return;
        }
        if let Some(entry) = self.replication.map.entry(&key).cloned() {
            self.effects.push(Effect::SendReplicaMessage((from, ReplicaMessage::Entry { key, entry })));
        }
    }

    /// What an earlier process stored takes effect.
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

    /// Writes a key at this replica and sends it to the others; false if the map has no room for it. Where a message
    /// is lost, digests reveal that.
    pub(super) fn write_entry(&mut self, now: Time, key: &str, value: Option<&str>) -> bool {
        let Some(entry) = self.replication.map.write(key, value) else { return false };
        let gossip = ReplicaMessage::Entry { key: key.to_owned(), entry: entry.clone() };
        self.on_entry_stored(now, key.to_owned(), entry);
        let peers = self.replication.peers.iter();
        self.effects.extend(peers.map(|&peer| Effect::SendReplicaMessage((peer, gossip.clone()))));
        true
    }

    /// An entry is new in the map: it is persisted and takes effect.
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

    pub(super) fn send_digest_if_due(&mut self, now: Time) {
        if self.replication.next_digest_at.is_some_and(|at| at <= now) {
            let digest = self.replication.next_digest(now);
            self.effects.extend(digest.map(Effect::SendReplicaMessage));
        }
    }
}
