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
/// Duration of a lease from a change of discovery's address to the first answer of the new one.
const LEASE_AT_NEW_ADDRESS: Micros = Micros::from_secs(4);

/// State of a lease, as far as the balancer shows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Nothing has been reported yet. The list does not expire.
    NoLease,
    /// An answer, and no change that may have been missed.
    Continuous,
    /// As `Continuous`, and then a new address of discovery.
    NewAddress,
    /// A watch without an answer.
    Silent,
    /// A watch without an answer, and then an unreachable discovery, which explains the silence.
    SilentInOutage,
    /// A call that waited, and then failed.
    Interrupted,
}

const STATES: [State; 6] = [
    State::NoLease,
    State::Continuous,
    State::NewAddress,
    State::Silent,
    State::SilentInOutage,
    State::Interrupted,
];

/// An event of the watch, about the call that was made at a time of its own.
#[derive(Clone, Copy, Debug)]
enum WatchEvent {
    Confirmed,
    Silent,
    Failed(WatchFailure),
    AddressChanged,
    Started,
}

const EVENTS: [WatchEvent; 9] = [
    WatchEvent::Started,
    WatchEvent::Confirmed,
    WatchEvent::AddressChanged,
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
            State::NewAddress => watch.report(WatchEvent::AddressChanged, 3_500 * MS, 3_500 * MS),
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
            WatchEvent::AddressChanged => Event::DiscoveryAddressChanged,
            WatchEvent::Started => Event::EndpointWatchStarted,
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
    let mut extended_lease = |failure| {
        let mut watch = replay();
        let before = watch.expires_at();
        watch.fail(failure, PROBED_AT);
        watch.expires_at().filter(|after| Some(*after) > before)
    };
    if let Some(expires_at) = extended_lease(WatchFailure::Unavailable) {
        let is_at_new_address = expires_at == PROBED_AT + LEASE_AT_NEW_ADDRESS;
        return if is_at_new_address { State::NewAddress } else { State::Continuous };
    }
    match extended_lease(WatchFailure::Unreachable) {
        Some(_) => State::Silent,
        None if replay().expires_at().is_none() => State::NoLease,
        None => State::Interrupted,
    }
}

