//! Rebalancing never makes things worse than leaving connections alone: pairs of seeded days around real reducers.
//! The whole grid is a sub-command (`simulation grid`); here are its corners, with the same verdict each run.

use simulation::day::play;
use simulation::grid::{days, moving, world, Cell, GROUPS, SESSIONS, TROUBLES};
use simulation::world::{Session, Trouble, World, TROUBLES as ALL};

/// Twenty pairs let one of the thirty cells pass its own noise by chance (-0.0067 against 0.0064, and sound at sixty).
const PAIRS: std::ops::Range<u64> = 0..60;

/// Cells in parallel: they share nothing.
fn cells(jobs: Vec<(World, Trouble, Session, f64)>) -> Vec<(String, Cell)> {
    let play = |(world, trouble, session, rate): (World, Trouble, Session, f64)| {
        let name = format!("{trouble:?}, {session:?}, groups to {}, at most {rate}", world.groups.1);
        let off = days(&world, trouble, session, PAIRS);
        let on = days(&moving(&world, rate), trouble, session, PAIRS);
        (name, Cell::of(&off, &on))
    };
    let halves = jobs.len().div_ceil(4).max(1);
    std::thread::scope(|scope| {
        let chunks: Vec<_> = jobs
            .chunks(halves)
            .map(|chunk| scope.spawn(move || chunk.iter().cloned().map(play).collect::<Vec<_>>()))
            .collect();
        chunks.into_iter().flat_map(|chunk| chunk.join().expect("played")).collect()
    })
}

fn sound(cells: &[(String, Cell)]) {
    for (name, cell) in cells {
        assert!(cell.broken.is_empty(), "{name}: {:?}", cell.broken.first());
        assert!(cell.harmless(), "{name}: {:+.4} beyond the noise of {:.4}", cell.gain, cell.noise);
    }
}

#[test]
fn no_rate_store_or_trouble_makes_single_connections_worse_off() {
    let mut jobs = Vec::new();
    for trouble in TROUBLES {
        for session in SESSIONS {
            jobs.extend([0.1, f64::INFINITY].map(|rate| (world((1, 1)), trouble, session, rate)));
        }
    }
    let cells = cells(jobs);
    sound(&cells);
    let of = |part: &str| cells.iter().find(|(name, _)| name.starts_with(part)).map(|(_, cell)| cell.clone());
    // Nobody moves in calm.
    assert!(of("None, Normal").expect("played").per_minute < 0.001);
}

/// The margin that is promised where one server restarts. Twenty pairs are too few to show it.
#[test]
fn a_restart_is_got_over_sooner() {
    let cell = |moving: &World| days(moving, Trouble::ServerRestart, Session::Normal, 0..120);
    let world = world((1, 1));
    let restart = std::thread::scope(|scope| {
        let off = scope.spawn(|| cell(&world));
        let on = cell(&moving(&world, f64::INFINITY));
        Cell::of(&off.join().expect("played"), &on)
    });
    assert!(restart.gain > 0.0005 && restart.gain > restart.noise, "{restart:?}");
}

#[test]
fn groups_are_not_made_worse_off() {
    let jobs = TROUBLES.map(|trouble| (world(GROUPS[1]), trouble, Session::Normal, 5.0));
    sound(&cells(jobs.to_vec()));
}

#[test]
fn every_trouble_keeps_the_rules_and_does_no_harm() {
    let jobs = ALL.map(|trouble| (world((1, 1)), trouble, Session::Normal, 5.0));
    sound(&cells(jobs.to_vec()));
    let lists = World { list_delay: 4_000_000, ..world((1, 1)) };
    let gone = World { come_back: 0.5, ..world((1, 1)) };
    let silent = World { tells_delay: false, ..world((1, 1)) };
    let mut jobs =
        [lists, gone, silent].map(|world| (world, Trouble::TwoServers, Session::Normal, 5.0)).to_vec();
    // 97% of 32 balancers, a quarter at a time, each with a small part of everything.
    let many = World { balancers: 32, ..world((1, 1)) };
    jobs.push((many, Trouble::BalancerWave, Session::Normal, 5.0));
    let small = World { groups: (2, 6), used: 0.5, ..world((1, 1)) };
    jobs.extend(
        [Trouble::ServerRestart, Trouble::Drain]
            .map(|trouble| (small.clone(), trouble, Session::Normal, 5.0)),
    );
    sound(&cells(jobs));
}

/// The model itself: the same seed gives the same day, another gives another.
#[test]
fn a_day_is_the_same_each_time() {
    let world = moving(&world((1, 1)), 5.0);
    let play = |seed| play(&world, Trouble::RestartWave, Session::SlowMidway, seed);
    assert_eq!(format!("{:?}", play(3)), format!("{:?}", play(3)));
    assert_ne!(format!("{:?}", play(3)), format!("{:?}", play(4)));
}
