//! A server: a processor shared by what stands there.

use std::collections::BTreeMap;

/// Time of a message on an idle server, in microseconds.
const SERVICE: f64 = 5_000.0;
/// Work of one set-up, in seconds of the server's whole capacity over the connections that fill it.
const SETUP_WORK: f64 = 0.4;
/// A server pays for a group that it holds as for so many mean connections.
pub const GROUP_LOADS: f64 = 3.0;
/// A server turns new connections away when so many seconds of work are piled up...
const FULL_AT: f64 = 0.5;
/// ...and drops standing ones when so many are.
const DROPS_AT: f64 = 3.0;
/// It holds so many times the connections that fill it.
const MOST: f64 = 2.5;

/// One server.
#[derive(Debug)]
pub struct Host {
    /// Mean connections that fill it when it is warm.
    pub capacity: f64,
    /// Its process runs.
    pub up: bool,
    /// It takes nothing new.
    pub draining: bool,
    /// Numbers its processes.
    pub life: u64,
    /// When the process started, if since the day's begin.
    pub started: Option<u64>,
    /// Connections that stand or are being set up, with their load (1 is a mean connection) and group.
    pub held: BTreeMap<usize, (f64, Option<u64>)>,
    groups: BTreeMap<u64, usize>,
    load: f64,
    /// Seconds of work piled up.
    pub piled: f64,
}

impl Host {
    /// A warm server without connections.
    pub fn new(capacity: f64) -> Host {
        Host {
            capacity,
            up: true,
            draining: false,
            life: 0,
            started: None,
            held: BTreeMap::new(),
            groups: BTreeMap::new(),
            load: 0.0,
            piled: 0.0,
        }
    }

    /// Its process ends: who stood there is returned.
    pub fn die(&mut self) -> Vec<usize> {
        let held = std::mem::take(&mut self.held).into_keys().collect();
        let (capacity, life) = (self.capacity, self.life);
        *self = Host { up: false, life, ..Host::new(capacity) };
        held
    }

    /// Its process starts, cold.
    pub fn start(&mut self, now: u64) {
        let (capacity, life) = (self.capacity, self.life + 1);
        *self = Host { life, started: Some(now), ..Host::new(capacity) };
    }

    /// Share of its capacity that it has now: a third at the start, all after 8.8 s.
    pub fn warmth(&self, now: u64) -> f64 {
        let grown = self.started.map_or(1.0, |at| (now - at) as f64 / 8_800_000.0);
        (0.34 + 0.66 * grown).min(1.0)
    }

    /// Whether it turns a new connection away.
    pub fn full(&self) -> bool {
        self.draining || self.piled > FULL_AT || self.held.len() as f64 >= self.capacity * MOST
    }

    /// A connection begins to be set up.
    pub fn take(&mut self, now: u64, client: usize, load: f64, group: Option<u64>) {
        self.held.insert(client, (load, group));
        self.load += load;
        if let Some(group) = group {
            *self.groups.entry(group).or_default() += 1;
        }
        self.piled += SETUP_WORK / (self.capacity * self.warmth(now));
    }

    /// It is gone, whatever it was.
    pub fn release(&mut self, client: usize) {
        let Some((load, group)) = self.held.remove(&client) else { return };
        self.load = if self.held.is_empty() { 0.0 } else { self.load - load };
        if let Some(group) = group {
            let count = self.groups.get_mut(&group).map(|count| {
                *count -= 1;
                *count
            });
            if count == Some(0) {
                self.groups.remove(&group);
            }
        }
    }

    /// Load over capacity.
    pub fn used(&self, now: u64) -> f64 {
        let groups = self.groups.len() as f64 * GROUP_LOADS;
        (self.load + groups) / (self.capacity * self.warmth(now))
    }

    /// How many servers' worth of group costs it pays: for tests.
    pub fn groups(&self) -> usize {
        self.groups.len()
    }

    /// Time passes, in seconds.
    pub fn pass(&mut self, now: u64, seconds: f64) {
        self.piled = (self.piled + (self.used(now) - 1.0) * seconds).max(0.0);
    }

    /// Whether it drops connections now.
    pub fn drops(&self) -> bool {
        self.piled > DROPS_AT
    }

    /// The mean time of a message, in microseconds.
    pub fn message(&self, now: u64) -> f64 {
        SERVICE / (1.0 - self.used(now).min(0.98)) + self.piled * 1e6
    }

    /// Share of messages within an objective, both in microseconds.
    pub fn in_time(&self, now: u64, aim: f64) -> f64 {
        1.0 - (-aim / self.message(now)).exp()
    }
}
