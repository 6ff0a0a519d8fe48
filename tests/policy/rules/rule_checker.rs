//! Checker of the balancer's rules. It applies events to a balancer, executes its actions, and checks each
//! action against records of its own.

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

/// Record of an attempt.
#[derive(Clone, Copy)]
struct AttemptRecord {
    number: u32,
    server: ServerId,
    sent_at: Time,
    expires_at: Time,
    is_established: bool,
}

/// Record of a request.
struct TrackedRequest {
    class: ClassId,
    deadline: Time,
    is_answered: bool,
    attempts_started: u32,
    /// The attempt in flight, or the established connection.
    attempt: Option<AttemptRecord>,
    /// The ended attempts that may have run.
    possible_runs: Vec<AttemptRecord>,
}

/// A balancer, and records of its events and actions.
pub(super) struct RuleChecker {
    harness: Harness,
    settings: Settings,
    list: BTreeMap<ServerId, EndpointEntry>,
    requests: BTreeMap<RequestId, TrackedRequest>,
    timers: Vec<Time>,
    /// All actions so far.
    pub(super) executed_actions: Vec<Action>,
}

impl TrackedRequest {
    fn is_established(&self) -> bool {
        self.attempt.is_some_and(|attempt| attempt.is_established)
    }
}

impl RuleChecker {
    pub(super) fn new(seed: u64) -> RuleChecker {
        let keyed = |scope| Idempotency::IdempotencyKey { scope, window: 700 * MS };
        let idempotencies = [
            Idempotency::Idempotent,
            keyed(KeyScope::All),
            keyed(KeyScope::Zone),
            keyed(KeyScope::Cell),
            Idempotency::NotIdempotent,
        ];
        let settings = Settings {
            classes: idempotencies.into_iter().map(class).collect(),
            balancers: 2,
            cross_zone_cost: 0.1,
            poll_required: true,
            probes_allowed: true,
            probes_report_load: true,
            probe_cost: 0.001,
            ..settings()
        };
        let list: Vec<EndpointEntry> = (0..6).map(RuleChecker::endpoint).collect();
        let mut checker = RuleChecker {
            harness: Harness::seeded(settings.clone(), &list, seed),
            settings,
            list: list.iter().map(|entry| (entry.server, *entry)).collect(),
            requests: BTreeMap::new(),
            timers: Vec::new(),
            executed_actions: Vec::new(),
        };
        checker.execute_actions();
        checker
    }

    fn endpoint(server: u32) -> EndpointEntry {
        EndpointEntry { zone: ZoneId(server as u16 % 2), cell: CellId(server / 2), ..endpoint(server) }
    }

    fn handle(&mut self, event: Event<'_>) {
        self.harness.handle(event);
        self.execute_actions();
    }

    /// Executes the actions of the last event, and checks each against the rules.
    fn execute_actions(&mut self) {
        let now = self.harness.now;
        for action in std::mem::take(&mut self.harness.actions) {
            self.executed_actions.push(action.clone());
            match action {
                Action::StartAttempt { request, server, acceptance_timeout, .. } => {
                    self.start_attempt(request, server, acceptance_timeout);
                }
                Action::Reject { request, .. } => self.reject(request),
                Action::Fail { request, .. } => self.answer(request),
                Action::CancelAttempt { request, attempt } => {
                    let started = self.requests[&request].attempts_started;
                    assert!(
                        attempt < started,
                        "attempt {attempt} cancelled, but only {started} were started"
                    );
                }
                Action::Migrate { request } => {
                    let is_established = self.requests[&request].is_established();
                    assert!(is_established, "migration of a request without an established connection");
                }
                Action::ProbeServer { server } => {
                    assert!(self.list.contains_key(&server), "probe of {server:?}, which is not listed");
                }
                Action::SetTimer(wait) => self.timers.push(now.plus(wait)),
                Action::ReportSlowSetup | Action::ReportDrop { .. } | Action::WatchEndpoints => {}
            }
        }
    }

