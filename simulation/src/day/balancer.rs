//! A simulated balancer: a real reducer and its open connections.

use std::collections::BTreeMap;

use crate::deployment::VirtualTime;
use connection_balancer::routing::{ConnectionId, State};

use super::Day;
use crate::invariants::ConnectionRef;
use crate::pool::new_reducer;

/// Factors that derive a balancer process's seed from the day's seed.
const DAY_SEED_FACTOR: u64 = 1_000_003;
const BALANCER_SEED_FACTOR: u64 = 101;

/// Identifies one process of a balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct BalancerRef {
    pub(super) index: usize,
    /// Number of the process; each restart of the balancer adds 1.
    pub(super) incarnation: u64,
}

/// A connection that is open at a balancer.
#[derive(Clone, Copy, Debug)]
pub(super) struct OpenConnection {
    pub(super) client: usize,
    /// Index of its attempt's server, once the setup has begun.
    pub(super) server: Option<usize>,
}

/// A balancer and the state of its current process.
pub(super) struct Balancer {
    pub(super) state: State,
    pub(super) up: bool,
    /// Number of the current process; each restart adds 1.
    pub(super) incarnation: u64,
    pub(super) connections: BTreeMap<ConnectionId, OpenConnection>,
    last_connection: u64,
    /// Time at which the reducer's timer fires next.
    pub(super) next_timer_at: Option<VirtualTime>,
    /// Time at which the last process died; valid while `up` is false.
    pub(super) died_at: VirtualTime,
}

impl Balancer {
    pub(super) fn reference(&self, index: usize) -> BalancerRef {
        BalancerRef { index, incarnation: self.incarnation }
    }

    pub(super) fn connection_ref(&self, index: usize, connection: ConnectionId) -> ConnectionRef {
        ConnectionRef { balancer: index, incarnation: self.incarnation, connection }
    }

    /// Adds a connection of a client and returns its ID.
    pub(super) fn add_connection(&mut self, client: usize) -> ConnectionId {
        self.last_connection += 1;
        let connection = ConnectionId(self.last_connection);
        self.connections.insert(connection, OpenConnection { client, server: None });
        connection
    }
}

impl Day<'_> {
    /// Returns a newly started balancer, which has its settings and no other state.
    pub(super) fn new_balancer(&self, index: usize, incarnation: u64) -> Balancer {
        let day_seed = self.seed.wrapping_mul(DAY_SEED_FACTOR);
        let seed = day_seed.wrapping_add(index as u64 * BALANCER_SEED_FACTOR + incarnation);
        Balancer {
            state: new_reducer(self.deployment, seed, self.now),
            up: true,
            incarnation,
            connections: BTreeMap::new(),
            last_connection: 0,
            next_timer_at: None,
            died_at: 0,
        }
    }
}

impl ConnectionRef {
    /// Returns the balancer process that holds the connection.
    pub(super) fn balancer_ref(self) -> BalancerRef {
        BalancerRef { index: self.balancer, incarnation: self.incarnation }
    }
}
