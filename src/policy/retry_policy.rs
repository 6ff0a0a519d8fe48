//! Retry policy: where a request may be tried again, when that ends, and how its client is answered.
//!
//! **What is decided.** Whether an attempt may go to a server; whether another attempt is made at all; and
//! whether the final answer without a connection is a rejection (a retry is harmless) or a failure (no
//! promise).
//!
//! **Inputs.** What the settings say of the request's class: whether repeating it is idempotent, or
//! idempotent by a key that every server, the servers of a zone or of a cell recognise for a window of time
//! (microseconds). The outcomes of its earlier attempts. The number of attempts that the settings allow. The
//! deadline of its answer.
//!
//! **Rule.**
//!
//! - An attempt *may have run* unless its outcome proves that the request had no effect: it was rejected,
//!   never sent, or not connected.
//! - Once one may have run, a retry goes only to servers where it has no second effect: anywhere if the
//!   request is idempotent, and nowhere if it is not. With a key, to the servers that recognise the key,
//!   within its window, which is counted from the first attempt that may have run. If no server is left, the
//!   request ends with `no_server`.
//! - A retry does not go to the server of the last attempt, except as the last resort of `selection`.
//! - No attempt begins after the deadline, or beyond the allowed number. The deadline is a little before the
//!   client gives up: the answer has to reach the client.
//! - The answer is a rejection if the request is idempotent, also by a key that every server recognises,
//!   whatever is left of its window; or if no attempt may have run and none is in flight. Otherwise it is a
//!   failure.
//! - A rejection advises a wait before the retry, where the settings allow it: a third to all of the longest
//!   wait.
//!
//! **Why.** A rejection promises the client that a retry is harmless, so it has to be true whatever became of
//! the attempts.

use rand::Rng;

use crate::bookkeeping::jittered;
use crate::types::{
    EndpointEntry, Idempotency, KeyScope, Micros, Outcome, RefusalReason, ServerId, Settings, Time,
};

/// The part of a client's time, as a divisor, that is left when it is answered: the answer has to reach the
/// client.
const ANSWER_TIME_DIVISOR: u64 = 64;

/// When a request of a client that gives up at `client_deadline` is answered at the latest.
pub fn answer_deadline(now: Time, client_deadline: Time) -> Time {
    client_deadline.minus(client_deadline.since(now) / ANSWER_TIME_DIVISOR)
}

/// How long a rejected client should wait before a retry: two thirds of the longest wait that clients honour,
/// jittered up to all of it. Clients that are given one time come back as one wave. Zero where the settings
/// allow no advice.
pub fn draw_retry_after(settings: &Settings, rng: &mut impl Rng) -> Micros {
    let longest = if settings.retry_after { settings.max_retry_after } else { Micros::ZERO };
    jittered(rng, longest * 2 / 3)
}

/// An attempt that may have had its effect.
#[derive(Clone, Copy, Debug)]
struct PossibleRun {
    endpoint: EndpointEntry,
    sent_at: Time,
}

/// The attempts that a request has had.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryState {
    attempts_started: u32,
    /// The server of the last attempt that ended.
    last_server: Option<ServerId>,
    /// The first attempt that may have run.
    first_possible_run: Option<PossibleRun>,
}

impl RetryState {
    /// An attempt starts. Returns its number, from 0.
    pub fn start_attempt(&mut self) -> u32 {
        let number = self.attempts_started;
        self.attempts_started += 1;
        number
    }

    /// An attempt that was sent to `endpoint` at `sent_at` ended.
    pub fn on_attempt_ended(&mut self, endpoint: EndpointEntry, sent_at: Time, outcome: Outcome) {
        self.last_server = Some(endpoint.server);
        if !outcome.never_ran() {
            self.first_possible_run.get_or_insert(PossibleRun { endpoint, sent_at });
        }
    }

    /// Why no further attempt may be made, whatever servers there are; none if one may.
    pub fn refusal(&self, now: Time, deadline: Time, max_attempts: u32) -> Option<RefusalReason> {
        if now >= deadline {
            return Some(RefusalReason::OutOfTime);
        }
        (self.attempts_started >= max_attempts).then_some(RefusalReason::AttemptsSpent)
    }

    /// Whether an attempt may go to a server.
    pub fn may_try(&self, server: &EndpointEntry, idempotency: Idempotency, now: Time) -> bool {
        self.last_server != Some(server.server) && self.may_run_at(server, idempotency, now)
    }

    /// Whether the request may run at a server, as far as its earlier attempts are concerned: a second run
    /// there has no second effect.
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

    /// For how long servers still recognise the key of a request that may have run; none without a key, or if
    /// it cannot have run.
    pub fn key_window_left(&self, idempotency: Idempotency, now: Time) -> Option<Micros> {
        let Idempotency::IdempotencyKey { window, .. } = idempotency else { return None };
        self.first_possible_run.map(|run| window.saturating_sub(now.since(run.sent_at)))
    }

    /// Whether a rejection, which promises that a retry is harmless, would be true now.
    pub fn may_reject(&self, idempotency: Idempotency, has_attempt_in_flight: bool) -> bool {
        match idempotency {
            Idempotency::Idempotent | Idempotency::IdempotencyKey { scope: KeyScope::All, .. } => true,
            _ => self.first_possible_run.is_none() && !has_attempt_in_flight,
        }
    }
}
