//! Hands events to a balancer, carries out its actions, and checks each action against records of its own.

use std::collections::BTreeMap;

use connection_balancer::*;

use super::Step;
use crate::harness::{class, endpoint, settings, Harness, MS, SECOND};

const OUTCOMES: [Outcome; 8] = [
    Outcome::Ok,
    Outcome::Error,
    Outcome::Rejected,
    Outcome::TimedOut,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Cancelled,
    Outcome::NotSent,
];

/// An attempt in the records.
#[derive(Clone, Copy)]
struct InFlight {
    number: u32,
    server: ServerId,
    sent: Time,
    expires: Time,
    established: bool,
}

/// A request in the records.
struct TrackedRequest {
    class: ClassId,
    deadline: Time,
    answered: bool,
    attempts: u32,
    /// The attempt in flight, or the established connection.
    in_flight: Option<InFlight>,
    /// The ended attempts that may have run.
    may_have_run: Vec<InFlight>,
}

/// A balancer, and records of what it was handed and did.
pub(super) struct RuleChecker {
    harness: Harness,
    settings: Settings,
    list: BTreeMap<ServerId, EndpointEntry>,
    requests: BTreeMap<RequestId, TrackedRequest>,
    timers: Vec<Time>,
    /// All actions so far.
    pub(super) log: Vec<Action>,
}

impl TrackedRequest {
    fn is_established(&self) -> bool {
        self.in_flight.is_some_and(|attempt| attempt.established)
    }
}

impl RuleChecker {
    pub(super) fn new(seed: u64) -> RuleChecker {
        let keyed = |scope| Idempotency::IdempotencyKey { scope, window: 700 * MS };
        let repeats = [
            Idempotency::Idempotent,
            keyed(KeyScope::All),
            keyed(KeyScope::Zone),
            keyed(KeyScope::Cell),
            Idempotency::NotIdempotent,
        ];
        let settings = Settings {
            classes: repeats.into_iter().map(class).collect(),
            balancers: 2,
            cross_zone_cost: 0.1,
            poll_required: true,
            probes: true,
            probe_reports: true,
            probe_cost: 0.001,
            ..settings()
        };
        let list: Vec<EndpointEntry> = (0..6).map(RuleChecker::endpoint).collect();
        let mut checker = RuleChecker {
            harness: Harness::seeded(settings.clone(), &list, seed),
            settings,
            list: list.iter().map(|l| (l.server, *l)).collect(),
            requests: BTreeMap::new(),
            timers: Vec::new(),
            log: Vec::new(),
        };
        checker.carry_out();
        checker
    }

    fn endpoint(server: u32) -> EndpointEntry {
        EndpointEntry { zone: ZoneId(server as u16 % 2), cell: CellId(server / 2), ..endpoint(server) }
    }

    fn event(&mut self, event: Event<'_>) {
        self.harness.handle(event);
        self.carry_out();
    }

    /// Carries out the actions of the last event, and checks each against the rules.
    fn carry_out(&mut self) {
        let now = self.harness.now;
        for action in std::mem::take(&mut self.harness.actions) {
            self.log.push(action.clone());
            match action {
                Action::StartAttempt { request, server, timeout, .. } => {
                    self.start_attempt(request, server, timeout);
                }
                Action::Reject { request, .. } => self.reject(request),
                Action::Fail { request, .. } => self.answer(request),
                Action::CancelAttempt { request, attempt } => {
                    assert!(attempt < self.requests[&request].attempts, "an attempt that was made");
                }
                Action::Migrate { request } => {
                    let is_established = self.requests[&request].is_established();
                    assert!(is_established, "an established connection");
                }
                Action::ProbeServer { server } => assert!(self.list.contains_key(&server)),
                Action::SetTimer(wait) => self.timers.push(now.plus(wait)),
                Action::ReportSlowSetup | Action::ReportDrop { .. } | Action::WatchEndpoints => {}
            }
        }
    }

    fn start_attempt(&mut self, request: RequestId, server: ServerId, timeout: Micros) {
        let now = self.harness.now;
        let tracked = &self.requests[&request];
        assert!(!tracked.answered, "nothing is sent after the answer");
        assert!(tracked.in_flight.is_none(), "never two attempts in flight");
        assert!(tracked.attempts < self.settings.max_attempts, "attempt limit");
        assert_eq!(self.list[&server].state, EndpointState::Serving, "drains are kept");
        let idempotency = self.idempotency(tracked.class);
        for earlier in &tracked.may_have_run {
            assert!(self.is_harmless_after(earlier, server, idempotency), "no effect twice");
        }
        let tracked = self.requests.get_mut(&request).expect("a request that was handed in");
        let expires = now.plus(timeout).min(tracked.deadline);
        let number = tracked.attempts;
        tracked.in_flight = Some(InFlight { number, server, sent: now, expires, established: false });
        tracked.attempts += 1;
    }

