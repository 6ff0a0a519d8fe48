//! A balancer: a real reducer, and the connections that are open at it.

use std::collections::BTreeMap;

use crate::deployment::VirtualTime;
use connection_balancer::routing::{ConnectionId, State};

use super::Day;
use crate::invariants::ConnectionRef;
use crate::pool::new_reducer;

/// Factors that derive a balancer's seed from the day's.
const DAY_SEED_FACTOR: u64 = 1_000_003;
const BALANCER_SEED_FACTOR: u64 = 101;

/// A process of a balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct BalancerRef {
    pub(super) index: usize,
    pub(super) incarnation: u64,
}

/// A connection that is open at a balancer.
#[derive(Clone, Copy, Debug)]
pub(super) struct OpenConnection {
    pub(super) client: usize,
    /// The server of its attempt, once that is being set up.
    pub(super) server: Option<usize>,
}

/// A balancer.
pub(super) struct Balancer {
    pub(super) state: State,
    pub(super) up: bool,
    /// Numbers its processes.
    pub(super) incarnation: u64,
    pub(super) connections: BTreeMap<ConnectionId, OpenConnection>,
    last_connection: u64,
    /// When its timer fires next.
    pub(super) next_timer: Option<VirtualTime>,
    pub(super) died_at: VirtualTime,
}

impl Balancer {
    pub(super) fn reference(&self, index: usize) -> BalancerRef {
        BalancerRef { index, incarnation: self.incarnation }
    }

    pub(super) fn connection_ref(&self, index: usize, connection: ConnectionId) -> ConnectionRef {
        ConnectionRef { balancer: index, incarnation: self.incarnation, connection }
    }

    /// Adds a connection for a client.
    pub(super) fn add_connection(&mut self, client: usize) -> ConnectionId {
        self.last_connection += 1;
        let connection = ConnectionId(self.last_connection);
        self.connections.insert(connection, OpenConnection { client, server: None });
        connection
    }
}

impl Day<'_> {
    /// A balancer without any state but its settings.
    pub(super) fn new_balancer(&self, index: usize, incarnation: u64) -> Balancer {
        let day_seed = self.seed.wrapping_mul(DAY_SEED_FACTOR);
        let seed = day_seed.wrapping_add(index as u64 * BALANCER_SEED_FACTOR + incarnation);
        Balancer {
            state: new_reducer(self.deployment, seed, self.now),
            up: true,
            incarnation,
            connections: BTreeMap::new(),
            last_connection: 0,
            next_timer: None,
            died_at: 0,
        }
    }
}

impl ConnectionRef {
    /// The process that holds the connection.
    pub(super) fn balancer_ref(self) -> BalancerRef {
        BalancerRef { index: self.balancer, incarnation: self.incarnation }
    }
}
