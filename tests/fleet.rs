//! Many balancers at once, in virtual time: what is harmless when one of them does it must be so when a hundred do.

mod common;

use std::collections::{BTreeMap, VecDeque};

use common::*;
use sagemount::*;

/// Seen on the bench's days at size: after a restart of most balancers discovery answered nobody for ten seconds.
/// It serves calls one after another, also those whose callers it has turned away meanwhile, and all who were turned
/// away asked again within two and a half seconds.
#[test]
fn a_hundred_balancers_that_start_together_all_have_the_list_before_long() {
    const SERVICE: u64 = 50 * MS;
    const PATIENCE: u64 = 2 * SECOND;
    const QUEUE: usize = 100;
    let settings = Settings { must_ask: true, balancers: 100, ..settings() };
    let list = servers(10);
    let mut fleet: Vec<Bench> = (0..100).map(|n| Bench::seeded(settings.clone(), &list, n)).collect();
    // Calls in turn: whose, and when they came. Wake-ups that balancers wait for.
    let mut queue: VecDeque<(usize, Time)> = (0..100).map(|n| (n, START)).collect();
    let mut wakes: BTreeMap<(Time, usize), ()> = BTreeMap::new();
    let mut had = [false; 100];
    let mut free = START;
    for now in (0..15 * 1000).map(|ms| START.plus(ms * MS)) {
        let mut failed: Vec<usize> = Vec::new();
        // Who has waited too long is told so, and its call stays in turn.
        let late = |since: Time| now.since(since) == PATIENCE;
        failed.extend(queue.iter().filter(|(n, at)| late(*at) && !had[*n]).map(|(n, _)| *n));
        while let Some(&(n, since)) = queue.front().filter(|_| free <= now) {
            queue.pop_front();
            free = now.plus(SERVICE);
            had[n] |= now.since(since) < PATIENCE;
        }
        while let Some((&(at, n), ())) = wakes.first_key_value().filter(|((at, _), ())| *at <= now) {
            wakes.remove(&(at, n));
            fleet[n].now = now;
            fleet[n].event(Event::Wake);
            if fleet[n].actions.contains(&Action::Subscribe) {
                if queue.len() < QUEUE {
                    queue.push_back((n, now));
                } else {
                    failed.push(n);
                }
            }
        }
        for n in failed {
            fleet[n].now = now;
            fleet[n].event(Event::ListFailed);
            let waits = fleet[n].actions.iter().filter_map(|action| match action {
                Action::WakeIn(wait) => Some(now.plus(*wait)),
                _ => None,
            });
            wakes.extend(waits.map(|at| ((at, n), ())));
        }
    }
    let without = had.iter().filter(|had| !**had).count();
    assert_eq!(without, 0, "so many had no list in 15 s");
}