/// Returns when the list expires after an event, in milliseconds from the start, and the state that follows.
fn expected(state: State, event: WatchEvent, is_pushed: bool) -> (Option<u64>, State) {
    use WatchFailure::{Rejected, Unanswered, Unavailable, Unreachable, WatchEnded};
    let is_silent = matches!(state, State::Silent | State::SilentInOutage);
    match (event, state) {
        (WatchEvent::Confirmed, _) => (Some(11_000), State::Continuous),

        (WatchEvent::Started, State::NoLease) => (Some(11_000), State::Continuous),
        (WatchEvent::Started, State::SilentInOutage) => (Some(10_000), State::Silent),
        (WatchEvent::Started, _) if is_silent && is_pushed => (Some(9_500), State::Silent),
        (WatchEvent::Started, state) => (Some(6_000), state),

        (WatchEvent::AddressChanged, State::NoLease) => (Some(9_000), State::NewAddress),
        (WatchEvent::AddressChanged, State::Continuous | State::NewAddress) => {
            (Some(6_000), State::NewAddress)
        }
        (WatchEvent::AddressChanged, State::SilentInOutage) => (Some(9_000), State::Silent),
        (WatchEvent::AddressChanged, _) if is_silent && is_pushed => (Some(9_000), State::Silent),
        (WatchEvent::AddressChanged, state) => (Some(6_000), state),

        (WatchEvent::Silent, State::NoLease) if is_pushed => (Some(11_000), State::Silent),
        (WatchEvent::Silent, State::NoLease) => (Some(10_900), State::Silent),
        (WatchEvent::Silent, State::Interrupted) => (Some(6_000), State::Interrupted),
        (WatchEvent::Silent, State::NewAddress) if is_pushed => (Some(9_000), State::Silent),
        (WatchEvent::Silent, _) if is_pushed => (Some(11_000), State::Silent),
        (WatchEvent::Silent, _) => (Some(6_000), State::Silent),

        (WatchEvent::Failed(_), State::NoLease) => (None, State::NoLease),
        (WatchEvent::Failed(_), State::Interrupted) => (Some(6_000), State::Interrupted),

        (WatchEvent::Failed(Unreachable | Unavailable), State::NewAddress) => {
            (Some(8_900), State::NewAddress)
        }
        (WatchEvent::Failed(Unreachable), State::Continuous) => (Some(10_900), State::Continuous),
        (WatchEvent::Failed(Unreachable), _) => (Some(10_900), State::Silent),
        (WatchEvent::Failed(Unavailable), State::Continuous) => (Some(10_900), State::Continuous),
        (WatchEvent::Failed(Unavailable), _) => (Some(6_000), State::Interrupted),

        (WatchEvent::Failed(WatchEnded), State::Continuous | State::NewAddress) => (Some(6_000), state),
        (WatchEvent::Failed(WatchEnded), State::SilentInOutage) => (Some(10_000), State::Silent),
        (WatchEvent::Failed(WatchEnded), _) if is_pushed => (Some(9_500), State::Silent),
        (WatchEvent::Failed(WatchEnded), _) => (Some(6_000), State::Silent),

        (WatchEvent::Failed(Unanswered), State::NewAddress) if is_pushed => (Some(9_000), State::NewAddress),
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

/// The latest time at which the list may expire, by a model that knows no more than the evidence.
struct LeaseBound {
    expires_at: Micros,
    extension: Micros,
    is_interrupted: bool,
}

impl LeaseBound {
    fn new() -> LeaseBound {
        LeaseBound { expires_at: ANSWERED_AT + LEASE, extension: LEASE, is_interrupted: false }
    }

    fn record(&mut self, event: WatchEvent, now: Micros, called_at: Micros, is_pushed: bool) {
        match event {
            WatchEvent::Confirmed => *self = LeaseBound { expires_at: now + LEASE, ..LeaseBound::new() },
            WatchEvent::Started => self.expires_at = self.expires_at.min(now + LEASE),
            WatchEvent::AddressChanged => {
                self.expires_at = self.expires_at.min(now + LEASE_AT_NEW_ADDRESS);
                self.extension = LEASE_AT_NEW_ADDRESS;
            }
            WatchEvent::Failed(WatchFailure::Rejected) => self.is_interrupted = true,
            WatchEvent::Failed(WatchFailure::Unreachable | WatchFailure::Unavailable) => {
                self.record_outage(called_at);
            }
            WatchEvent::Silent | WatchEvent::Failed(WatchFailure::Unanswered) if is_pushed => {
                self.record_outage(now);
            }
            WatchEvent::Silent | WatchEvent::Failed(_) => {}
        }
    }

    fn record_outage(&mut self, at: Micros) {
        if !self.is_interrupted {
            self.expires_at = self.expires_at.max(at + self.extension);
        }
    }
}

proptest! {
    /// Guards against a sequence of events after which the list expires later than its evidence allows, or not
    /// at all.
    #[test]
    fn no_sequence_of_events_extends_the_lease_beyond_its_evidence(
        events in prop::collection::vec((any_event(), 0..4_000_u64, 0..2_000_u64), 1..40),
        is_pushed: bool,
    ) {
        let mut watch = Watch::new(is_pushed);
        watch.report(WatchEvent::Confirmed, ANSWERED_AT, ANSWERED_AT);
        let (mut now, mut bound) = (ANSWERED_AT, LeaseBound::new());
        for (event, pause, waited) in events {
            let called_at = now + pause * MS;
            now = called_at + waited * MS;
            watch.report(event, now, called_at);
            bound.record(event, now, called_at, is_pushed);
            let expires_at = watch.expires_at();
            prop_assert!(
                expires_at.is_some_and(|at| at <= bound.expires_at),
                "after {:?} at {:?}: expires at {:?}, allowed until {:?}",
                event, now, expires_at, bound.expires_at
            );
        }
    }
}
