//! Events in the order of their time.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

use crate::deployment::VirtualTime;

use super::balancer::BalancerRef;
use crate::invariants::ConnectionRef;
use crate::scenario::Fault;

/// Something that happens at a time.
#[derive(Clone, Copy, Debug)]
pub(super) enum Event {
    /// A client connects through the front; void if it has made another request since.
    ClientConnects { client: usize, request_number: u32 },
    /// It has waited for its full time for this request.
    ClientGivesUp { client: usize, request_number: u32 },
    /// It no longer wants its connection.
    ClientLeaves { client: usize },
    /// An attempt's request arrives at its server.
    AttemptArrives(AttemptRef),
    /// A server's process has set up an attempt's connection.
    SetupCompletes { attempt: AttemptRef, server_incarnation: u64 },
    /// A balancer's timer fires.
    TimerFires(BalancerRef),
    /// A changed endpoint list arrives at a balancer.
    EndpointListArrives(BalancerRef),
    /// A fault happens.
    Fault(Fault),
    /// The servers are brought up to date.
    Step,
}

/// An attempt of a request at a server.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptRef {
    pub(super) connection: ConnectionRef,
    /// The balancer's number of the attempt.
    pub(super) attempt: u32,
    /// Index of the server.
    pub(super) server: usize,
}

/// An event with its time.
#[derive(Clone, Copy, Debug)]
pub(super) struct ScheduledEvent {
    pub(super) at: VirtualTime,
    /// Events of the same time happen in the order in which they were scheduled.
    sequence: u64,
    pub(super) event: Event,
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &ScheduledEvent) -> Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &ScheduledEvent) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &ScheduledEvent) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for ScheduledEvent {}

/// The events to come, the earliest first.
#[derive(Debug, Default)]
pub(super) struct EventQueue {
    heap: BinaryHeap<Reverse<ScheduledEvent>>,
    last_sequence: u64,
}

impl EventQueue {
    pub(super) fn push(&mut self, at: VirtualTime, event: Event) {
        self.last_sequence += 1;
        self.heap.push(Reverse(ScheduledEvent { at, sequence: self.last_sequence, event }));
    }

    pub(super) fn pop(&mut self) -> Option<ScheduledEvent> {
        self.heap.pop().map(|Reverse(event)| event)
    }
}
