//! Tests of each rule of the decision module in isolation, without a balancer or events.

use connection_balancer::policy::admission_rate::AdmissionRate;
use connection_balancer::policy::concurrency_limit::{ConcurrencyLimit, ReportedCapacity};
use connection_balancer::policy::endpoint_lease::{EndpointLease, NOTIFICATION_TIMEOUT};
use connection_balancer::policy::fault_window::{FaultWindow, FleetOccupancy};
use connection_balancer::policy::outlier_detection::{EjectionTimes, OutlierDetector};
use connection_balancer::policy::retry_policy::RetryState;
use connection_balancer::policy::slow_start::{SlowStart, SlowStartBudget};
use connection_balancer::{
    CellId, Class, EndpointEntry, Idempotency, KeyScope, Micros, Outcome, RefusalReason, ServerId, Settings,
    Time, WatchFailure, ZoneId,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

const NOW: Time = Time(1_000_000_000);
const SECOND: Micros = Micros::from_secs(1);
const WINDOW: Micros = Micros::from_secs(1);

fn fault_window() -> FaultWindow {
    FaultWindow::new(WINDOW)
}

fn rng() -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(5)
}

fn settings() -> Settings {
    let class = Class {
        priority_weight: 1.0,
        setup_objective: Micros::from_millis(300),
        message_objective: Micros::from_millis(100),
        idempotency: Idempotency::NotIdempotent,
    };
    Settings { classes: vec![class], ..Settings::default() }
}

#[test]
fn a_ceiling_falls_with_a_rejection_and_recovers_by_one_slot_in_a_fault_window() {
    let mut limit = ConcurrencyLimit::default();
    limit.set_initial(1.0, 1.0);
    assert_eq!(limit.ceiling(), 4.0, "initial ceiling of a server of mean weight");
    limit.on_last_slot_established();
    limit.on_rejection_or_drop(NOW, 5.0);
    assert_eq!(limit.ceiling(), 4.0, "four fifths of 5 occupied slots after a rejection");
    limit.recover(NOW.plus(WINDOW), fault_window(), 6.0, false);
    assert_eq!(limit.ceiling(), 4.0, "no recovery within the fault window");
    let after_window = NOW.plus(WINDOW).plus(Micros(1));
    limit.recover(after_window, fault_window(), 6.0, false);
    assert_eq!(limit.ceiling(), 5.0);
    limit.recover(after_window.plus(4 * WINDOW).plus(Micros(1)), fault_window(), 9.0, false);
    assert_eq!(limit.ceiling(), 9.0, "the occupied slots after four fault windows");
}

#[test]
fn a_message_time_sets_the_ceiling_from_the_occupied_slots() {
    let mut limit = ConcurrencyLimit::default();
    limit.set_initial(1.0, 1.0);
    limit.on_message_time(NOW, 10.0, 0.2);
    assert_eq!((limit.ceiling(), limit.has_no_recent_fault(NOW, fault_window())), (10.0, true));
    limit.on_message_time(NOW, 10.0, 1.0);
    assert_eq!((limit.ceiling(), limit.has_no_recent_fault(NOW, fault_window())), (5.0, false));
}

#[test]
fn a_load_report_adds_this_balancers_part_of_the_remaining_capacity() {
    let mut limit = ConcurrencyLimit::default();
    let report =
        |utilisation| ReportedCapacity { utilisation, occupied_in_report: 3.0, slots_at_capacity: 20.0 };
    limit.on_load_report(NOW, fault_window(), 4.0, report(0.35));
    assert!((limit.ceiling() - 13.0).abs() < 1e-9, "ceiling {}, not 13", limit.ceiling());
    limit.on_load_report(NOW, fault_window(), 4.0, report(1.7));
    assert!(
        (limit.ceiling() - 2.0).abs() < 1e-9,
        "ceiling {}, not half of 4 occupied slots",
        limit.ceiling()
    );
}

