//! The life of a request: admission, attempts and retries, and its one final answer.

use super::*;

/// What a ceiling keeps after a rejection or a drop: firm, as the server itself shows that it is too much.
const REJECTION_FACTOR: f64 = 0.8;
/// What it keeps after an attempt without an answer: only free slots are lost.
const TIMEOUT_FACTOR: f64 = 1.0;

impl Balancer {
    pub(super) fn admit_request(&mut self, id: RequestId, request: Request) {
        if self.requests.contains_key(&id) {
            return;
        }
        self.deadlines.insert(AnswerDeadline { due: request.due, request: id });
        self.requests.insert(id, request);
        self.admission.raise(self.now, &self.settings);
        // All that comes again at once would keep a session store in its queue for good.
        match self.admission.share >= 1.0 || self.rng.random_bool(self.admission.share) {
            true => self.continue_request(id),
            false => self.send_final_answer(id, RefusalReason::AdmissionRate),
        }
    }

    /// A connection that was open at the start counts like one that was placed here.
    pub(super) fn restore_connection(&mut self, id: RequestId, request: Request, at: ServerId) {
        let is_new = !self.requests.contains_key(&id);
        let Some(server) = self.servers.get_mut(&at).filter(|_| is_new) else { return };
        server.held.take_slots(request.group, request.slots);
        server.held.established.insert(id);
        server.learned.ceiling = server.learned.ceiling.max(server.held.slots);
        let attempt = Some(Attempt { established: true, ..server.new_attempt(0, Time(0)) });
        self.group_statistics.record(request.group.map(GroupId::short_hash));
        self.requests.insert(id, Request { answered: true, attempts: 1, attempt, ..request });
    }

    /// The next step of a request without answer and without attempt in flight: an attempt, or the answer.
    fn continue_request(&mut self, id: RequestId) {
        let is_waiting = |r: &&Request| !r.answered && r.attempt.is_none();
        let Some(request) = self.requests.get(&id).filter(is_waiting) else { return };
        if self.now >= request.due {
            return self.send_final_answer(id, RefusalReason::OutOfTime);
        }
        if request.attempts >= self.settings.max_attempts {
            return self.send_final_answer(id, RefusalReason::AttemptsSpent);
        }
        if self.is_endpoint_list_expired() {
            return self.send_final_answer(id, RefusalReason::EndpointListExpired);
        }
        match self.select_server(id) {
            Some(server) => self.start_attempt(id, server),
            None => self.send_final_answer(id, RefusalReason::NoServer),
        }
    }

    /// The one place that starts attempts.
    fn start_attempt(&mut self, id: RequestId, to: ServerId) {
        let (interval, now) = (self.slow_start_interval(), self.now);
        let list_time_left = self.endpoint_list_time_left();
        let Some(server) = self.servers.get_mut(&to) else { return };
        let Some(request) = self.requests.get_mut(&id) else { return };
        let window_left = request.window_left(self.settings.idempotency(request.class), now);
        // A connection may come up late: by then the server may drain, without a notification.
        let within = window_left.into_iter().chain(list_time_left).min();
        server.schedule_next_send(&self.settings, now, interval, interval);
        server.held.take_slots(request.group, request.slots);
        server.held.connecting += 1;
        let is_trial = server.learned.consecutive_failures > 0;
        let filled_last_slot = server.held.slots >= server.learned.ceiling;
        request.attempt = Some(Attempt { filled_last_slot, ..server.new_attempt(request.attempts, now) });
        request.attempts += 1;
        // Given up half way, it is set up all the same, for nobody: twice the work, mostly in vain, for a
        // slow session store. A server that is not there is known by the connection that cannot be opened.
        let timeout = request.due.since(now).max(Micros(1));
        self.actions.push(Action::StartAttempt { request: id, server: to, timeout, within });
        if is_trial {
            self.eject(to);
        }
    }

    /// The one place that answers. Rule 1: once; rule 2: rejected only where a retry is harmless.
    pub(super) fn send_final_answer(&mut self, id: RequestId, reason: RefusalReason) {
        let Some(request) = self.requests.get(&id).filter(|r| !r.answered) else { return };
        if let Some(Attempt { number: attempt, .. }) = request.attempt.filter(|_| self.settings.cancel) {
            self.actions.push(Action::CancelAttempt { request: id, attempt });
        }
        // Rejected clients that are given one time come back as one wave. Two thirds are jittered up to all.
        let longest = if self.settings.retry_after { self.settings.max_retry_after } else { Micros::ZERO };
        let retry_after = jittered(&mut self.rng, longest * 2 / 3);
        self.actions.push(match self.may_reject(id) {
            true => Action::Reject { request: id, reason, retry_after },
            false => Action::Fail { request: id, reason },
        });
        self.mark_answered(id);
    }

    /// No answer is owed any more; what may remain is to wait for the attempt in flight.
    pub(super) fn mark_answered(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.answered = true;
        self.deadlines.remove(&AnswerDeadline { due: request.due, request: id });
        if request.attempt.is_none() {
            self.requests.remove(&id);
        }
    }

