//! Days in pairs: the same clients and troubles with rebalancing off and on.

use statrs::distribution::{ContinuousCDF, StudentsT};

use crate::day::{play, Result};
use crate::world::{Session, Trouble, World};

/// The grid's most moves a second, each balancer.
pub const RATES: [f64; 5] = [0.1, 1.0, 5.0, 20.0, f64::INFINITY];
/// Its stores.
pub const SESSIONS: [Session; 3] = [Session::Normal, Session::Slow, Session::SlowMidway];
/// Its troubles.
pub const TROUBLES: [Trouble; 5] = [
    Trouble::None,
    Trouble::ServerRestart,
    Trouble::RestartWave,
    Trouble::BalancerRestart,
    Trouble::SlowServer,
];
/// Its groups.
pub const GROUPS: [(usize, usize); 2] = [(1, 1), (5, 60)];

/// A grid's world: servers on which its largest group finds room, at a load at which lopsidedness shows.
pub fn world(groups: (usize, usize)) -> World {
    let capacity = if groups.1 > 1 { 120.0 } else { 30.0 };
    // Groups that stand split cost more than what clients ask for.
    let used = if groups.1 > 1 { 0.6 } else { 0.8 };
    World { groups, capacity, used, ..World::default() }
}

/// One cell: what moving did to the worth of a day, over pairs.
#[derive(Clone, Debug)]
pub struct Cell {
    /// Mean worth with moving off.
    pub off: f64,
    /// Mean gain, and half of the 95% interval around it.
    pub gain: f64,
    /// See `gain`.
    pub noise: f64,
    /// Moves for balance a day.
    pub moves: f64,
    /// Moves for balance a connection-minute.
    pub per_minute: f64,
    /// Rules broken, on either side.
    pub broken: Vec<String>,
}

impl Cell {
    /// Compares days that were played in pairs.
    pub fn of(off: &[Result], on: &[Result]) -> Cell {
        let n = off.len().min(on.len()).max(1) as f64;
        let gains: Vec<f64> =
            off.iter().zip(on).map(|(off, on)| on.priority_weight - off.priority_weight).collect();
        let mean = |values: &mut dyn Iterator<Item = f64>| values.sum::<f64>() / n;
        let gain = mean(&mut gains.iter().copied());
        let variance = gains.iter().map(|g| (g - gain).powi(2)).sum::<f64>() / (n - 1.0).max(1.0);
        let t = StudentsT::new(0.0, 1.0, (n - 1.0).max(1.0)).map_or(2.0, |t| t.inverse_cdf(0.975));
        let minutes: f64 = on.iter().map(|day| day.minutes).sum();
        let moves: u64 = on.iter().map(|day| day.for_balance).sum();
        Cell {
            off: mean(&mut off.iter().map(|day| day.priority_weight)),
            gain,
            noise: t * (variance / n).sqrt(),
            moves: moves as f64 / n,
            per_minute: moves as f64 / minutes.max(1e-9),
            broken: off.iter().chain(on).flat_map(|day| day.broken.clone()).collect(),
        }
    }

    /// Whether moving did no harm that the pairs' noise does not explain.
    pub fn harmless(&self) -> bool {
        self.gain >= -self.noise
    }
}

/// Days of these seeds.
pub fn days(world: &World, trouble: Trouble, session: Session, seeds: std::ops::Range<u64>) -> Vec<Result> {
    seeds.map(|seed| play(world, trouble, session, seed)).collect()
}

/// The same world with moving on, at most so many a second.
pub fn moving(world: &World, max_moves_per_s: f64) -> World {
    let mut world = world.clone();
    world.rebalance.enabled = true;
    world.rebalance.max_moves_per_s = max_moves_per_s;
    world
}
