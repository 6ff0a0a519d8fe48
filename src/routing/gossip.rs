//! The store: what other nodes and commands say, and what they are told.

use std::net::SocketAddr;

use super::store::{Entry, ReplicaMessage};
use super::{Effect, State};
use crate::{Micros, Time};

/// Between two digests that a node sends.
const GOSSIP_GAP: Micros = 500_000;

impl State {
    pub(super) fn on_replica_message(&mut self, now: Time, from: SocketAddr, gossip: ReplicaMessage) {
        // Danger: what holds for all nodes is taken from the nodes only.
        if !matches!(gossip, ReplicaMessage::Write { .. }) && !self.peers.contains(&from) {
            return self.effects.push(Effect::Log(format!("word from {from}, which is no peer, not taken")));
        }
        match gossip {
            ReplicaMessage::Digest { wanted, buckets } => {
                let sent = self.store.repair(&buckets);
                if wanted && (!sent.is_empty() || buckets != self.store.digest()) {
                    let digest = ReplicaMessage::Digest { wanted: false, buckets: self.store.digest() };
                    self.effects.push(Effect::SendReplicaMessage((from, digest)));
                }
                self.effects
                    .extend(sent.into_iter().map(|gossip| Effect::SendReplicaMessage((from, gossip))));
            }
            ReplicaMessage::Entry { key, entry } => {
                if let Some(entry) = self.store.merge_remote_entry(&key, entry) {
                    self.on_entry_stored(now, key, entry);
                }
            }
            // Danger: an operator's word is taken from this machine only.
            ReplicaMessage::Write { key, value } if from.ip().is_loopback() => {
                if self.write(now, &key, value.as_deref()) {
                    let entry = self.store.entry(&key).cloned();
                    let told = entry.map(|entry| ReplicaMessage::Entry { key, entry });
                    self.effects.extend(told.map(|told| Effect::SendReplicaMessage((from, told))));
                }
            }
            ReplicaMessage::Write { .. } => {
                self.effects.push(Effect::Log(format!("write from {from} not taken")))
            }
        }
    }

    /// What was kept of an earlier life takes effect.
    pub(super) fn on_state_restored(
        &mut self,
        now: Time,
        entries: Vec<(String, Entry)>,
        excluded_by_operator: Vec<String>,
    ) {
        self.excluded_by_operator.extend(excluded_by_operator);
        for (key, entry) in entries {
            self.store.merge_entry(&key, entry);
        }
        (0..self.pools.len()).for_each(|pool| self.refresh(now, pool));
    }

    /// Writes a key at this node, and tells the others.
    pub(super) fn write(&mut self, now: Time, key: &str, value: Option<&str>) -> bool {
        let Some(entry) = self.store.write(key, value) else { return false };
        let told = ReplicaMessage::Entry { key: key.to_owned(), entry: entry.clone() };
        self.on_entry_stored(now, key.to_owned(), entry);
        // Others hear of it at once; where that is lost, digests find it out.
        self.effects.extend(self.peers.iter().map(|&peer| Effect::SendReplicaMessage((peer, told.clone()))));
        true
    }

    /// The store has news: they are kept, and take effect.
    pub(super) fn on_entry_stored(&mut self, now: Time, key: String, entry: Entry) {
        let value = entry.value.as_deref().unwrap_or("nothing");
        self.effects.push(Effect::Log(format!("store: {key} is {value}, says {}", entry.node)));
        let server = key.starts_with("life/") || key.starts_with("host/");
        self.effects.push(Effect::PersistEntry { key, entry });
        for pool in (0..self.pools.len()).filter(|_| server) {
            self.refresh(now, pool);
        }
    }

    /// One of the others is sent a digest each time.
    pub(super) fn send_digest(&mut self, now: Time) {
        let Some(&peer) = self.peers.get(self.next_peer % self.peers.len().max(1)) else { return };
        self.next_peer += 1;
        self.next_gossip_at = Some(now.plus(GOSSIP_GAP));
        let digest = ReplicaMessage::Digest { wanted: true, buckets: self.store.digest() };
        self.effects.push(Effect::SendReplicaMessage((peer, digest)));
    }
}
