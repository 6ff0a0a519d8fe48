//! Rebalancing does no significant harm compared with no migrations, over pairs of simulated days with equal
//! seeds. `simulation grid` runs the whole grid. These tests run its corners; fixed seeds give the same
//! verdict in each run.

use simulation::comparison::{
    grid_deployment, play_days, with_rebalancing, Comparison, GRID_GROUP_SIZES, GRID_SCENARIOS, GRID_STORES,
};
use simulation::day::play;
use simulation::deployment::{Deployment, GroupSize};
use simulation::scenario::{Scenario, ALL_SCENARIOS};
use simulation::session_store::StoreCondition;

/// Pairs of each comparison. With twenty pairs, one of the thirty comparisons exceeds its own 95% interval by
/// chance.
const PAIRS: std::ops::Range<u64> = 0..60;
/// Pairs that show the gain after a single restart, which is smaller than the 95% interval of twenty pairs.
const RESTART_PAIRS: std::ops::Range<u64> = 0..120;
const THREADS: usize = 4;

/// Conditions of a comparison.
#[derive(Clone)]
struct Job {
    deployment: Deployment,
    scenario: Scenario,
    store: StoreCondition,
    max_migrations_per_second: f64,
}

impl Job {
    /// Creates a comparison with a normal session store and a moderate rate limit.
    fn new(deployment: &Deployment, scenario: Scenario) -> Job {
        let deployment = deployment.clone();
        Job { deployment, scenario, store: StoreCondition::Normal, max_migrations_per_second: 5.0 }
    }

    fn compare(self) -> NamedComparison {
        let Job { deployment, scenario, store, max_migrations_per_second } = self;
        let max_group = deployment.group_size.max;
        let name =
            format!("{scenario:?}, {store:?}, groups to {max_group}, at most {max_migrations_per_second}");
        let rebalancing = with_rebalancing(&deployment, max_migrations_per_second);
        let off = play_days(&deployment, scenario, store, PAIRS);
        let on = play_days(&rebalancing, scenario, store, PAIRS);
        NamedComparison { name, comparison: Comparison::new(&off, &on) }
    }
}

struct NamedComparison {
    name: String,
    comparison: Comparison,
}

/// Runs the comparisons in parallel: the jobs share no state.
fn compare_all(jobs: Vec<Job>) -> Vec<NamedComparison> {
    let chunk_size = jobs.len().div_ceil(THREADS).max(1);
    std::thread::scope(|scope| {
        let threads: Vec<_> = jobs
            .chunks(chunk_size)
            .map(|chunk| scope.spawn(move || chunk.iter().cloned().map(Job::compare).collect::<Vec<_>>()))
            .collect();
        threads.into_iter().flat_map(|thread| thread.join().expect("a comparison completes")).collect()
    })
}

fn assert_harmless(comparisons: &[NamedComparison]) {
    for NamedComparison { name, comparison } in comparisons {
        let Comparison { violations, gain, half_interval, .. } = comparison;
        assert!(violations.is_empty(), "{name}: {:?}", violations.first());
        assert!(
            comparison.is_harmless(),
            "{name}: loss is significant, gain {gain:+.4} with a 95% half-interval of {half_interval:.4}"
        );
    }
}

#[test]
fn does_no_harm_to_single_connections_at_any_rate_store_or_scenario() {
    let deployment = grid_deployment(GroupSize::SINGLE);
    let mut jobs = Vec::new();
    for scenario in GRID_SCENARIOS {
        for store in GRID_STORES {
            for max_migrations_per_second in [0.1, f64::INFINITY] {
                jobs.push(Job { deployment: deployment.clone(), scenario, store, max_migrations_per_second });
            }
        }
    }
    let comparisons = compare_all(jobs);
    assert_harmless(&comparisons);
    // Without faults, almost no client is migrated.
    let without_fault = comparisons.iter().find(|named| named.name.starts_with("None, Normal"));
    let without_fault = without_fault.expect("the scenario without faults is compared");
    assert!(without_fault.comparison.migrations_per_minute < 0.001);
}

#[test]
fn gains_after_a_server_restart() {
    let off = grid_deployment(GroupSize::SINGLE);
    let on = with_rebalancing(&off, f64::INFINITY);
    let play_restarts = |deployment: &Deployment| {
        play_days(deployment, Scenario::ServerRestart, StoreCondition::Normal, RESTART_PAIRS)
    };
    let comparison = std::thread::scope(|scope| {
        let off_days = scope.spawn(|| play_restarts(&off));
        let on_days = play_restarts(&on);
        Comparison::new(&off_days.join().expect("the days with rebalancing off complete"), &on_days)
    });
    assert!(
        comparison.gain > 0.0005 && comparison.gain > comparison.half_interval,
        "gain is at most 0.0005 or not significant: {comparison:?}"
    );
}

#[test]
fn does_no_harm_to_groups() {
    let deployment = grid_deployment(GRID_GROUP_SIZES[1]);
    let jobs = GRID_SCENARIOS.map(|scenario| Job::new(&deployment, scenario));
    assert_harmless(&compare_all(jobs.to_vec()));
}

#[test]
fn keeps_the_invariants_and_does_no_harm_in_every_scenario() {
    let deployment = grid_deployment(GroupSize::SINGLE);
    let jobs = ALL_SCENARIOS.map(|scenario| Job::new(&deployment, scenario));
    assert_harmless(&compare_all(jobs.to_vec()));

    let delayed_lists = Deployment { list_delay: 4_000_000, ..deployment.clone() };
    let few_returns = Deployment { return_probability: 0.5, ..deployment.clone() };
    let no_message_times = Deployment { reports_message_time: false, ..deployment.clone() };
    let mut jobs = [delayed_lists, few_returns, no_message_times]
        .map(|deployment| Job::new(&deployment, Scenario::TwoServers))
        .to_vec();
    // 97% of 32 balancers restart, a quarter at a time. Each balancer has a small part of all connections.
    let many_balancers = Deployment { balancers: 32, ..deployment.clone() };
    jobs.push(Job::new(&many_balancers, Scenario::BalancerWave));
    let small_groups =
        Deployment { group_size: GroupSize { min: 2, max: 6 }, demand_share: 0.5, ..deployment };
    jobs.extend([Scenario::ServerRestart, Scenario::Drain].map(|scenario| Job::new(&small_groups, scenario)));
    assert_harmless(&compare_all(jobs));
}

/// Simulation is deterministic: the same seed gives the same day, and another seed gives another day.
#[test]
fn plays_the_same_day_for_the_same_seed() {
    let deployment = with_rebalancing(&grid_deployment(GroupSize::SINGLE), 5.0);
    let play = |seed| play(&deployment, Scenario::RestartWave, StoreCondition::SlowMidway, seed);
    assert_eq!(format!("{:?}", play(3)), format!("{:?}", play(3)));
    assert_ne!(format!("{:?}", play(3)), format!("{:?}", play(4)));
}
