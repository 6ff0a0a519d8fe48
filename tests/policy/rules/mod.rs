//! Property tests of the balancer's guarantees, over arbitrary legal sequences of events.

mod rule_checker;

use connection_balancer::*;
use proptest::prelude::*;

use crate::harness::{endpoints, settings, Harness, MS, START};
use rule_checker::RuleChecker;

/// One step of a simulation. An index selects one of the requests to which the step applies at that time.
#[derive(Clone, Debug)]
enum Step {
    Arrive { class: u16, group: Option<u64>, timeout_ms: u64 },
    Restore { server: u32 },
    Establish { index: usize },
    EndAttempt { index: usize, outcome: usize },
    ClientLeft { index: usize },
    MessageTime { index: usize, ms: u64 },
    Load { index: usize, load: f64 },
    LoadReport { server: u32, utilisation: f64 },
    UpdateEndpoint { server: u32, state: usize, is_restarted: bool, is_snapshot: bool, weight: f64 },
    FailEndpointWatch,
    UnexpectedEvents { request: u64, attempt: u32 },
    Wait { ms: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    let edge_case = prop_oneof![Just(f64::NAN), Just(f64::INFINITY), Just(-1.0), Just(0.0), 0.0..1e9f64];
    let index = 0..64usize;
    prop_oneof![
        8 => (0..6u16, proptest::option::of(0..3u64), 0..4_000u64)
            .prop_map(|(class, group, timeout_ms)| Step::Arrive { class, group, timeout_ms }),
        1 => (0..8u32).prop_map(|server| Step::Restore { server }),
        6 => index.clone().prop_map(|index| Step::Establish { index }),
        6 => (index.clone(), 0..8usize).prop_map(|(index, outcome)| Step::EndAttempt { index, outcome }),
        1 => index.clone().prop_map(|index| Step::ClientLeft { index }),
        2 => (index.clone(), 0..500u64).prop_map(|(index, ms)| Step::MessageTime { index, ms }),
        2 => (index, edge_case.clone()).prop_map(|(index, load)| Step::Load { index, load }),
        1 => (0..8u32, edge_case.clone())
            .prop_map(|(server, utilisation)| Step::LoadReport { server, utilisation }),
        3 => (0..8u32, 0..3usize, any::<bool>(), any::<bool>(), edge_case).prop_map(
            |(server, state, is_restarted, is_snapshot, weight)| Step::UpdateEndpoint {
                server, state, is_restarted, is_snapshot, weight
            }),
        1 => Just(Step::FailEndpointWatch),
        1 => (0..80u64, 0..3u32)
            .prop_map(|(request, attempt)| Step::UnexpectedEvents { request, attempt }),
        6 => (0..900u64).prop_map(|ms| Step::Wait { ms }),
    ]
}

/// Applies the steps to a new balancer, checks the rules, and returns all actions.
fn run_steps(seed: u64, steps: &[Step]) -> Vec<Action> {
    let mut checker = RuleChecker::new(seed);
    for step in steps {
        checker.apply_step(step);
    }
    checker.end_all();
    checker.executed_actions
}

proptest! {
    // A failing sequence is printed in full. A file of earlier failures would make the suite depend on this
    // machine.
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(2004),
        ..ProptestConfig::default()
    })]

    #[test]
    fn rules_hold_and_equal_events_give_equal_actions(
        seed in any::<u64>(),
        steps in proptest::collection::vec(step(), 1..150),
    ) {
        prop_assert_eq!(run_steps(seed, &steps), run_steps(seed, &steps));
    }

    /// Attempts at a cold server are paced for any occupancy of the other servers, when each attempt is
    /// rejected.
    #[test]
    fn attempts_at_a_cold_server_are_paced(
        seed in any::<u64>(),
        established in 0..200u32,
        gaps in proptest::collection::vec(0..60u64, 1..400),
    ) {
        let settings = Settings { balancers: 4, ..settings() };
        let mut list = endpoints(4);
        list[0].started_at = Some(START);
        let mut harness = Harness::seeded(settings.clone(), &list, seed);
        for i in 0..established {
            harness.restore(2 + i % 3, None);
        }
        let mut send_times: Vec<Time> = Vec::new();
        for gap in gaps {
            harness.advance(gap * MS);
            let request = harness.arrive();
            if harness.attempted_server() == Some(1) {
                send_times.push(harness.now);
            }
            harness.end_attempt(request, 0, Outcome::Rejected, true);
        }
        // The mean occupancy of the fleet is the number of this balancer's connections that a server can
        // certainly handle.
        let size = (f64::from(established + 4) / 4.0).max(1.0);
        let (window, duration) = (settings.slow_start_window, settings.slow_start_duration);
        for (i, first) in send_times.iter().enumerate() {
            let while_cold = send_times[i..].iter().filter(|at| at.since(START) < duration);
            let sent = while_cold.take_while(|at| at.since(*first) < window).count();
            let age = first.plus(window).since(START).as_f64() / duration.as_f64();
            let warmth = (settings.slow_start_share + (1.0 - settings.slow_start_share) * age).min(1.0);
            let window_share = window.as_f64() / duration.as_f64();
            let limit = 1.0 + settings.slow_start_overload_factor * warmth * size * window_share;
            prop_assert!(sent as f64 <= limit, "{} attempts in a window, limit {}", sent, limit);
        }
    }
}
