//! Tests of the lease on the endpoint list: every event in every state, and random sequences of events.

use connection_balancer::*;
use proptest::prelude::*;

use crate::harness::{endpoints, settings, Harness, MS, START};

/// Time of the last answer of discovery, from the start of the test, in every state that has a lease.
const ANSWERED_AT: Micros = Micros::ZERO;
/// Time of the event that a case is about.
const EVENT_AT: Micros = Micros::from_millis(5_000);
/// Time of the call that the event is about.
const CALLED_AT: Micros = Micros::from_millis(4_900);
/// Time of the failure that shows in which state the event has left the lease.
const PROBED_AT: Micros = Micros::from_millis(5_500);
/// Duration of a lease.
const LEASE: Micros = Micros::from_secs(6);

/// State of a lease, as far as the balancer shows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Nothing has been reported yet. The list does not expire.
    NoLease,
    /// An answer, and no change that may have been missed.
    Continuous,
    /// A watch without an answer.
    Silent,
    /// A watch without an answer, and then an unreachable discovery, which explains the silence.
    SilentInOutage,
    /// A call that waited, and then failed.
    Interrupted,
}

const STATES: [State; 5] =
    [State::NoLease, State::Continuous, State::Silent, State::SilentInOutage, State::Interrupted];

/// An event of the watch, about the call that was made at a time of its own.
#[derive(Clone, Copy, Debug)]
enum WatchEvent {
    Confirmed,
    Silent,
    Failed(WatchFailure),
}

const EVENTS: [WatchEvent; 7] = [
    WatchEvent::Confirmed,
    WatchEvent::Silent,
    WatchEvent::Failed(WatchFailure::Unreachable),
    WatchEvent::Failed(WatchFailure::Unavailable),
    WatchEvent::Failed(WatchFailure::WatchEnded),
    WatchEvent::Failed(WatchFailure::Unanswered),
    WatchEvent::Failed(WatchFailure::Rejected),
];

/// A balancer whose watch reports events at given times after the start.
struct Watch(Harness);

impl Watch {
    fn new(endpoints_pushed: bool) -> Watch {
        Watch(Harness::new(Settings { endpoints_pushed, ..settings() }, &endpoints(1)))
    }

    /// Returns a watch that the events of a state's definition have left in that state.
    fn in_state(state: State, endpoints_pushed: bool) -> Watch {
        let mut watch = Watch::new(endpoints_pushed);
        if state != State::NoLease {
            watch.report(WatchEvent::Confirmed, ANSWERED_AT, ANSWERED_AT);
        }
        if matches!(state, State::Silent | State::SilentInOutage) {
            watch.report(WatchEvent::Silent, 3_500 * MS, ANSWERED_AT);
        }
        match state {
            State::NoLease | State::Continuous => {}
            State::Silent => watch.fail(WatchFailure::WatchEnded, 4_000 * MS),
            State::SilentInOutage => watch.fail(WatchFailure::Unreachable, 4_000 * MS),
            State::Interrupted => watch.fail(WatchFailure::Rejected, 4_000 * MS),
        }
        watch
    }

    fn report(&mut self, event: WatchEvent, at: Micros, called_at: Micros) {
        let called_at = START.plus(called_at);
        self.0.now = START.plus(at);
        self.0.handle(match event {
            WatchEvent::Confirmed => Event::EndpointListConfirmed,
            WatchEvent::Silent => Event::EndpointWatchSilent { called_at },
            WatchEvent::Failed(failure) => Event::EndpointWatchFailed { failure, called_at },
        });
    }

    /// Reports a call that failed at the moment in which it was made.
    fn fail(&mut self, failure: WatchFailure, at: Micros) {
        self.report(WatchEvent::Failed(failure), at, at);
    }

    /// Returns the time from the start at which the list expires.
    fn expires_at(&self) -> Option<Micros> {
        self.0.balancer.endpoint_list_expires_at().map(|at| at.since(START))
    }
}

/// Returns the state in which an event leaves a watch, by the outages that extend its lease afterwards.
fn state_after(mut replay: impl FnMut() -> Watch) -> State {
    let mut extends = |failure| {
        let mut watch = replay();
        watch.fail(failure, PROBED_AT);
        watch.expires_at().map(|at| at == PROBED_AT + LEASE)
    };
    match (extends(WatchFailure::Unavailable), extends(WatchFailure::Unreachable)) {
        (None, _) => State::NoLease,
        (Some(true), _) => State::Continuous,
        (Some(false), Some(true)) => State::Silent,
        (Some(false), _) => State::Interrupted,
    }
}

