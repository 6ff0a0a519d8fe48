//! The requests of one balancer, from their arrival until they are answered and their last attempt has ended.

use std::collections::BTreeSet;

use rustc_hash::FxHashMap;

use super::retry_policy::RetryState;
use super::selection::Demand;
use crate::types::{ClassId, EndpointEntry, GroupId, RequestId, Time};

/// An attempt without an outcome, or the connection that it has become.
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
    /// It occupied the last free slot of its server, or one beyond.
    pub fills_last_slot: bool,
    /// Its connection is established.
    pub is_established: bool,
}

/// One request.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Its class.
    pub class: ClassId,
    /// Its group, if any.
    pub group: Option<GroupId>,
    /// Slots of its connection, without those of its group: its load over a mean connection's, as far as
    /// known.
    pub slots: f64,
    /// When it is answered at the latest.
    pub deadline: Time,
    /// It has had its final answer.
    pub is_answered: bool,
    /// Its client was asked to reconnect.
    pub is_migrating: bool,
    /// The attempt in flight, or its established connection.
    pub attempt: Option<Attempt>,
    /// Its earlier attempts.
    pub retry: RetryState,
}

impl Request {
    /// What it asks of a server.
    pub fn demand(&self) -> Demand {
        Demand { group: self.group, slots: self.slots }
    }
}

/// When a request has to be answered; the earliest comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct AnswerDeadline {
    at: Time,
    request: RequestId,
}

/// All requests. One is forgotten once it is answered and has no attempt.
#[derive(Debug, Default)]
pub struct RequestTable {
    by_id: FxHashMap<RequestId, Request>,
    /// Those without an answer.
    deadlines: BTreeSet<AnswerDeadline>,
}

impl RequestTable {
    /// Whether a request is known.
    pub fn contains(&self, id: RequestId) -> bool {
        self.by_id.contains_key(&id)
    }

    /// A request, if it is known.
    pub fn get(&self, id: RequestId) -> Option<&Request> {
        self.by_id.get(&id)
    }

    /// A request, if it is known.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut Request> {
        self.by_id.get_mut(&id)
    }

    /// Adds a request that is owed an answer.
    pub fn insert_unanswered(&mut self, id: RequestId, request: Request) {
        self.deadlines.insert(AnswerDeadline { at: request.deadline, request: id });
        self.by_id.insert(id, request);
    }

    /// Adds a request that was answered before this balancer started.
    pub fn insert_answered(&mut self, id: RequestId, request: Request) {
        self.by_id.insert(id, Request { is_answered: true, ..request });
    }

    /// No answer is owed any more. The request is forgotten, unless its attempt is still in flight or
    /// established.
    pub fn mark_answered(&mut self, id: RequestId) {
        let Some(request) = self.by_id.get_mut(&id) else { return };
        request.is_answered = true;
        self.deadlines.remove(&AnswerDeadline { at: request.deadline, request: id });
        if request.attempt.is_none() {
            self.by_id.remove(&id);
        }
    }

    /// The earliest deadline of an answer.
    pub fn next_deadline(&self) -> Option<Time> {
        self.deadlines.first().map(|deadline| deadline.at)
    }

    /// The request whose answer is owed by now, the earliest first.
    pub fn next_overdue(&self, now: Time) -> Option<RequestId> {
        self.deadlines.first().filter(|deadline| deadline.at <= now).map(|deadline| deadline.request)
    }
}
