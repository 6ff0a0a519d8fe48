//! The model's command line.

use std::process::ExitCode;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use std::time::Instant;

use argh::FromArgs;
use simulation::day::{play, Held};
use simulation::grid::{days, moving, world as world_of, Cell, GROUPS, RATES, SESSIONS, TROUBLES};
use simulation::world::{self, Session, Trouble, World};

/// Plays days of the model.
#[derive(FromArgs)]
struct Line {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Grid(Grid),
    Troubles(Troubles),
    Day(Day),
    Cost(Cost),
    Settle(Settle),
}

/// Rebalancing off against on, over all cells of rate, store, trouble and groups, as a table.
#[derive(FromArgs)]
#[argh(subcommand, name = "grid")]
struct Grid {
    /// pairs for each cell (default: 20)
    #[argh(option, default = "20")]
    seeds: u64,
    /// first seed (default: 0)
    #[argh(option, default = "0")]
    from: u64,
}

/// Rebalancing off against on, for every trouble there is.
#[derive(FromArgs)]
#[argh(subcommand, name = "troubles")]
struct Troubles {
    /// pairs for each cell (default: 20)
    #[argh(option, default = "20")]
    seeds: u64,
    /// most moves a second (default: 2)
    #[argh(option, default = "2.0")]
    most: f64,
    /// mean life of a connection in seconds (default: 40)
    #[argh(option, default = "40.0")]
    life: f64,
    /// servers do not tell how long messages take
    #[argh(switch)]
    silent: bool,
    /// share of capacity that clients ask for (default: 0.72)
    #[argh(option, default = "0.72")]
    used: f64,
}

/// One day, second by second.
#[derive(FromArgs)]
#[argh(subcommand, name = "day")]
struct Day {
    /// trouble, such as HostRestart
    #[argh(positional)]
    trouble: String,
    /// seed (default: 0)
    #[argh(option, default = "0")]
    seed: u64,
    /// share of capacity that clients ask for (default: 0.72)
    #[argh(option, default = "0.72")]
    used: f64,
    /// most moves a second; 0 for moving off (default: 2)
    #[argh(option, default = "2.0")]
    most: f64,
}

/// Seconds from the last return of a server until load is even again, off and on.
#[derive(FromArgs)]
#[argh(subcommand, name = "settle")]
struct Settle {
    /// pairs for each trouble (default: 60)
    #[argh(option, default = "60")]
    seeds: u64,
    /// most moves a second (default: 2)
    #[argh(option, default = "2.0")]
    most: f64,
}

/// Seconds from this one until three in a row hold, or until the end of the day.
fn first(from: usize, seconds: usize, holds: impl Fn(usize) -> bool) -> f64 {
    let found = (from..seconds - 2).find(|&at| (at..at + 3).all(&holds));
    (found.unwrap_or(seconds) - from) as f64
}

fn settle(line: &Settle) -> bool {
    println!("| trouble | worst over mean as before, off | on | lightest at half the mean, off | on |");
    println!("| --- | --- | --- | --- | --- |");
    let jobs = [(Trouble::ServerRestart, 24), (Trouble::TwoServers, 24), (Trouble::RestartWave, 45)];
    for (trouble, back) in jobs {
        let sides = [world_of((1, 1)), moving(&world_of((1, 1)), line.most)];
        let seconds = all(&sides, |world| {
            let (mut even, mut filled) = (0.0, 0.0);
            for day in days(world, trouble, Session::Normal, 0..line.seeds) {
                // What random placement gave before anything happened.
                let usual = day.spread[10..19].iter().sum::<f64>() / 9.0;
                even += first(back, day.spread.len(), |at| day.spread[at] <= usual);
                let share = |at: usize| {
                    let held = day.servers[at].iter().map(|(held, _)| *held as f64);
                    let mean = held.clone().sum::<f64>() / day.servers[at].len() as f64;
                    held.fold(f64::INFINITY, f64::min) / mean.max(1.0)
                };
                filled += first(back, day.servers.len(), |at| share(at) >= 0.5);
            }
            (even / line.seeds as f64, filled / line.seeds as f64)
        });
        let [(off, off_filled), (on, on_filled)] = seconds[..] else { return false };
        println!("| {trouble:?} | {off:.1} s | {on:.1} s | {off_filled:.1} s | {on_filled:.1} s |");
    }
    true
}

/// CPU time of a reducer that only holds connections, with rebalancing off and on, in one run.
#[derive(FromArgs)]
#[argh(subcommand, name = "cost")]
struct Cost {
    /// connections that stand (default: 10000)
    #[argh(option, default = "10000")]
    standing: usize,
    /// seconds that pass (default: 60)
    #[argh(option, default = "60")]
    seconds: u64,
}

fn cost(line: &Cost) -> bool {
    // Turn about: whatever else the machine does falls on both sides.
    let mut took = [f64::INFINITY; 2];
    for _ in 0..3 {
        for (n, on) in [false, true].into_iter().enumerate() {
            let mut held = Held::new(line.standing, on);
            let since = Instant::now();
            held.pass(line.seconds);
            took[n] = took[n].min(since.elapsed().as_secs_f64() / line.seconds as f64);
        }
    }
    let [off, on] = took.map(|share| share * 100.0);
    println!("{} standing: {off:.4}% of a core off, {on:.4}% on, {:.4}% more", line.standing, on - off);
    on - off < 1.0
}

