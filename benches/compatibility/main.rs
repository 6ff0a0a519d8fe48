//! Checks that two builds of the balancer are compatible: settings, stored files, gossip, replicated map,
//! hot-restart messages and admin calls.
//!
//!     cargo bench --bench compatibility -- OLD NEW
//!
//! OLD and NEW are paths of `connection-balancer` programs. A path that is not given defaults to the build of
//! this tree. Each check runs in both directions, with fake servers and clients on loopback, and takes a few
//! seconds. The result of each check is printed. The program exits with 1 if a check failed. The checks do
//! not cover the simulator's protocol, rebalancing, or two builds that run at the same time for longer than a
//! few seconds.

mod checks;
mod fake_servers;
mod process;

use std::path::PathBuf;
use std::process::ExitCode;

use checks::{Builds, CHECKS};

/// Returns the paths of the old and the new build.
fn programs() -> [PathBuf; 2] {
    // `cargo bench` adds options such as `--bench`.
    let mut paths = std::env::args().skip(1).filter(|argument| !argument.starts_with("--"));
    [(); 2].map(|()| {
        paths.next().map_or(PathBuf::from(env!("CARGO_BIN_EXE_connection-balancer")), PathBuf::from)
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
