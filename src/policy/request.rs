//! The requests of one balancer, from arrival until the request is answered and its last attempt has ended.

use std::collections::BTreeSet;

use rustc_hash::FxHashMap;

use super::retry_policy::RetryState;
use super::selection::Demand;
use crate::types::{ClassId, EndpointEntry, GroupId, RequestId, Time};

/// An attempt without an outcome, or the connection that it has established.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Number among the attempts of the request, from 0.
    pub number: u32,
    /// Entry of the server in the endpoint list when the attempt was sent.
    pub endpoint: EndpointEntry,
    /// Number of the server's process to which the attempt was sent.
    pub incarnation: u64,
    /// Time at which the attempt was sent; 0 for a connection that was established before this balancer
    /// started.
    pub sent_at: Time,
    /// Whether the attempt occupied the last free slot of its server, or a slot above the ceiling.
    pub fills_last_slot: bool,
    /// Whether the connection is established.
    pub is_established: bool,
}

/// State of one request.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Class, by its index in the settings.
    pub class: ClassId,
    /// Group of the connection; none if the request has no group.
    pub group: Option<GroupId>,
    /// Load of the connection over the load of a mean connection, estimated or measured. The slots for the
    /// first connection of a group are not included.
    pub slots: f64,
    /// Latest time of the final answer.
    pub deadline: Time,
    /// Whether the request has its final answer.
    pub is_answered: bool,
    /// Whether the client was asked to reconnect.
    pub is_migrating: bool,
    /// Attempt in flight, or the established connection.
    pub attempt: Option<Attempt>,
    /// Record of earlier attempts, for the retry policy.
    pub retry: RetryState,
}

impl Request {
    /// Returns the slots and the group that the request needs at its server.
    pub fn demand(&self) -> Demand {
        Demand { group: self.group, slots: self.slots }
    }
}

/// Time at which a request has to be answered. Deadlines are ordered by time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct AnswerDeadline {
    at: Time,
    request: RequestId,
}

/// All requests. A request is removed once it is answered and has no attempt in flight and no connection.
#[derive(Debug, Default)]
pub struct RequestTable {
    by_id: FxHashMap<RequestId, Request>,
    /// Deadlines of the requests without an answer.
    deadlines: BTreeSet<AnswerDeadline>,
}

impl RequestTable {
    /// Returns whether the table contains a request.
    pub fn contains(&self, id: RequestId) -> bool {
        self.by_id.contains_key(&id)
    }

    /// Returns a request; none if its id is unknown.
    pub fn get(&self, id: RequestId) -> Option<&Request> {
        self.by_id.get(&id)
    }

    /// Returns a request; none if its id is unknown.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut Request> {
        self.by_id.get_mut(&id)
    }

    /// Adds a request that has no answer yet.
    pub fn insert_unanswered(&mut self, id: RequestId, request: Request) {
        self.deadlines.insert(AnswerDeadline { at: request.deadline, request: id });
        self.by_id.insert(id, request);
    }

    /// Adds a request that was answered before this balancer started.
    pub fn insert_answered(&mut self, id: RequestId, request: Request) {
        self.by_id.insert(id, Request { is_answered: true, ..request });
    }

    /// Marks a request as answered. Removes it unless its attempt is still in flight or established.
    pub fn mark_answered(&mut self, id: RequestId) {
        let Some(request) = self.by_id.get_mut(&id) else { return };
        request.is_answered = true;
        self.deadlines.remove(&AnswerDeadline { at: request.deadline, request: id });
        if request.attempt.is_none() {
            self.by_id.remove(&id);
        }
    }

    /// Returns the earliest deadline of an answer; none if all requests are answered.
    pub fn next_deadline(&self) -> Option<Time> {
        self.deadlines.first().map(|deadline| deadline.at)
    }

    /// Returns the request with the earliest deadline that has been reached; none if no answer is overdue.
    pub fn next_overdue(&self, now: Time) -> Option<RequestId> {
        self.deadlines.first().filter(|deadline| deadline.at <= now).map(|deadline| deadline.request)
    }
}