#[test]
fn free_slots_require_that_the_connection_fits_and_overflow_is_one_slot_after_a_fault() {
    let mut limit = ConcurrencyLimit::default();
    limit.set_initial(1.0, 1.0);
    assert_eq!((limit.free_slots(1.0, 1.0, 3.0), limit.free_slots(3.0, 1.0, 3.0)), (3.0, 0.0));
    assert_eq!(limit.free_slots(1.0, 0.5, 1.0), 1.0, "half of the ceiling counts at a warmth of 0.5");
    assert_eq!(limit.overflow_slots(NOW, fault_window(), 3.0), 3.0);
    limit.on_attempt_timed_out(NOW, 1.0);
    assert_eq!(limit.overflow_slots(NOW.plus(4 * WINDOW), fault_window(), 3.0), 1.0);
}

#[test]
fn the_fault_window_is_longer_for_a_balancer_with_few_occupied_slots() {
    let mut window = fault_window();
    let fleet = |occupied_slots| FleetOccupancy { occupied_slots, servers: 30.0 };
    for (occupied, factor) in [(60.0, 1), (15.0, 2), (1.0, 4), (0.0, 4)] {
        window.adapt(WINDOW, fleet(occupied));
        assert_eq!(window.length(), WINDOW * factor, "{occupied} slots at 30 servers");
    }
}

#[test]
fn a_failing_server_is_ejected_and_readmitted_by_single_trials() {
    let times = EjectionTimes { initial: Micros::from_millis(250), max: Micros::from_secs(10) };
    let (mut detector, mut rng) = (OutlierDetector::default(), rng());
    detector.on_failure(NOW, NOW, times, &mut rng);
    let ejected_until = detector.ejected_until();
    assert!(
        (NOW.plus(SECOND / 2)..NOW.plus(3 * SECOND / 2)).contains(&ejected_until),
        "ejected until {ejected_until:?}; 250 ms doubled twice and jittered is expected"
    );
    detector.on_failure(NOW.plus(Micros(5)), NOW, times, &mut rng);
    assert_eq!(
        detector.failure_score(),
        2,
        "failures of attempts that were sent before the last failure count as one with it"
    );
    assert!(!detector.is_eligible(ejected_until.minus(Micros(1)), false));
    assert!(detector.is_eligible(ejected_until, false) && !detector.is_eligible(ejected_until, true));
    detector.on_attempt_started(ejected_until, times, &mut rng);
    assert!(!detector.is_eligible(ejected_until, false), "the next trial is allowed without a wait");
    detector.on_established();
    detector.on_established();
    assert!(detector.is_eligible(ejected_until, true));
}

#[test]
fn a_server_in_slow_start_is_paced_until_it_is_warm() {
    let (settings, budget) = (settings(), SlowStartBudget::new(NOW));
    let interval = budget.pacing_interval(&settings);
    let mut slow_start = SlowStart::of_process(Some(NOW), NOW);
    assert_eq!(slow_start.warmth(&settings, NOW), settings.slow_start_share);
    slow_start.on_attempt_started(&settings, NOW, interval);
    assert!(!slow_start.is_ready(NOW));
    let warm_at = NOW.plus(settings.slow_start_duration);
    assert!(slow_start.is_ready(warm_at));
    assert_eq!(slow_start.warmth(&settings, warm_at), 1.0);
}