    /// Whether an attempt at `server` has no second effect after one that may have run.
    fn is_harmless_after(&self, earlier: &InFlight, server: ServerId, idempotency: Idempotency) -> bool {
        let (at, ran) = (self.list[&server], self.list[&earlier.server]);
        match idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NotIdempotent => false,
            Idempotency::IdempotencyKey { scope, window } => {
                let recognises_key = match scope {
                    KeyScope::All => true,
                    KeyScope::Zone => at.zone == ran.zone,
                    KeyScope::Cell => at.cell == ran.cell,
                };
                self.harness.now.since(earlier.sent) < window && recognises_key
            }
        }
    }

    fn reject(&mut self, request: RequestId) {
        self.answer(request);
        let tracked = &self.requests[&request];
        let may_have_run = !tracked.may_have_run.is_empty() || tracked.in_flight.is_some();
        let is_harmless = matches!(
            self.idempotency(tracked.class),
            Idempotency::Idempotent | Idempotency::IdempotencyKey { scope: KeyScope::All, .. }
        );
        assert!(is_harmless || !may_have_run, "a rejection is true");
    }

    fn answer(&mut self, request: RequestId) {
        let now = self.harness.now;
        let tracked = self.requests.get_mut(&request).expect("a request that was handed in");
        assert!(!tracked.answered, "one answer");
        assert!(now <= tracked.deadline, "in time");
        tracked.answered = true;
    }

    fn idempotency(&self, class: ClassId) -> Idempotency {
        let class = self.settings.classes.get(class.0 as usize);
        class.map_or(Idempotency::NotIdempotent, |class| class.idempotency)
    }

    /// Ends an attempt; the records show whether the request has had its answer.
    fn end(&mut self, request: RequestId, outcome: Outcome) {
        let now = self.harness.now;
        let Some(tracked) = self.requests.get_mut(&request) else { return };
        let Some(attempt) = tracked.in_flight.take() else { return };
        if !outcome.never_ran() {
            tracked.may_have_run.push(attempt);
        }
        tracked.answered |= outcome == Outcome::Ok || now >= tracked.deadline.plus(20 * MS);
        let answered = tracked.answered;
        self.event(Event::AttemptEnded { request, attempt: attempt.number, outcome, answered });
    }

    /// Advances the clock, with timers and time-outs in order.
    fn wait(&mut self, span: Micros) {
        let end = self.harness.now.plus(span);
        loop {
            let expiring = self.requests.iter().filter_map(|(id, tracked)| {
                tracked.in_flight.filter(|a| !a.established).map(|a| (a.expires, Some(*id)))
            });
            let firing = self.timers.iter().map(|&at| (at, None));
            // At the same time a timer comes first: the harder case for the answer in time is after it.
            let next = expiring.chain(firing).min().filter(|(at, _)| *at <= end);
            let Some((at, what)) = next else { break };
            self.harness.now = self.harness.now.max(at);
            match what {
                Some(request) => self.end(request, Outcome::TimedOut),
                None => {
                    let place = self.timers.iter().position(|&timer| timer == at).expect("just found");
                    self.timers.remove(place);
                    self.event(Event::TimerFired);
                }
            }
        }
        self.harness.now = end;
        for tracked in self.requests.values() {
            assert!(tracked.answered || tracked.deadline > end, "no request is lost");
        }
    }

    fn nth_request(&self, index: usize, fit: impl Fn(&TrackedRequest) -> bool) -> Option<RequestId> {
        let fitting: Vec<_> =
            self.requests.iter().filter(|(_, tracked)| fit(tracked)).map(|(id, _)| *id).collect();
        (!fitting.is_empty()).then(|| fitting[index % fitting.len()])
    }

    pub(super) fn take_step(&mut self, step: &Step) {
        match *step {
            Step::Arrive { class, group, live_ms } => self.arrive(ClassId(class), group, live_ms * MS),
            Step::Restore { server } => self.restore(ServerId(server)),
            Step::Establish { index } => self.establish(index),
            Step::End { index, outcome } => {
                if let Some(request) = self.nth_request(index, |tracked| tracked.in_flight.is_some()) {
                    self.end(request, OUTCOMES[outcome]);
                }
            }
            Step::Leave { index } => {
                let Some(request) = self.nth_request(index, |tracked| !tracked.answered) else { return };
                self.requests.get_mut(&request).expect("just found").answered = true;
                self.event(Event::ClientLeft { request });
            }
            Step::Slow { index, ms } => self.measure(index, Measurement::MessageTime(ms * MS)),
            Step::Load { index, load } => self.measure(index, Measurement::Load(load)),
            Step::LoadReport { server, utilisation } => {
                let report = Some(LoadReport { utilisation, connections: Some(utilisation) });
                self.event(Event::ProbeCompleted { server: ServerId(server), outcome: Outcome::Ok, report });
            }
            Step::UpdateEndpoint { server, state, restarted, is_snapshot, weight } => {
                let state = [EndpointState::Serving, EndpointState::Draining, EndpointState::Gone][state];
                let old = self.list.get(&ServerId(server)).and_then(|l| l.started);
                let started = if restarted { Some(self.harness.now) } else { old };
                let entry = EndpointEntry { state, started, weight, ..RuleChecker::endpoint(server) };
                self.update_endpoint(entry, is_snapshot);
            }
            Step::FailEndpointWatch => self.event(Event::EndpointWatchFailed(WatchFailure::Rejected)),
            Step::Stray { request, attempt } => self.hand_in_stray_events(RequestId(request), attempt),
            Step::Wait { ms } => self.wait(ms * MS),
        }
    }

    fn arrive(&mut self, class: ClassId, group: Option<u64>, live: Micros) {
        let (request, deadline) = (self.harness.next_request(), self.harness.now.plus(live));
        let group = group.map(GroupId);
        let tracked = TrackedRequest {
            class,
            deadline,
            answered: false,
            attempts: 0,
            in_flight: None,
            may_have_run: vec![],
        };
        self.requests.insert(request, tracked);
        self.event(Event::RequestArrived { request, class, tenant: None, group, load: None, deadline });
    }

    fn restore(&mut self, server: ServerId) {
        let (request, now, class) = (self.harness.next_request(), self.harness.now, ClassId(0));
        if self.list.contains_key(&server) {
            let connection = InFlight { number: 0, server, sent: now, expires: now, established: true };
            let tracked = TrackedRequest {
                class,
                deadline: now,
                answered: true,
                attempts: 1,
                in_flight: Some(connection),
                may_have_run: vec![],
            };
            self.requests.insert(request, tracked);
        }
        let (tenant, group, load) = (None, Some(GroupId(1)), Some(3.0));
        self.event(Event::ConnectionRestored { request, class, tenant, group, load, server });
    }

    fn establish(&mut self, index: usize) {
        let is_waiting = |tracked: &TrackedRequest| {
            !tracked.answered && tracked.in_flight.is_some_and(|attempt| !attempt.established)
        };
        let Some(request) = self.nth_request(index, is_waiting) else { return };
        let tracked = self.requests.get_mut(&request).expect("just found");
        tracked.answered = true;
        let Some(in_flight) = tracked.in_flight.as_mut() else { return };
        in_flight.established = true;
        let attempt = in_flight.number;
        self.event(Event::ConnectionEstablished { request, attempt });
    }

    fn measure(&mut self, index: usize, measurement: Measurement) {
        if let Some(request) = self.nth_request(index, TrackedRequest::is_established) {
            self.event(Event::ConnectionMeasured { request, measurement });
        }
    }

    /// Hands in a snapshot of the list, or one entry of it twice.
    fn update_endpoint(&mut self, entry: EndpointEntry, is_snapshot: bool) {
        self.list.insert(entry.server, entry);
        let entries: Vec<EndpointEntry> = self.list.values().copied().collect();
        let twice = [entry, entry];
        self.event(if is_snapshot {
            Event::EndpointsReplaced(&entries)
        } else {
            Event::EndpointsChanged(&twice)
        });
    }

    /// Repeated and unknown outcomes: only for what has no attempt of that number in flight.
    fn hand_in_stray_events(&mut self, request: RequestId, attempt: u32) {
        let tracked = self.requests.get(&request);
        let in_flight = tracked.and_then(|tracked| tracked.in_flight);
        let answered = tracked.is_none_or(|tracked| tracked.answered);
        if in_flight.is_some_and(|in_flight| in_flight.number == attempt) {
            return;
        }
        let (unknown_request, unknown_server) = (RequestId(9_999), ServerId(999));
        let (outcome, measurement) = (Outcome::Reset, Measurement::Load(1.0));
        self.event(Event::AttemptEnded { request, attempt, outcome, answered });
        self.event(Event::ConnectionMeasured { request: unknown_request, measurement });
        self.event(Event::ProbeCompleted { server: unknown_server, outcome: Outcome::Ok, report: None });
    }

    /// Ends all attempts in flight; then no slot may be occupied anywhere.
    pub(super) fn end_all(&mut self) {
        self.wait(5 * SECOND);
        let has_attempt = |(_, tracked): &(&RequestId, &TrackedRequest)| tracked.in_flight.is_some();
        let requests: Vec<_> = self.requests.iter().filter(has_attempt).map(|(id, _)| *id).collect();
        for request in requests {
            self.end(request, Outcome::Ok);
        }
        for server in self.list.keys() {
            assert_eq!(self.harness.occupied_slots(server.0), 0.0, "occupancy is conserved");
        }
        for request in self.requests.keys() {
            assert!(!self.harness.balancer.is_tracked(*request), "nothing is kept of what has ended");
        }
    }
}
