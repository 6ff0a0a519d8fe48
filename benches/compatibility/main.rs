//! Shows that two builds of the balancer understand each other: their settings, stored files, gossip, replicated map,
//! hot-restart messages and admin calls.
//!
//!     cargo bench --bench compatibility -- OLD NEW
//!
//! OLD and NEW are paths of `connection-balancer` programs; a path that is not given stands for the build of this tree.
//! Each check runs in both directions, with fake servers and clients on loopback, and takes a few seconds. A check that
//! fails is named, and the program then exits with 1. Not checked here: the simulator's protocol, rebalancing, and
//! builds that are beside each other for longer than a few seconds.

mod checks;
mod fake_servers;
mod process;

use std::path::PathBuf;
use std::process::ExitCode;

use checks::{Builds, CHECKS};

/// The paths of the two builds.
fn programs() -> [PathBuf; 2] {
    // `cargo bench` adds options of its own.
    let mut given = std::env::args().skip(1).filter(|argument| !argument.starts_with("--"));
    [(); 2].map(|()| {
        given.next().map_or(PathBuf::from(env!("CARGO_BIN_EXE_connection-balancer")), PathBuf::from)
    })
}

fn main() -> ExitCode {
    let [old, new] = programs();
    let directions = [
        ("old to new", Builds { first: old.clone(), second: new.clone() }),
        ("new to old", Builds { first: new, second: old }),
    ];
    let mut failed = 0;
    for (name, check) in CHECKS {
        for (direction, builds) in &directions {
            let builds = builds.clone();
            let passed = std::thread::spawn(move || check(&builds)).join().is_ok();
            println!("{name}, {direction}: {}", if passed { "passed" } else { "FAILED" });
            failed += u32::from(!passed);
        }
    }
    println!("{failed} of {} checks failed", CHECKS.len() * directions.len());
    if failed == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