#[test]
fn the_admission_rate_halves_once_in_two_objectives_and_rises_within_a_slow_start() {
    let (settings, mut rng) = (settings(), rng());
    let mut rate = AdmissionRate::new(NOW);
    assert!(rate.on_setup_succeeded(NOW, Micros::from_millis(301), &settings));
    assert!(rate.on_setup_succeeded(NOW.plus(SECOND / 2), SECOND, &settings));
    assert_eq!(rate.share(), 0.5, "a second slow setup within two objectives does not cut the rate");
    let after_rise =
        NOW.plus(SECOND / 2).plus(2 * Micros::from_millis(300)).plus(settings.slow_start_duration / 4);
    rate.admits(after_rise, &settings, &mut rng);
    assert!((rate.share() - 0.75).abs() < 1e-9, "rate {}, not 0.75", rate.share());
    assert!(
        !rate.on_setup_failed(after_rise, ServerId(1), SECOND, &settings),
        "a failure at a single server counts as correlated"
    );
    assert!(
        rate.on_setup_failed(after_rise, ServerId(2), SECOND, &settings),
        "failures at two servers do not count as correlated"
    );
    assert!(
        (rate.share() - 0.75 * 0.3).abs() < 1e-9,
        "rate {}, not 0.75 times the objective over the setup time",
        rate.share()
    );
}

/// Longest time from a failed call of discovery to the failure of the next one, while discovery is down.
const LONGEST_WAIT_FOR_CALL: Micros = Micros::from_millis(4_750);

#[test]
fn the_endpoint_list_expires_only_while_discovery_is_up_and_silent() {
    let mut lease = EndpointLease::default();
    assert_eq!(lease.expires_at(), None);
    lease.on_confirmed(NOW);
    assert!(lease.is_expired(NOW.plus(NOTIFICATION_TIMEOUT)));
    lease.on_watch_silent(NOW.plus(SECOND), NOW.plus(SECOND), false);
    assert_eq!(
        lease.expires_at(),
        Some(NOW.plus(NOTIFICATION_TIMEOUT)),
        "the lease of a silent watch counts from the last confirmation"
    );
    let mut now = NOW.plus(2 * SECOND);
    for _ in 0..20 {
        lease.on_call_failed(now, WatchFailure::Unreachable, now, false);
        now = now.plus(LONGEST_WAIT_FOR_CALL);
        assert!(!lease.is_expired(now), "the list does not expire while discovery is down");
    }
    lease.on_call_failed(now, WatchFailure::Rejected, now, false);
    assert_eq!(
        lease.expires_at(),
        Some(NOW.plus(NOTIFICATION_TIMEOUT)),
        "the list has to expire: discovery is running"
    );
}

#[test]
fn a_request_that_may_have_run_is_retried_only_where_its_key_is_recognised() {
    let keyed = Idempotency::IdempotencyKey { scope: KeyScope::Zone, window: SECOND };
    let server = |server, zone| EndpointEntry {
        server: ServerId(server),
        zone: ZoneId(zone),
        cell: CellId(0),
        ..EndpointEntry::default()
    };
    let mut retry = RetryState::default();
    retry.start_attempt();
    retry.on_attempt_ended(server(1, 1), NOW, Outcome::Rejected);
    assert!(
        retry.may_reject(Idempotency::NotIdempotent, false)
            && !retry.may_reject(Idempotency::NotIdempotent, true)
    );
    assert!(!retry.may_try(&server(1, 1), keyed, NOW), "retry at the server of the last attempt");
    retry.start_attempt();
    retry.on_attempt_ended(server(2, 1), NOW, Outcome::TimedOut);
    assert!(retry.may_try(&server(1, 1), keyed, NOW) && !retry.may_try(&server(3, 2), keyed, NOW));
    assert!(!retry.may_try(&server(1, 1), keyed, NOW.plus(SECOND)), "retry after the key's window");
    assert!(
        !retry.may_reject(keyed, false) && !retry.may_run_at(&server(1, 1), Idempotency::NotIdempotent, NOW)
    );
    assert_eq!(retry.refusal(NOW, NOW, 6), Some(RefusalReason::DeadlineExceeded));
    assert_eq!(retry.refusal(NOW, NOW.plus(SECOND), 2), Some(RefusalReason::AttemptsExhausted));
    assert_eq!(retry.refusal(NOW, NOW.plus(SECOND), 3), None);
}
