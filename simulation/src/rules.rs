//! What may never happen, checked from outside: by what was sent and answered, not by what the program thinks.

use std::collections::{BTreeMap, VecDeque};

/// Nothing new to a server this long after its balancer was told, in microseconds.
const GRACE: u64 = 250_000;
/// A cold server stands so many times what it can take, over so long, and a little by chance.
const MULTIPLE: f64 = 4.0;
const WINDOW: u64 = 3_000_000;
const SLACK: f64 = 3.0;
/// It fills in this time, in seconds, at its capacity.
const WARM_UP: f64 = 8.8;

/// One that a balancer took.
#[derive(Debug, Default)]
struct Taken {
    attempts: u32,
    out: bool,
    answers: u32,
}

/// Watches the rules of one day.
#[derive(Debug, Default)]
pub struct Rules {
    taken: BTreeMap<(usize, u64, u64), Taken>,
    /// When each balancer was told that a server is leaving.
    told: BTreeMap<(usize, usize), u64>,
    /// What was sent lately to servers that are cold: when, and its load.
    cold: BTreeMap<usize, VecDeque<(u64, f64)>>,
    /// What was broken, in words.
    pub broken: Vec<String>,
}

impl Rules {
    /// A balancer of this life was told that a server is leaving, or is in use again.
    pub fn told(&mut self, now: u64, balancer: usize, server: usize, leaving: bool) {
        if leaving {
            self.told.entry((balancer, server)).or_insert(now);
        } else {
            self.told.remove(&(balancer, server));
        }
    }

    /// A balancer that has started knows nothing of what it was told before.
    pub fn restarted(&mut self, balancer: usize) {
        self.told.retain(|(of, _), _| *of != balancer);
    }

    /// An attempt is opened.
    pub fn attempt(&mut self, now: u64, who: (usize, u64, u64), server: usize) {
        let taken = self.taken.entry(who).or_default();
        taken.attempts += 1;
        if taken.out {
            self.broken.push(format!("{now}: two legs of {who:?} at once"));
        }
        taken.out = true;
        if taken.attempts > 6 {
            self.broken.push(format!("{now}: {} legs for {who:?}", taken.attempts));
        }
        if taken.answers > 0 {
            self.broken.push(format!("{now}: a leg for {who:?} after its answer"));
        }
        if self.told.get(&(who.0, server)).is_some_and(|at| now - at > GRACE) {
            self.broken.push(format!("{now}: {who:?} sent to host {server}, told to be leaving"));
        }
    }

    /// Something comes to a cold server that has this share of its capacity (in mean connections).
    pub fn cold(&mut self, now: u64, server: usize, warmth: f64, capacity: f64, load: f64) {
        let sent = self.cold.entry(server).or_default();
        sent.push_back((now, load));
        while sent.front().is_some_and(|(at, _)| now - at > WINDOW) {
            sent.pop_front();
        }
        let sum: f64 = sent.iter().map(|(_, load)| load).sum();
        let most = MULTIPLE * warmth * capacity / WARM_UP * (WINDOW as f64 / 1e6) + SLACK;
        if sum > most {
            self.broken.push(format!("{now}: host {server} pushed over, {sum:.1} of {most:.1}"));
        }
    }

    /// Attempts opened so far for one that was taken.
    pub fn attempts(&self, who: (usize, u64, u64)) -> u32 {
        self.taken.get(&who).map_or(0, |taken| taken.attempts)
    }

    /// An attempt is over or closed.
    pub fn over(&mut self, who: (usize, u64, u64)) {
        if let Some(taken) = self.taken.get_mut(&who) {
            taken.out = false;
        }
    }

    /// It came to stand, or was refused or failed.
    pub fn answer(&mut self, now: u64, who: (usize, u64, u64)) {
        let taken = self.taken.entry(who).or_default();
        taken.answers += 1;
        if taken.answers > 1 {
            self.broken.push(format!("{now}: {} answers for {who:?}", taken.answers));
        }
    }

    /// Its client is owed an answer no more: whether it had one.
    pub fn answered(&self, who: (usize, u64, u64)) -> bool {
        self.taken.get(&who).is_some_and(|taken| taken.answers > 0)
    }

    /// Its client waited for nothing.
    pub fn unanswered(&mut self, now: u64, who: (usize, u64, u64)) {
        self.broken.push(format!("{now}: {who:?} had no answer in its time"));
    }
}