    fn start_attempt(&mut self, request: RequestId, server: ServerId, timeout: Micros) {
        let now = self.harness.now;
        let tracked = &self.requests[&request];
        assert!(!tracked.is_answered, "attempt after the answer");
        assert!(tracked.attempt.is_none(), "two attempts in flight at the same time");
        assert!(
            tracked.attempts_started < self.settings.max_attempts,
            "attempt after {} attempts, limit {}",
            tracked.attempts_started,
            self.settings.max_attempts
        );
        assert_eq!(
            self.list[&server].state,
            EndpointState::Serving,
            "attempt at a server that is not serving"
        );
        let idempotency = self.idempotency(tracked.class);
        for earlier in &tracked.possible_runs {
            assert!(
                self.is_harmless_after(earlier, server, idempotency),
                "attempt at {server:?} may have a second effect after attempt {} at {:?}",
                earlier.number,
                earlier.server
            );
        }
        let tracked = self.requests.get_mut(&request).expect("the request should have arrived before");
        let expires_at = now.plus(timeout).min(tracked.deadline);
        let number = tracked.attempts_started;
        tracked.attempt =
            Some(AttemptRecord { number, server, sent_at: now, expires_at, is_established: false });
        tracked.attempts_started += 1;
    }

    /// Returns whether an attempt at `server` has no second effect after an attempt that may have run.
    fn is_harmless_after(&self, earlier: &AttemptRecord, server: ServerId, idempotency: Idempotency) -> bool {
        let (target, earlier_server) = (self.list[&server], self.list[&earlier.server]);
        match idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NotIdempotent => false,
            Idempotency::IdempotencyKey { scope, window } => {
                let recognises_key = match scope {
                    KeyScope::All => true,
                    KeyScope::Zone => target.zone == earlier_server.zone,
                    KeyScope::Cell => target.cell == earlier_server.cell,
                };
                self.harness.now.since(earlier.sent_at) < window && recognises_key
            }
        }
    }

    fn reject(&mut self, request: RequestId) {
        self.answer(request);
        let tracked = &self.requests[&request];
        let may_have_run = !tracked.possible_runs.is_empty() || tracked.attempt.is_some();
        let is_harmless = matches!(
            self.idempotency(tracked.class),
            Idempotency::Idempotent | Idempotency::IdempotencyKey { scope: KeyScope::All, .. }
        );
        assert!(is_harmless || !may_have_run, "rejection although a retry is not harmless");
    }

    fn answer(&mut self, request: RequestId) {
        let now = self.harness.now;
        let tracked = self.requests.get_mut(&request).expect("the request should have arrived before");
        assert!(!tracked.is_answered, "second answer to {request:?}");
        assert!(now <= tracked.deadline, "answer at {now:?}, after the deadline of {:?}", tracked.deadline);
        tracked.is_answered = true;
    }

    fn idempotency(&self, class: ClassId) -> Idempotency {
        let class = self.settings.classes.get(class.0 as usize);
        class.map_or(Idempotency::NotIdempotent, |class| class.idempotency)
    }

    /// Ends an attempt. The records show whether the request was answered before.
    fn end_attempt(&mut self, request: RequestId, outcome: Outcome) {
        let now = self.harness.now;
        let Some(tracked) = self.requests.get_mut(&request) else { return };
        let Some(attempt) = tracked.attempt.take() else { return };
        if !outcome.never_ran() {
            tracked.possible_runs.push(attempt);
        }
        tracked.is_answered |= outcome == Outcome::Ok || now >= tracked.deadline.plus(20 * MS);
        let answered = tracked.is_answered;
        self.handle(Event::AttemptEnded { request, attempt: attempt.number, outcome, answered });
    }

    /// Advances the clock, and applies timers and timeouts in the order of their times.
    fn wait(&mut self, span: Micros) {
        let end = self.harness.now.plus(span);
        loop {
            let timeouts = self.requests.iter().filter_map(|(id, tracked)| {
                let pending = tracked.attempt.filter(|attempt| !attempt.is_established);
                pending.map(|attempt| (attempt.expires_at, Some(*id)))
            });
            let timers = self.timers.iter().map(|&at| (at, None));
            // A timer precedes a timeout of the same time. A timeout after the timer is the harder case for
            // an answer in time.
            let next = timeouts.chain(timers).min().filter(|(at, _)| *at <= end);
            let Some((at, timed_out)) = next else { break };
            self.harness.now = self.harness.now.max(at);
            match timed_out {
                Some(request) => self.end_attempt(request, Outcome::TimedOut),
                None => {
                    let index =
                        self.timers.iter().position(|&timer| timer == at).expect("the timer was just found");
                    self.timers.remove(index);
                    self.handle(Event::TimerFired);
                }
            }
        }
        self.harness.now = end;
        for (id, tracked) in &self.requests {
            assert!(
                tracked.is_answered || tracked.deadline > end,
                "{id:?} has no answer at {end:?}, after its deadline of {:?}",
                tracked.deadline
            );
        }
    }

    fn nth_request(&self, index: usize, is_suitable: impl Fn(&TrackedRequest) -> bool) -> Option<RequestId> {
        let suitable: Vec<_> =
            self.requests.iter().filter(|(_, tracked)| is_suitable(tracked)).map(|(id, _)| *id).collect();
        (!suitable.is_empty()).then(|| suitable[index % suitable.len()])
    }

    pub(super) fn apply_step(&mut self, step: &Step) {
        match *step {
            Step::Arrive { class, group, timeout_ms } => self.arrive(ClassId(class), group, timeout_ms * MS),
            Step::Restore { server } => self.restore(ServerId(server)),
            Step::Establish { index } => self.establish(index),
            Step::EndAttempt { index, outcome } => {
                if let Some(request) = self.nth_request(index, |tracked| tracked.attempt.is_some()) {
                    self.end_attempt(request, OUTCOMES[outcome]);
                }
            }
            Step::ClientLeft { index } => {
                let Some(request) = self.nth_request(index, |tracked| !tracked.is_answered) else { return };
                self.requests.get_mut(&request).expect("the request was just found").is_answered = true;
                self.handle(Event::ClientLeft { request });
            }
            Step::MessageTime { index, ms } => self.measure(index, Measurement::MessageTime(ms * MS)),
            Step::Load { index, load } => self.measure(index, Measurement::Load(load)),
            Step::LoadReport { server, utilisation } => {
                let report = Some(LoadReport { utilisation, connections: Some(utilisation) });
                self.handle(Event::ProbeCompleted { server: ServerId(server), outcome: Outcome::Ok, report });
            }
            Step::UpdateEndpoint { server, state, is_restarted, is_snapshot, weight } => {
                let state = [EndpointState::Serving, EndpointState::Draining, EndpointState::Gone][state];
                let listed_start = self.list.get(&ServerId(server)).and_then(|entry| entry.started_at);
                let started_at = if is_restarted { Some(self.harness.now) } else { listed_start };
                let entry = EndpointEntry { state, started_at, weight, ..RuleChecker::endpoint(server) };
                self.update_endpoint(entry, is_snapshot);
            }
            Step::FailEndpointWatch => {
                let failure = WatchFailure::Rejected;
                self.handle(Event::EndpointWatchFailed { failure, called_at: self.harness.now });
            }
            Step::UnexpectedEvents { request, attempt } => {
                self.apply_unexpected_events(RequestId(request), attempt);
            }
            Step::Wait { ms } => self.wait(ms * MS),
        }
    }

    fn arrive(&mut self, class: ClassId, group: Option<u64>, client_timeout: Micros) {
        let (request, deadline) = (self.harness.next_request(), self.harness.now.plus(client_timeout));
        let group = group.map(GroupId);
        let tracked = TrackedRequest {
            class,
            deadline,
            is_answered: false,
            attempts_started: 0,
            attempt: None,
            possible_runs: vec![],
        };
        self.requests.insert(request, tracked);
        self.handle(Event::RequestArrived { request, class, tenant: None, group, load: None, deadline });
    }

    fn restore(&mut self, server: ServerId) {
        let (request, now, class) = (self.harness.next_request(), self.harness.now, ClassId(0));
        if self.list.contains_key(&server) {
            let connection =
                AttemptRecord { number: 0, server, sent_at: now, expires_at: now, is_established: true };
            let tracked = TrackedRequest {
                class,
                deadline: now,
                is_answered: true,
                attempts_started: 1,
                attempt: Some(connection),
                possible_runs: vec![],
            };
            self.requests.insert(request, tracked);
        }
        let (tenant, group, load) = (None, Some(GroupId(1)), Some(3.0));
        self.handle(Event::EstablishedConnectionAdded { request, class, tenant, group, load, server });
    }

    fn establish(&mut self, index: usize) {
        let is_pending = |tracked: &TrackedRequest| {
            !tracked.is_answered && tracked.attempt.is_some_and(|attempt| !attempt.is_established)
        };
        let Some(request) = self.nth_request(index, is_pending) else { return };
        let tracked = self.requests.get_mut(&request).expect("the request was just found");
        tracked.is_answered = true;
        let Some(attempt) = tracked.attempt.as_mut() else { return };
        attempt.is_established = true;
        let attempt = attempt.number;
        self.handle(Event::ConnectionEstablished { request, attempt });
    }

    fn measure(&mut self, index: usize, measurement: Measurement) {
        if let Some(request) = self.nth_request(index, TrackedRequest::is_established) {
            self.handle(Event::ConnectionMeasured { request, measurement });
        }
    }

    /// Applies a snapshot of the list, or a change that contains one entry twice.
    fn update_endpoint(&mut self, entry: EndpointEntry, is_snapshot: bool) {
        self.list.insert(entry.server, entry);
        let entries: Vec<EndpointEntry> = self.list.values().copied().collect();
        let repeated = [entry, entry];
        self.handle(if is_snapshot {
            Event::EndpointListReplaced(&entries)
        } else {
            Event::EndpointListChanged(&repeated)
        });
    }

    /// Applies an outcome of an attempt that is not in flight, because it has ended or was never started, and
    /// events of an unknown request and an unknown server. An attempt in flight is left alone.
    fn apply_unexpected_events(&mut self, request: RequestId, attempt: u32) {
        let tracked = self.requests.get(&request);
        let in_flight = tracked.and_then(|tracked| tracked.attempt);
        let answered = tracked.is_none_or(|tracked| tracked.is_answered);
        if in_flight.is_some_and(|in_flight| in_flight.number == attempt) {
            return;
        }
        let (unknown_request, unknown_server) = (RequestId(9_999), ServerId(999));
        let (outcome, measurement) = (Outcome::Reset, Measurement::Load(1.0));
        self.handle(Event::AttemptEnded { request, attempt, outcome, answered });
        self.handle(Event::ConnectionMeasured { request: unknown_request, measurement });
        self.handle(Event::ProbeCompleted { server: unknown_server, outcome: Outcome::Ok, report: None });
    }

    /// Ends all attempts and connections, and checks that no slot is occupied and no request is tracked.
    pub(super) fn end_all(&mut self) {
        self.wait(5 * SECOND);
        let has_attempt = |(_, tracked): &(&RequestId, &TrackedRequest)| tracked.attempt.is_some();
        let requests: Vec<_> = self.requests.iter().filter(has_attempt).map(|(id, _)| *id).collect();
        for request in requests {
            self.end_attempt(request, Outcome::Ok);
        }
        for server in self.list.keys() {
            assert_eq!(
                self.harness.occupied_slots(server.0),
                0.0,
                "slots are occupied at {server:?} although all attempts have ended"
            );
        }
        for request in self.requests.keys() {
            assert!(
                !self.harness.balancer.is_tracked(*request),
                "{request:?} is tracked although all attempts have ended"
            );
        }
    }
}
