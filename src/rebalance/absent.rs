//! Clients that were migrated and have not come back yet.

use std::collections::BTreeMap;

use crate::{Micros, Time};

/// Absent clients that are remembered at the most, each with and without a key.
const MAX_ABSENT: usize = 4096;
/// A migrated client that has not come back by then has left, or is with another balancer.
const ABSENCE_TIMEOUT: Micros = Micros::from_secs(5);
/// The first guess of how long a migrated client is absent, in microseconds.
const INITIAL_MEAN_ABSENCE_MICROS: f64 = 700_000.0;
/// The mean absence is an exponential mean over about so many returns.
const MEAN_ABSENCE_RETURNS: f64 = 16.0;

#[derive(Clone, Copy, Debug)]
struct AbsentClient {
    since: Time,
    slots: f64,
}

/// The absent clients, and how long they usually are.
#[derive(Debug)]
pub(super) struct AbsentClients {
    by_key: BTreeMap<u64, AbsentClient>,
    /// Clients that cannot be recognised when they come back.
    without_key: Vec<AbsentClient>,
    mean_absence_micros: f64,
}

impl AbsentClients {
    pub(super) fn new() -> AbsentClients {
        AbsentClients {
            by_key: BTreeMap::new(),
            without_key: Vec::new(),
            mean_absence_micros: INITIAL_MEAN_ABSENCE_MICROS,
        }
    }

    /// Remembers a client that is being migrated.
    pub(super) fn add(&mut self, now: Time, key: Option<u64>, slots: f64) {
        let client = AbsentClient { since: now, slots };
        match key {
            Some(key) if self.by_key.len() < MAX_ABSENT => drop(self.by_key.insert(key, client)),
            _ if self.without_key.len() < MAX_ABSENT => self.without_key.push(client),
            _ => {}
        }
    }

    /// Forgets the client of this key, which asks again; whether it was absent.
    pub(super) fn remove_returned(&mut self, now: Time, key: Option<u64>) -> bool {
        let Some(client) = key.and_then(|key| self.by_key.remove(&key)) else { return false };
        let absence = now.since(client.since).as_f64();
        self.mean_absence_micros += (absence - self.mean_absence_micros) / MEAN_ABSENCE_RETURNS;
        true
    }

    /// Forgets clients that have been absent for too long; how many of them could have been recognised.
    pub(super) fn expire(&mut self, now: Time) -> usize {
        let before = self.by_key.len();
        self.by_key.retain(|_, client| now.since(client.since) < ABSENCE_TIMEOUT);
        // When those without a key come back is not seen: they count as back after twice the usual time.
        let usual = Micros::from_f64(self.mean_absence_micros) * 2;
        self.without_key.retain(|client| now.since(client.since) < usual);
        before - self.by_key.len()
    }

    /// Slots that absent clients will take when they come back.
    pub(super) fn slots(&self) -> f64 {
        self.by_key.values().chain(&self.without_key).map(|client| client.slots).sum()
    }

    pub(super) fn mean_absence_seconds(&self) -> f64 {
        self.mean_absence_micros / 1e6
    }
}
