//! Unit tests of the quantities on which the decision module bases its decisions.

use connection_balancer::bookkeeping::*;
use connection_balancer::policy::retry_policy::RetryState;
use connection_balancer::{ClassId, EndpointEntry, GroupId, Idempotency, KeyScope, Micros, Outcome, Time};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

#[test]
fn running_mean_shrinks_towards_the_fallback_the_fewer_its_values() {
    let mut mean = RunningMean::default();
    assert_eq!((mean.mean(), mean.shrunk_towards(7.0)), (0.0, 7.0));
    mean.add(10.0);
    assert_eq!(mean.add(20.0), 15.0);
    assert_eq!(mean.shrunk_towards(5.0), (30.0 + 3.0 * 5.0) / 5.0);
}

#[test]
fn weighted_draw_follows_the_weights_and_skips_items_without_weight() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let items = [("none", 0.0), ("one", 1.0), ("three", 3.0)];
    let mut draw_counts = [0; 3];
    for _ in 0..4_000 {
        let item =
            draw_weighted(&mut rng, &items, |item| item.1).expect("two of the items have a weight above 0");
        let index = items.iter().position(|other| other.0 == item.0).expect("the drawn item is in the list");
        draw_counts[index] += 1;
    }
    assert_eq!(draw_counts[0], 0);
    assert!(
        (900..1_100).contains(&draw_counts[1]),
        "a quarter of 4000 draws should be of item 1: {draw_counts:?}"
    );
    assert_eq!(draw_weighted(&mut rng, &items[..1], |item| item.1), None);
}

#[test]
fn backoff_doubles_with_each_failure_up_to_its_maximum_with_jitter() {
    let mut rng = Pcg64Mcg::seed_from_u64(2);
    for (failures, unjittered) in [(0, 100), (1, 200), (3, 800), (10, 1_000), (u32::MAX, 1_000)] {
        let jittered = jittered_backoff(&mut rng, Micros(100), failures, Micros::from_millis(1));
        assert!(
            (unjittered / 2..=unjittered * 3 / 2).contains(&jittered.0),
            "after {failures} failures: {jittered:?}, without jitter {unjittered} µs"
        );
    }
}

#[test]
fn exponential_draw_is_the_same_for_equal_keys_and_has_a_mean_of_one() {
    assert_eq!(exponential_for((7, 8)), exponential_for((7, 8)));
    let mean = (0..10_000).map(exponential_for).sum::<f64>() / 10_000.0;
    assert!((0.95..1.05).contains(&mean), "mean of 10000 draws: {mean}");
}

#[test]
fn group_share_follows_observations_and_old_observations_decay() {
    let mut statistics = GroupStatistics::default();
    (0..30).for_each(|_| statistics.record(Some(GroupId(1).short_hash())));
    statistics.record(None);
    assert_eq!(statistics.share(GroupId(1)), 30.0 / 40.0);
    (0..2_000).for_each(|_| statistics.record(Some(GroupId(2).short_hash())));
    assert_eq!(statistics.share(GroupId(1)), 0.0, "the count was halved until the group was removed");
}

#[test]
fn group_occupies_its_slots_once_per_server() {
    let group = Some(GroupId(3));
    let mut connections = ServerConnections::default();
    connections.start_attempt(group, 1.0);
    connections.start_attempt(group, 1.0);
    let slots = (connections.occupied_slots(), connections.slots_to_free(group, 1.0));
    assert_eq!(
        slots,
        (4.0, 1.0),
        "two connections and their group are occupied; one connection can be freed"
    );
    connections.end_attempt(group, 1.0);
    let slots = (connections.occupied_slots(), connections.slots_to_free(group, 1.0));
    assert_eq!(slots, (3.0, 3.0), "ending the last connection also frees the slots of the group");
    connections.end_attempt(group, 1.0);
    assert_eq!((connections.occupied_slots(), connections.contains_group(group)), (0.0, false));
}

#[test]
fn connections_are_sized_by_announced_load_then_by_class_and_never_beyond_the_maximum() {
    let mut sizes = ConnectionSizes::new(2);
    assert_eq!(sizes.estimate(ClassId(0), None), 1.0, "one slot without any measurement");
    assert_eq!(sizes.record(ClassId(0), f64::NAN), None);
    sizes.record(ClassId(0), 100.0);
    sizes.record(ClassId(1), 300.0);
    assert!(sizes.estimate(ClassId(0), None) < 1.0 && sizes.estimate(ClassId(1), None) > 1.0);
    assert_eq!(
        sizes.estimate(ClassId(0), Some(50.0)),
        1.0,
        "the first announced load equals the mean of announced loads"
    );
    for _ in 0..1_000 {
        sizes.record(ClassId(0), 1.0);
    }
    assert_eq!(sizes.record(ClassId(0), 1e12), Some(32.0));
}

#[test]
fn idempotency_key_is_valid_for_its_window_only() {
    let with_key = Idempotency::IdempotencyKey { scope: KeyScope::All, window: Micros(100) };
    let mut retry = RetryState::default();
    retry.on_attempt_ended(EndpointEntry::default(), Time(1_000), Outcome::TimedOut);
    assert_eq!(retry.key_window_left(with_key, Time(1_040)), Some(Micros(60)));
    assert_eq!(retry.key_window_left(with_key, Time(2_000)), Some(Micros::ZERO));
    assert_eq!(retry.key_window_left(Idempotency::Idempotent, Time(1_040)), None);
}
