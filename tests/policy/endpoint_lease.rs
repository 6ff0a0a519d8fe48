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

/// State in which an event finds a lease. The letter is that of the cells in [`TRANSITIONS`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Nothing has been reported yet. The list does not expire (`-`).
    NoLease,
    /// An answer, and no change that may have been missed (`C`).
    Continuous,
    /// As `Continuous`, and then a new address of discovery (`A`).
    NewAddress,
    /// A watch without an answer (`S`).
    Silent,
    /// As `Silent`, and then an unreachable discovery, which explains the silence (`S`).
    SilentInOutage,
    /// A call that waited, and then failed (`I`).
    Interrupted,
}

/// The states, in the order of the cells in [`TRANSITIONS`].
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
    Started,
    AddressChanged,
    Confirmed,
    Silent,
    Failed(WatchFailure),
}

/// What follows an event at [`EVENT_AT`] in each state: the time of expiry in seconds, and the letter of the state.
struct Transitions {
    event: WatchEvent,
    cells: [&'static str; 6],
    /// The cells where lists are pushed to an agent.
    pushed: [&'static str; 6],
}

const fn row(event: WatchEvent, cells: [&'static str; 6], pushed: [&'static str; 6]) -> Transitions {
    Transitions { event, cells, pushed }
}

#[rustfmt::skip]
const TRANSITIONS: [Transitions; 9] = [
    row(WatchEvent::Started,
        ["11.0 C", "6.0 C", "6.0 A", "6.0 S", "10.0 S", "6.0 I"],
        ["11.0 C", "6.0 C", "6.0 A", "9.5 S", "10.0 S", "6.0 I"]),
    row(WatchEvent::AddressChanged,
        ["9.0 A", "6.0 A", "6.0 A", "6.0 S", "9.0 S", "6.0 I"],
        ["9.0 A", "6.0 A", "6.0 A", "9.0 S", "9.0 S", "6.0 I"]),
    row(WatchEvent::Confirmed, ["11.0 C"; 6], ["11.0 C"; 6]),
    row(WatchEvent::Silent,
        ["10.9 S", "6.0 S", "6.0 S", "6.0 S", "6.0 S", "6.0 I"],
        ["11.0 S", "11.0 S", "9.0 S", "11.0 S", "11.0 S", "6.0 I"]),
    row(WatchEvent::Failed(WatchFailure::Unreachable),
        ["-", "10.9 C", "8.9 A", "10.9 S", "10.9 S", "6.0 I"],
        ["-", "10.9 C", "8.9 A", "10.9 S", "10.9 S", "6.0 I"]),
    row(WatchEvent::Failed(WatchFailure::Unavailable),
        ["-", "10.9 C", "8.9 A", "6.0 I", "6.0 I", "6.0 I"],
        ["-", "10.9 C", "8.9 A", "6.0 I", "6.0 I", "6.0 I"]),
    row(WatchEvent::Failed(WatchFailure::WatchEnded),
        ["-", "6.0 C", "6.0 A", "6.0 S", "10.0 S", "6.0 I"],
        ["-", "6.0 C", "6.0 A", "9.5 S", "10.0 S", "6.0 I"]),
    row(WatchEvent::Failed(WatchFailure::Unanswered),
        ["-", "6.0 S", "6.0 S", "6.0 S", "6.0 S", "6.0 I"],
        ["-", "11.0 C", "9.0 A", "11.0 S", "11.0 S", "6.0 I"]),
    row(WatchEvent::Failed(WatchFailure::Rejected),
        ["-", "6.0 I", "6.0 I", "6.0 I", "6.0 I", "6.0 I"],
        ["-", "6.0 I", "6.0 I", "6.0 I", "6.0 I", "6.0 I"]),
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

/// Returns the letter of the state in which an event leaves a watch, by the outages that extend its lease afterwards.
fn letter_after(mut replay: impl FnMut() -> Watch) -> char {
    let mut extended_lease = |failure| {
        let mut watch = replay();
        let before = watch.expires_at();
        watch.fail(failure, PROBED_AT);
        watch.expires_at().filter(|after| Some(*after) > before)
    };
    match (extended_lease(WatchFailure::Unavailable), extended_lease(WatchFailure::Unreachable)) {
        (Some(expires_at), _) if expires_at == PROBED_AT + LEASE_AT_NEW_ADDRESS => 'A',
        (Some(_), _) => 'C',
        (None, Some(_)) => 'S',
        (None, None) => 'I',
    }
}

/// Returns the cell of [`TRANSITIONS`] that describes an event in a state.
fn cell(state: State, event: WatchEvent, is_pushed: bool) -> String {
    let replay = || {
        let mut watch = Watch::in_state(state, is_pushed);
        watch.report(event, EVENT_AT, CALLED_AT);
        watch
    };
    match (replay().expires_at(), letter_after(replay)) {
        // No outage starts a lease on a list that does not expire.
        (None, 'I') => "-".to_owned(),
        (None, letter) => format!("- {letter}"),
        (Some(at), letter) => format!("{:.1} {letter}", at.0 as f64 / 1e6),
    }
}

/// Guards against a failure that clears the lease, or that renews it though discovery ran meanwhile, and against
/// an outage that does not renew it.
#[test]
fn each_event_moves_the_lease_of_each_state_as_documented() {
    for Transitions { event, cells, pushed } in TRANSITIONS {
        for (is_pushed, expected) in [(false, cells), (true, pushed)] {
            let actual = STATES.map(|state| cell(state, event, is_pushed));
            assert_eq!(actual, expected, "{event:?} in {STATES:?}, pushed: {is_pushed}");
        }
    }
}

fn any_event() -> impl Strategy<Value = WatchEvent> {
    proptest::sample::select(TRANSITIONS.map(|row| row.event).to_vec())
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
