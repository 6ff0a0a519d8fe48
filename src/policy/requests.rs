//! Handling of requests: admission, attempts and retries, and the single final answer.
//!
//! This module lists the steps in the order in which they happen. The rule that each step applies is in a
//! module of its own. A request is refused for the first reason that applies, in this order: admission rate,
//! deadline, number of attempts, expired endpoint list, no server. The admission rate is checked on arrival
//! only. After a failed attempt, a correlated failure is checked before the others. A refused request is
//! answered by `Action::Reject` or, if a retry may not be harmless, by `Action::Fail`.

use super::outlier_detection::{is_server_failure, EjectionTimes};
use super::request::{Attempt, Request};
use super::retry_policy::{self, RetryState};
use super::Balancer;
use crate::types::{Action, GroupId, Micros, Outcome, RefusalReason, RequestId, ServerId, Time};

impl Balancer {
    /// Admits or refuses a request that arrived. An id that is already known is ignored.
    pub(super) fn on_request_arrived(&mut self, id: RequestId, request: Request) {
        if self.requests.contains(id) {
            return;
        }
        self.requests.insert_unanswered(id, request);
        if self.admission_rate.admits(self.now, &self.settings, &mut self.rng) {
            self.try_or_answer(id);
        } else {
            self.send_final_answer(id, RefusalReason::AdmissionRate);
        }
    }

    /// Adds a connection that was established before this balancer started. It counts like a connection that
    /// this balancer placed.
    pub(super) fn on_established_connection_added(&mut self, id: RequestId, request: Request, at: ServerId) {
        if self.requests.contains(id) {
            return;
        }
        let Some(server) = self.servers.get_mut(at) else { return };
        server.connections.restore(id, request.group, request.slots);
        server.limit.raise_to(server.connections.occupied_slots());
        let mut retry = RetryState::default();
        let attempt = Attempt {
            number: retry.start_attempt(),
            endpoint: server.entry,
            incarnation: server.incarnation,
            sent_at: Time(0),
            fills_last_slot: false,
            is_established: true,
        };
        self.group_statistics.record(request.group.map(GroupId::short_hash));
        self.requests.insert_answered(id, Request { retry, attempt: Some(attempt), ..request });
    }

    /// Starts the next attempt of a request without an answer and without an attempt in flight, or sends its
    /// final answer.
    fn try_or_answer(&mut self, id: RequestId) {
        let is_pending = |request: &&Request| !request.is_answered && request.attempt.is_none();
        let Some(request) = self.requests.get(id).filter(is_pending) else { return };
        let refusal = request.retry.refusal(self.now, request.deadline, self.settings.max_attempts);
        if let Some(reason) = refusal {
            return self.send_final_answer(id, reason);
        }
        if self.endpoint_lease.is_expired(self.now) {
            return self.send_final_answer(id, RefusalReason::EndpointListExpired);
        }
        match self.select_server(id) {
            Some(server) => self.start_attempt(id, server),
            None => self.send_final_answer(id, RefusalReason::NoServer),
        }
    }

    /// Starts an attempt. Every attempt is started here.
    fn start_attempt(&mut self, id: RequestId, to: ServerId) {
        let now = self.now;
        let interval = self.slow_start_budget.pacing_interval(&self.settings);
        let Some(server) = self.servers.get_mut(to) else { return };
        let Some(request) = self.requests.get_mut(id) else { return };
        let key_window_left = request.retry.key_window_left(self.settings.idempotency(request.class), now);
        // The connection to the server may open after a delay. By then the server may be draining without a
        // notification to this balancer.
        let forwarding_timeout = key_window_left.into_iter().chain(self.endpoint_lease.time_left(now)).min();
        server.slow_start.on_attempt_started(&self.settings, now, interval);
        server.connections.start_attempt(request.group, request.slots);
        request.attempt = Some(Attempt {
            number: request.retry.start_attempt(),
            endpoint: server.entry,
            incarnation: server.incarnation,
            sent_at: now,
            fills_last_slot: server.connections.occupied_slots() >= server.limit.ceiling(),
            is_established: false,
        });
        // An attempt may use all of its client's remaining time. If it were abandoned earlier, the session
        // store would still process its setup, for no client, and the next attempt would join the same queue.
        // A server that is down is detected by the connection that cannot be opened.
        let acceptance_timeout = request.deadline.since(now).max(Micros(1));
        let action = Action::StartAttempt { request: id, server: to, acceptance_timeout, forwarding_timeout };
        self.actions.push(action);
        let times = EjectionTimes::from_settings(&self.settings);
        server.outlier.on_attempt_started(now, times, &mut self.rng);
    }

    /// Sends the final answer of a request that has no connection. Every such answer is sent here, and only
    /// once for each request. The answer is a rejection only if a retry is harmless.
    pub(super) fn send_final_answer(&mut self, id: RequestId, reason: RefusalReason) {
        let Some(request) = self.requests.get(id).filter(|request| !request.is_answered) else { return };
        let cancelled = request.attempt.filter(|_| self.settings.cancellation_allowed);
        if let Some(Attempt { number: attempt, .. }) = cancelled {
            self.actions.push(Action::CancelAttempt { request: id, attempt });
        }
        let retry_after = retry_policy::draw_retry_after(&self.settings, &mut self.rng);
        self.actions.push(if self.may_reject(id) {
            Action::Reject { request: id, reason, retry_after }
        } else {
            Action::Fail { request: id, reason }
        });
        self.requests.mark_answered(id);
    }

