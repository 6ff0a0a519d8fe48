//! Retry policy: where a request may be retried, when retries end, and how its client is answered.
//!
//! **What is decided.** Whether an attempt may be sent to a server; whether another attempt is made at all;
//! and whether the final answer without a connection is a rejection (a retry is harmless) or a failure (no
//! promise).
//!
//! **Inputs.** The settings of the request's class: whether repeating it is idempotent, or idempotent by a
//! key that every server, the servers of a zone or the servers of a cell recognise for a window of time
//! (microseconds). The outcomes of the request's earlier attempts. The number of attempts that the settings
//! allow. The deadline of the answer.
//!
//! **Rule.**
//!
//! - An attempt *may have run* unless its outcome proves that the request had no effect: it was rejected,
//!   never sent, or not connected.
//! - After an attempt that may have run, a retry is sent only to servers where it has no second effect. For
//!   an idempotent request this is any server, for a request that is not idempotent no server. For a request
//!   with a key, these are the servers that recognise the key, within the key's window, which is counted from
//!   the first attempt that may have run. If no server is left, the request ends with `no_server`.
//! - A retry is not sent to the server of the last attempt, except as the last resort of `selection`.
//! - No attempt starts after the deadline, or beyond the allowed number. The deadline is a little earlier
//!   than the time at which the client gives up, because the answer has to reach the client.
//! - The answer is a rejection if the request is idempotent, including idempotence by a key that every server
//!   recognises, even after the key's window. It is also a rejection if no attempt may have run and none is
//!   in flight. Otherwise it is a failure.
//! - If the settings allow it, a rejection advises a wait before the retry: a third to all of the longest
//!   Retry-After.
//!
//! **Why.** A rejection promises the client that a retry is harmless. The promise has to be true for every
//! possible result of the attempts.

use rand::Rng;

use crate::bookkeeping::jittered;
use crate::types::{
    EndpointEntry, Idempotency, KeyScope, Micros, Outcome, RefusalReason, ServerId, Settings, Time,
};

/// Divisor of a client's remaining time that gives the time reserved for sending the answer to the client.
const ANSWER_TIME_DIVISOR: u64 = 64;

/// Returns the latest time at which the request of a client that gives up at `client_deadline` is answered.
pub fn answer_deadline(now: Time, client_deadline: Time) -> Time {
    client_deadline.minus(client_deadline.since(now) / ANSWER_TIME_DIVISOR)
}

/// Draws the wait that a rejected client is advised to make before a retry: two thirds of the longest
/// Retry-After that clients honour, jittered to between a third and all of it. A common wait would make all
/// rejected clients reconnect at the same time. Returns zero if the settings do not allow the advice.
pub fn draw_retry_after(settings: &Settings, rng: &mut impl Rng) -> Micros {
    let longest = if settings.retry_after_supported { settings.max_retry_after } else { Micros::ZERO };
    jittered(rng, longest * 2 / 3)
}

/// An attempt whose request may have had its effect.
#[derive(Clone, Copy, Debug)]
struct PossibleRun {
    endpoint: EndpointEntry,
    sent_at: Time,
}

/// Record of the attempts of one request.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryState {
    attempts_started: u32,
    /// Server of the last attempt that ended.
    last_server: Option<ServerId>,
    /// First attempt that may have run.
    first_possible_run: Option<PossibleRun>,
}

impl RetryState {
    /// Records the start of an attempt and returns its number, from 0.
    pub fn start_attempt(&mut self) -> u32 {
        let number = self.attempts_started;
        self.attempts_started += 1;
        number
    }

    /// Records the end of an attempt that was sent to `endpoint` at `sent_at`.
    pub fn on_attempt_ended(&mut self, endpoint: EndpointEntry, sent_at: Time, outcome: Outcome) {
        self.last_server = Some(endpoint.server);
        if !outcome.never_ran() {
            self.first_possible_run.get_or_insert(PossibleRun { endpoint, sent_at });
        }
    }

    /// Returns the reason why no further attempt may be made at any server; none if an attempt may be made.
    pub fn refusal(&self, now: Time, deadline: Time, max_attempts: u32) -> Option<RefusalReason> {
        if now >= deadline {
            return Some(RefusalReason::DeadlineExceeded);
        }
        (self.attempts_started >= max_attempts).then_some(RefusalReason::AttemptsExhausted)
    }

    /// Returns whether an attempt may be sent to a server.
    pub fn may_try(&self, server: &EndpointEntry, idempotency: Idempotency, now: Time) -> bool {
        self.last_server != Some(server.server) && self.may_run_at(server, idempotency, now)
    }

    /// Returns whether the request may run at a server after its earlier attempts: it is certain that none of
    /// these has run, or a second run has no second effect there.
    pub fn may_run_at(&self, server: &EndpointEntry, idempotency: Idempotency, now: Time) -> bool {
        let Some(PossibleRun { endpoint: first, .. }) = self.first_possible_run else { return true };
        let Idempotency::IdempotencyKey { scope, .. } = idempotency else {
            return idempotency == Idempotency::Idempotent;
        };
        let recognises_key = match scope {
            KeyScope::All => true,
            KeyScope::Zone => server.zone == first.zone,
            KeyScope::Cell => server.cell == first.cell,
        };
        recognises_key && self.key_window_left(idempotency, now) > Some(Micros::ZERO)
    }

    /// Returns the time for which servers still recognise the key of a request that may have run; none for a
    /// request without a key, or if no attempt may have run.
    pub fn key_window_left(&self, idempotency: Idempotency, now: Time) -> Option<Micros> {
        let Idempotency::IdempotencyKey { window, .. } = idempotency else { return None };
        self.first_possible_run.map(|run| window.saturating_sub(now.since(run.sent_at)))
    }

    /// Returns whether the request may be rejected now: a rejection promises that a retry is harmless.
    pub fn may_reject(&self, idempotency: Idempotency, has_attempt_in_flight: bool) -> bool {
        match idempotency {
            Idempotency::Idempotent | Idempotency::IdempotencyKey { scope: KeyScope::All, .. } => true,
            _ => self.first_possible_run.is_none() && !has_attempt_in_flight,
        }
    }
}