    pub(super) fn on_established(&mut self, id: RequestId, number: u32) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let is_pending = |a: &&mut Attempt| a.number == number && !a.established;
        let Some(attempt) = request.attempt.as_mut().filter(is_pending) else { return };
        attempt.established = true;
        let (setup_time, objective) = (self.now.since(attempt.sent_at), self.settings.setup_objective());
        if let Some(server) = server_of(attempt, &mut self.servers) {
            server.held.connecting -= 1;
            server.held.established.insert(id);
            server.learned.consecutive_failures = server.learned.consecutive_failures.saturating_sub(1);
            if attempt.filled_last_slot {
                server.learned.ceiling += 1.0;
            }
        }
        self.group_statistics.record(request.group.map(GroupId::short_hash));
        self.admission.last_failed_setup = None;
        if objective > Micros::ZERO && setup_time > objective {
            self.admission.decrease(self.now, Micros::ZERO, &self.settings);
            self.actions.push(Action::ReportSlowSetup);
        }
        self.mark_answered(id);
    }

    pub(super) fn on_attempt_ended(&mut self, id: RequestId, number: u32, outcome: Outcome, answered: bool) {
        if outcome == Outcome::Ok {
            self.on_established(id, number);
        }
        let Some(request) = self.requests.get_mut(&id) else { return };
        // A late or repeated outcome must not release slots twice.
        let Some(attempt) = request.attempt.take_if(|a| a.number == number) else { return };
        request.last_server = Some(attempt.endpoint.server);
        if !outcome.never_ran() {
            request.may_have_run.get_or_insert(attempt);
        }
        let needs_answer = !(answered || request.answered);
        let has_failed = !attempt.established && matches!(outcome, Outcome::TimedOut | Outcome::Error);
        let is_correlated = has_failed && self.record_failed_setup(attempt.endpoint.server);
        self.release_attempt(id, &attempt, outcome);
        if is_correlated {
            self.admission.decrease(self.now, self.now.since(attempt.sent_at), &self.settings);
            self.actions.push(Action::ReportSlowSetup);
        }
        match needs_answer {
            false => self.mark_answered(id),
            // What the servers share is not elsewhere, and each further attempt is in its queue.
            true if is_correlated => self.send_final_answer(id, RefusalReason::CorrelatedFailure),
            true => self.continue_request(id),
        }
    }

    /// Frees what an ended attempt held, and applies what its outcome shows of the server.
    fn release_attempt(&mut self, id: RequestId, attempt: &Attempt, outcome: Outcome) {
        let Some(request) = self.requests.get(&id) else { return };
        let Some(server) = server_of(attempt, &mut self.servers) else { return };
        let now = self.now;
        server.held.connecting -= u32::from(!attempt.established);
        server.held.established.remove(&id);
        server.held.free_slots(request.group, request.slots);
        match (attempt.established, outcome) {
            (_, Outcome::Rejected) | (true, Outcome::Reset) => server.decrease_ceiling(now, REJECTION_FACTOR),
            (false, Outcome::TimedOut) => server.decrease_ceiling(now, TIMEOUT_FACTOR),
            _ => {}
        }
        if attempt.established && outcome == Outcome::Reset && server.is_serving() {
            self.actions.push(Action::ReportDrop { server: attempt.endpoint.server });
        }
        // A server that drops what it has accepted always shows free slots, and would get every connection.
        let is_failure = match outcome {
            Outcome::Ok | Outcome::NotSent => false,
            Outcome::Cancelled => !attempt.established && !request.answered,
            _ => true,
        };
        if is_failure {
            self.record_failure(attempt.endpoint.server, attempt.sent_at);
        }
    }

    /// Rule 2: whether a rejection, which promises that a retry is harmless, would be true.
    pub fn may_reject(&self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        match self.settings.idempotency(request.class) {
            Idempotency::Idempotent | Idempotency::IdempotencyKey { scope: KeyScope::All, .. } => true,
            _ => request.may_have_run.is_none() && request.attempt.is_none(),
        }
    }
}

impl Request {
    /// Rule 2: once an attempt may have run, another goes only where it has no second effect.
    pub(super) fn may_run_at(&self, server: &Server, idempotency: Idempotency, now: Time) -> bool {
        let Some(first) = self.may_have_run.map(|attempt| attempt.endpoint) else { return true };
        let recognises_key = match idempotency {
            Idempotency::Idempotent => return true,
            Idempotency::NotIdempotent => false,
            Idempotency::IdempotencyKey { scope: KeyScope::All, .. } => true,
            Idempotency::IdempotencyKey { scope: KeyScope::Zone, .. } => server.entry.zone == first.zone,
            Idempotency::IdempotencyKey { scope: KeyScope::Cell, .. } => server.entry.cell == first.cell,
        };
        recognises_key && self.window_left(idempotency, now) > Some(Micros::ZERO)
    }
}