    /// Returns whether a request may be rejected now: a rejection promises that a retry is harmless. Returns
    /// false for an unknown request.
    pub fn may_reject(&self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(id) else { return false };
        request.retry.may_reject(self.settings.idempotency(request.class), request.attempt.is_some())
    }

    /// Records that the connection of an attempt is established, which answers the request.
    pub(super) fn on_established(&mut self, id: RequestId, number: u32) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let is_pending = |attempt: &&mut Attempt| attempt.number == number && !attempt.is_established;
        let Some(attempt) = request.attempt.as_mut().filter(is_pending) else { return };
        attempt.is_established = true;
        if let Some(server) = self.servers.get_mut_for_attempt(attempt) {
            server.connections.establish(id);
            server.outlier.on_established();
            if attempt.fills_last_slot {
                server.limit.on_last_slot_established();
            }
        }
        let setup_time = self.now.since(attempt.sent_at);
        self.group_statistics.record(request.group.map(GroupId::short_hash));
        let is_slow = self.admission_rate.on_setup_succeeded(self.now, setup_time, &self.settings);
        if is_slow {
            self.actions.push(Action::ReportSlowSetup);
        }
        self.requests.mark_answered(id);
    }

    /// Records the end of an attempt or of its established connection. A request without an answer is retried
    /// or answered.
    pub(super) fn on_attempt_ended(&mut self, id: RequestId, number: u32, outcome: Outcome, answered: bool) {
        if outcome == Outcome::Ok {
            self.on_established(id, number);
        }
        let Some(request) = self.requests.get_mut(id) else { return };
        // A late or repeated outcome must not release slots twice.
        let Some(attempt) = request.attempt.take_if(|attempt| attempt.number == number) else { return };
        request.retry.on_attempt_ended(attempt.endpoint, attempt.sent_at, outcome);
        let needs_answer = !(answered || request.is_answered);
        let is_correlated = self.record_setup_failure(&attempt, outcome);
        self.release_attempt(id, &attempt, outcome);
        if is_correlated {
            self.actions.push(Action::ReportSlowSetup);
        }
        match (needs_answer, is_correlated) {
            (false, _) => self.requests.mark_answered(id),
            (true, true) => self.send_final_answer(id, RefusalReason::CorrelatedFailure),
            (true, false) => self.try_or_answer(id),
        }
    }

    /// Records the failure in the admission rate if the attempt failed to set up a connection. Returns
    /// whether the failure is correlated with a failure of another server.
    fn record_setup_failure(&mut self, attempt: &Attempt, outcome: Outcome) -> bool {
        let has_failed = !attempt.is_established && matches!(outcome, Outcome::TimedOut | Outcome::Error);
        let setup_time = self.now.since(attempt.sent_at);
        let server = attempt.endpoint.server;
        has_failed && self.admission_rate.on_setup_failed(self.now, server, setup_time, &self.settings)
    }

    /// Releases the slots that an ended attempt occupied, and applies its outcome to the state of the server.
    fn release_attempt(&mut self, id: RequestId, attempt: &Attempt, outcome: Outcome) {
        let Some(request) = self.requests.get(id) else { return };
        let is_failure = is_server_failure(outcome, attempt.is_established, request.is_answered);
        let Some(server) = self.servers.get_mut_for_attempt(attempt) else { return };
        if attempt.is_established {
            server.connections.end_connection(id, request.group, request.slots);
        } else {
            server.connections.end_attempt(request.group, request.slots);
        }
        let occupied = server.connections.occupied_slots();
        match (attempt.is_established, outcome) {
            (_, Outcome::Rejected) | (true, Outcome::Reset) => {
                server.limit.on_rejection_or_drop(self.now, occupied);
            }
            (false, Outcome::TimedOut) => server.limit.on_attempt_timed_out(self.now, occupied),
            _ => {}
        }
        if attempt.is_established && outcome == Outcome::Reset && server.is_serving() {
            self.actions.push(Action::ReportDrop { server: attempt.endpoint.server });
        }
        if is_failure {
            self.record_server_failure(attempt.endpoint.server, attempt.sent_at);
        }
    }

    /// Answers the requests whose deadline has been reached. A server that has not answered an attempt by
    /// then has failed.
    pub(super) fn answer_overdue_requests(&mut self) {
        while let Some(id) = self.requests.next_overdue(self.now) {
            if let Some(unanswered) = self.requests.get(id).and_then(|request| request.attempt) {
                self.record_server_failure(unanswered.endpoint.server, unanswered.sent_at);
            }
            self.send_final_answer(id, RefusalReason::DeadlineExceeded);
        }
    }

    fn record_server_failure(&mut self, id: ServerId, sent_at: Time) {
        let times = EjectionTimes::from_settings(&self.settings);
        if let Some(server) = self.servers.get_mut(id) {
            server.outlier.on_failure(self.now, sent_at, times, &mut self.rng);
        }
    }
}
