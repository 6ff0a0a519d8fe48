//! What the balancer keeps of a request: its attempts, and by when it is owed an answer.

use crate::types::{ClassId, EndpointEntry, GroupId, Idempotency, Micros, RequestId, ServerId, Time};

/// An attempt that has no outcome yet.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Number among the attempts of its request, from 0.
    pub number: u32,
    /// The endpoint list's entry of its server when it was sent.
    pub endpoint: EndpointEntry,
    /// The number of the server's process.
    pub incarnation: u64,
    /// When it was sent.
    pub sent_at: Time,
    /// It took the last free slot, or one over.
    pub filled_last_slot: bool,
    /// Its connection is established.
    pub established: bool,
}

/// A request from its arrival until it is answered and its last attempt has ended.
#[derive(Debug, Default)]
pub struct Request {
    /// Its class.
    pub class: ClassId,
    /// Its group, if any.
    pub group: Option<GroupId>,
    /// Slots that it takes: its load over a mean connection's, as far as that is known.
    pub slots: f64,
    /// When it is answered at the latest.
    pub due: Time,
    /// It has had its final answer.
    pub answered: bool,
    /// Its client was asked to reconnect.
    pub migrating: bool,
    /// Attempts started so far.
    pub attempts: u32,
    /// The attempt in flight, or its established connection.
    pub attempt: Option<Attempt>,
    /// The server of the last attempt that ended.
    pub last_server: Option<ServerId>,
    /// The first attempt that may have run.
    pub may_have_run: Option<Attempt>,
}

impl Request {
    /// How long repeats of what may have run are still dropped.
    pub fn window_left(&self, idempotency: Idempotency, now: Time) -> Option<Micros> {
        let Idempotency::IdempotencyKey { window, .. } = idempotency else { return None };
        self.may_have_run.map(|attempt| window.saturating_sub(now.since(attempt.sent_at)))
    }
}

/// When a request has to be answered; the earliest comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AnswerDeadline {
    /// When the answer is due.
    pub due: Time,
    /// The request.
    pub request: RequestId,
}
