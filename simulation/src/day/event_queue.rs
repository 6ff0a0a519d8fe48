//! The events of a day, ordered by time.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

use crate::deployment::VirtualTime;

use super::balancer::BalancerRef;
use crate::invariants::ConnectionRef;
use crate::scenario::Fault;

/// An event of the simulation.
#[derive(Clone, Copy, Debug)]
pub(super) enum Event {
    /// A client connects through the front. Ignored if the client has made another request since.
    ClientConnects { client: usize, request_number: u32 },
    /// A client has waited for its longest wait for the answer to this request.
    ClientGivesUp { client: usize, request_number: u32 },
    /// A client leaves and closes its connection.
    ClientLeaves { client: usize },
    /// An attempt arrives at its server.
    AttemptArrives(AttemptRef),
    /// A server process has completed the setup of an attempt's connection.
    SetupCompletes { attempt: AttemptRef, server_incarnation: u64 },
    /// A balancer's timer fires.
    TimerFires(BalancerRef),
    /// A changed endpoint list arrives at a balancer.
    EndpointListArrives(BalancerRef),
    /// A fault of the scenario occurs.
    Fault(Fault),
    /// The servers advance by one step, and their service is measured.
    Step,
}

/// An attempt of a request at a server.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptRef {
    pub(super) request: ConnectionRef,
    /// Number of the attempt within its request, counted by the balancer.
    pub(super) attempt: u32,
    /// Index of the server.
    pub(super) server: usize,
}

/// An event and the time at which it occurs.
#[derive(Clone, Copy, Debug)]
pub(super) struct ScheduledEvent {
    pub(super) at: VirtualTime,
    /// Number of the `push`. Events with equal times occur in the order in which they were scheduled.
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

/// The scheduled events, of which `pop` returns the earliest.
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