/// Returns when the list expires after an event, in milliseconds from the start, and the state that follows.
fn expected(state: State, event: WatchEvent, is_pushed: bool) -> (Option<u64>, State) {
    use WatchFailure::{Rejected, Unanswered, Unavailable, Unreachable, WatchEnded};
    let is_silent = matches!(state, State::Silent | State::SilentInOutage);
    match (event, state) {
        (WatchEvent::Confirmed, _) => (Some(11_000), State::Continuous),

        (WatchEvent::Silent, State::NoLease) if is_pushed => (Some(11_000), State::Silent),
        (WatchEvent::Silent, State::NoLease) => (Some(10_900), State::Silent),
        (WatchEvent::Silent, State::Interrupted) => (Some(6_000), State::Interrupted),
        (WatchEvent::Silent, _) if is_pushed => (Some(11_000), State::Silent),
        (WatchEvent::Silent, _) => (Some(6_000), State::Silent),

        (WatchEvent::Failed(_), State::NoLease) => (None, State::NoLease),
        (WatchEvent::Failed(_), State::Interrupted) => (Some(6_000), State::Interrupted),

        (WatchEvent::Failed(Unreachable), State::Continuous) => (Some(10_900), State::Continuous),
        (WatchEvent::Failed(Unreachable), _) => (Some(10_900), State::Silent),
        (WatchEvent::Failed(Unavailable), State::Continuous) => (Some(10_900), State::Continuous),
        (WatchEvent::Failed(Unavailable), _) => (Some(6_000), State::Interrupted),

        (WatchEvent::Failed(WatchEnded), State::Continuous) => (Some(6_000), State::Continuous),
        (WatchEvent::Failed(WatchEnded), State::SilentInOutage) => (Some(10_000), State::Silent),
        (WatchEvent::Failed(WatchEnded), _) if is_pushed => (Some(9_500), State::Silent),
        (WatchEvent::Failed(WatchEnded), _) => (Some(6_000), State::Silent),

        (WatchEvent::Failed(Unanswered), State::Continuous) if is_pushed => (Some(11_000), State::Continuous),
        (WatchEvent::Failed(Unanswered), _) if is_pushed && is_silent => (Some(11_000), State::Silent),
        (WatchEvent::Failed(Unanswered), _) => (Some(6_000), State::Silent),

        (WatchEvent::Failed(Rejected), _) => (Some(6_000), State::Interrupted),
    }
}

/// Guards against a failure that clears the lease, or that renews it though discovery ran meanwhile, and against
/// an outage that does not renew it.
#[test]
fn each_event_moves_the_lease_of_each_state_as_documented() {
    for is_pushed in [false, true] {
        for state in STATES {
            for event in EVENTS {
                let replay = || {
                    let mut watch = Watch::in_state(state, is_pushed);
                    watch.report(event, EVENT_AT, CALLED_AT);
                    watch
                };
                let expires_at = replay().expires_at().map(|at| at.0 / MS.0);
                assert_eq!(
                    (expires_at, state_after(replay)),
                    expected(state, event, is_pushed),
                    "{event:?} in {state:?}, pushed: {is_pushed}"
                );
            }
        }
    }
}

fn any_event() -> impl Strategy<Value = WatchEvent> {
    proptest::sample::select(EVENTS.to_vec())
}

proptest! {
    /// Guards against a sequence of events after which the list expires later than 6 s after the last event
    /// that may prove it complete, or not at all.
    #[test]
    fn no_sequence_of_events_extends_the_lease_beyond_its_evidence(
        events in prop::collection::vec((any_event(), 0..4_000_u64, 0..2_000_u64), 1..40),
        is_pushed: bool,
    ) {
        let mut watch = Watch::new(is_pushed);
        watch.report(WatchEvent::Confirmed, ANSWERED_AT, ANSWERED_AT);
        let (mut now, mut evidence_at, mut is_interrupted) = (ANSWERED_AT, ANSWERED_AT, false);
        for (event, pause, waited) in events {
            let called_at = now + pause * MS;
            now = called_at + waited * MS;
            watch.report(event, now, called_at);
            match event {
                WatchEvent::Confirmed => (evidence_at, is_interrupted) = (now, false),
                WatchEvent::Failed(WatchFailure::Rejected) => is_interrupted = true,
                WatchEvent::Failed(WatchFailure::Unreachable | WatchFailure::Unavailable)
                    if !is_interrupted => evidence_at = called_at,
                WatchEvent::Silent | WatchEvent::Failed(WatchFailure::Unanswered)
                    if is_pushed && !is_interrupted => evidence_at = now,
                WatchEvent::Silent | WatchEvent::Failed(_) => {}
            }
            let expires_at = watch.expires_at();
            prop_assert!(
                expires_at.is_some_and(|at| at <= evidence_at + LEASE),
                "after {:?} at {:?}: expires at {:?}, evidence of {:?}", event, now, expires_at, evidence_at
            );
        }
    }
}