/// Plays cells on all cores; the results in the order of the jobs.
fn all<J: Sync, R: Send>(jobs: &[J], work: impl Fn(&J) -> R + Sync) -> Vec<R> {
    let (next, done) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..std::thread::available_parallelism().map_or(1, usize::from) {
            scope.spawn(|| loop {
                let n = next.fetch_add(1, Ordering::Relaxed);
                let Some(job) = jobs.get(n) else { return };
                let result = work(job);
                done.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).push((n, result));
            });
        }
    });
    let mut done = done.into_inner().unwrap_or_else(|poisoned| poisoned.into_inner());
    done.sort_by_key(|(n, _)| *n);
    done.into_iter().map(|(_, result)| result).collect()
}

fn row(name: &str, cell: &Cell) {
    let verdict = match () {
        () if !cell.broken.is_empty() => "RULE BROKEN",
        () if !cell.harmless() => "WORSE",
        () if cell.gain > cell.noise => "better",
        () => "",
    };
    println!(
        "| {name} | {:.4} | {:+.4} | {:.4} | {:.1} | {:.2} | {verdict} |",
        cell.off,
        cell.gain,
        cell.noise,
        cell.moves,
        cell.per_minute * 1000.0
    );
    for broken in cell.broken.iter().take(3) {
        println!("  {broken}");
    }
}

fn head() {
    println!("| cell | worth off | gain | noise | moves a day | per 1,000 connection-minutes | |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
}

fn grid(line: &Grid) -> bool {
    let seeds = line.from..line.from + line.seeds;
    let mut jobs = Vec::new();
    for groups in GROUPS {
        for trouble in TROUBLES {
            for session in SESSIONS {
                jobs.push((world_of(groups), trouble, session));
            }
        }
    }
    let cells = all(&jobs, |(world, trouble, session)| {
        let off = days(world, *trouble, *session, seeds.clone());
        RATES.map(|rate| Cell::of(&off, &days(&moving(world, rate), *trouble, *session, seeds.clone())))
    });
    head();
    let mut sound = true;
    for ((world, trouble, session), cells) in jobs.iter().zip(&cells) {
        for (rate, cell) in RATES.iter().zip(cells) {
            row(&format!("{trouble:?}, {session:?}, groups to {}, at most {rate}", world.groups.1), cell);
            sound &= cell.harmless() && cell.broken.is_empty();
        }
    }
    let gains = cells.iter().flatten();
    let worst = gains.map(|cell| cell.gain + cell.noise).fold(f64::INFINITY, f64::min);
    println!("\nworst upper end of a gain: {worst:+.4}; {}", if sound { "sound" } else { "NOT SOUND" });
    sound
}

fn troubles(line: &Troubles) -> bool {
    let mut jobs = Vec::new();
    for groups in GROUPS {
        for trouble in world::TROUBLES {
            let (tells_delay, used, life) = (!line.silent, line.used, (line.life, 1.0));
            let world = World { tells_delay, used, life, ..world_of(groups) };
            jobs.push((world, trouble));
        }
    }
    let cells = all(&jobs, |(world, trouble)| {
        let off = days(world, *trouble, Session::Normal, 0..line.seeds);
        let on = days(&moving(world, line.most), *trouble, Session::Normal, 0..line.seeds);
        Cell::of(&off, &on)
    });
    head();
    for ((world, trouble), cell) in jobs.iter().zip(&cells) {
        row(&format!("{trouble:?}, groups to {}", world.groups.1), cell);
    }
    cells.iter().all(|cell| cell.harmless() && cell.broken.is_empty())
}

fn day(line: &Day) -> bool {
    let named = |trouble: &Trouble| format!("{trouble:?}").eq_ignore_ascii_case(&line.trouble);
    let Some(trouble) = world::TROUBLES.into_iter().find(named) else {
        eprintln!("no trouble is called {}: one of {:?} is wanted", line.trouble, world::TROUBLES);
        return false;
    };
    let world = World { used: line.used, ..World::default() };
    let world = if line.most > 0.0 { moving(&world, line.most) } else { world };
    let result = play(&world, trouble, Session::Normal, line.seed);
    for (second, (spread, rate)) in result.spread.iter().zip(&result.rates).enumerate() {
        let quality = result.quality[second];
        let servers = result.servers[second].iter().map(|(held, took)| format!("{held}/{took:.0}"));
        let servers = servers.collect::<Vec<_>>().join(" ");
        println!("{servers}");
        println!(
            "{second:3} s  served {quality:.3}  spread {spread:.2}  rate {rate:.2}  {}",
            result.holds[second]
        );
    }
    println!(
        "worth {:.4}, {} moves, {} for balance",
        result.priority_weight, result.moves, result.for_balance
    );
    println!("{} declined, broken {:?}", result.declined, result.broken);
    result.broken.is_empty()
}

fn main() -> ExitCode {
    let line: Line = argh::from_env();
    let sound = match line.command {
        Command::Grid(line) => grid(&line),
        Command::Troubles(line) => troubles(&line),
        Command::Day(line) => day(&line),
        Command::Cost(line) => cost(&line),
        Command::Settle(line) => settle(&line),
    };
    if sound {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
