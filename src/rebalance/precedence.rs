//! What takes precedence over moves for balance. Each rule keeps everything from being moved while it holds.

use std::fmt;

use crate::{Micros, Time};

/// After a reload the list may be another's.
const AFTER_RELOAD: Micros = 2_000_000;
/// After the list shrank: those servers' clients are on their way, and it may be wrong.
const AFTER_SHRINKING: Micros = 3_000_000;
/// Danger: a server may go on draining for hours, with clients that never leave it.
const DRAINING_MOST: Micros = 30_000_000;
/// Of the servers in use, a loss of so many parts is a shrinking list.
const SHRUNK: f64 = 0.75;
/// Arrivals are counted over this time; the usual is learned over about so many of them.
const WINDOW: Micros = 2_000_000;
const USUAL_OVER: f64 = 16.0;
/// A storm is so many times the usual, and so many arrivals more; it is over after so long without.
const STORM: f64 = 3.0;
const STORM_LEAST: f64 = 6.0;
const AFTER_STORM: Micros = 3_000_000;

/// What else is going on, that the reducer knows.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SystemConditions {
    /// This balancer leaves.
    pub leaving: bool,
    /// Another process takes this one's place, or the other way round.
    pub handover: bool,
    /// Connections at servers that drain, are out by hand, or are gone.
    pub draining: usize,
}

/// Why nothing may be moved now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Held {
    Leaving,
    HandOver,
    Draining,
    Reload,
    ListShrank,
    ListLost,
    FewServers,
    Storm,
    /// Set-ups take far longer than usual, or too long for their objective.
    SlowSetUps,
    /// Moved clients were refused or failed.
    Refused,
    /// Moved clients do not come back.
    NotBack,
    /// The excess does not fall.
    NoUse,
}

impl fmt::Display for Held {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Held::Leaving => "this balancer leaves",
            Held::HandOver => "another process serves beside this one",
            Held::Draining => "hosts drain",
            Held::Reload => "the configuration was read again",
            Held::ListShrank => "the list has lost a good part of its hosts",
            Held::ListLost => "the list cannot be had",
            Held::FewServers => "fewer than two hosts are in use",
            Held::Storm => "many arrive at once",
            Held::SlowSetUps => "set-ups are slow",
            Held::Refused => "moved clients were refused",
            Held::NotBack => "moved clients do not come back",
            Held::NoUse => "moves do not help",
        })
    }
}

impl Held {
    /// A word for the figures: 0 is for nothing held.
    pub fn code(self) -> u64 {
        self as u64 + 1
    }
}

/// What was seen that keeps moves from being made for a while.
#[derive(Debug)]
pub struct Precedence {
    ready: usize,
    shrunk: Option<Time>,
    lost: bool,
    reloaded: Option<Time>,
    /// Since when there are connections at servers that leave.
    draining: Option<Time>,
    /// The window that is counted now, and how many arrived in it.
    window: (Time, u32),
    /// The usual of a window, once one has passed.
    usual: Option<f64>,
    storm: Option<Time>,
}

impl Precedence {
    pub(super) fn new(now: Time) -> Precedence {
        Precedence {
            ready: 0,
            shrunk: None,
            lost: false,
            reloaded: None,
            draining: None,
            window: (now, 0),
            usual: None,
            storm: None,
        }
    }

    pub(super) fn arrived(&mut self, now: Time) {
        self.roll(now);
        self.window.1 += 1;
        let usual = self.usual.unwrap_or(f64::INFINITY);
        if f64::from(self.window.1) > STORM * usual + STORM_LEAST {
            self.storm = Some(now);
        }
    }

    fn roll(&mut self, now: Time) {
        let past = now.since(self.window.0) / WINDOW;
        if past == 0 {
            return;
        }
        let count = f64::from(self.window.1);
        // Danger: a storm that lasts must not become the usual while it does.
        let usual = self.usual.unwrap_or(count);
        let count = count.min(STORM * usual + STORM_LEAST);
        let usual = usual + (count - usual) / USUAL_OVER;
        // Windows in which nobody came, at most a few lives long.
        let empty = (past - 1).min(64) as i32;
        self.usual = Some(usual * (1.0 - 1.0 / USUAL_OVER).powi(empty));
        self.window = (self.window.0.plus(past * WINDOW), 0);
    }

    pub(super) fn listed(&mut self, now: Time, ready: usize) {
        if (ready as f64) < self.ready as f64 * SHRUNK || ready == 0 && self.ready > 0 {
            self.shrunk = Some(now);
        }
        self.ready = ready;
    }

    pub(super) fn list_lost(&mut self) {
        self.lost = true;
    }

    pub(super) fn list_told(&mut self) {
        self.lost = false;
    }

    pub(super) fn reloaded(&mut self, now: Time) {
        self.reloaded = Some(now);
    }

    /// Why nothing may be moved now, if so: the first reason that holds.
    pub(super) fn held(&mut self, now: Time, world: SystemConditions, ready: usize) -> Option<Held> {
        self.roll(now);
        self.draining = (world.draining > 0).then(|| self.draining.unwrap_or(now));
        let within = |at: Option<Time>, span| at.is_some_and(|at| now.since(at) < span);
        let rules = [
            (world.leaving, Held::Leaving),
            (world.handover, Held::HandOver),
            (within(self.draining, DRAINING_MOST), Held::Draining),
            (within(self.reloaded, AFTER_RELOAD), Held::Reload),
            (within(self.shrunk, AFTER_SHRINKING), Held::ListShrank),
            (self.lost, Held::ListLost),
            (ready < 2, Held::FewServers),
            (within(self.storm, AFTER_STORM), Held::Storm),
        ];
        rules.into_iter().find(|(holds, _)| *holds).map(|(_, held)| held)
    }
}
