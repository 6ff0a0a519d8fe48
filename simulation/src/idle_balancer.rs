//! A balancer with established connections and no traffic, for measurements of its CPU time.

use connection_balancer::rebalance::RebalanceConfig;
use connection_balancer::routing::{
    reduce, ConnectionId, ConnectionRequest, Input, Lifecycle, PoolId, State,
};

use crate::clients::CLASSES;
use crate::deployment::{Deployment, VirtualTime, SECOND};
use crate::pool::{
    endpoint, from_reducer_clock, new_reducer, server_name, to_reducer_clock, MEAN_LOAD_MICROS_PER_S,
};

const SERVERS: usize = 20;
const SEED: u64 = 1;

/// A reducer with connections that are spread slightly unevenly over twenty servers. After its creation,
/// timers are its only input.
pub struct IdleBalancer {
    state: State,
    now: VirtualTime,
}

impl IdleBalancer {
    /// Creates a reducer with `connections` established connections.
    pub fn new(connections: usize, rebalance: bool) -> IdleBalancer {
        let deployment = Deployment {
            servers: SERVERS,
            balancers: 1,
            rebalance: RebalanceConfig { enabled: rebalance, ..RebalanceConfig::default() },
            ..Deployment::default()
        };
        let mut balancer = IdleBalancer { state: new_reducer(&deployment, SEED, 0), now: 0 };
        balancer.feed(Input::EndpointsUpdated {
            pool: PoolId(0),
            is_snapshot: true,
            endpoints: (0..SERVERS).map(|server| endpoint(server, Lifecycle::Ready, None)).collect(),
        });
        for n in 0..connections {
            balancer.establish(n);
        }
        balancer
    }

    fn establish(&mut self, n: usize) {
        let connection = ConnectionId(n as u64);
        // The first server has a third more than its share, so that rebalancing examines all of its
        // connections.
        let server = if n % SERVERS == SERVERS - 1 && n.is_multiple_of(3) { 0 } else { n % SERVERS };
        let request = ConnectionRequest {
            class: CLASSES[0].name.to_owned(),
            established_server: Some(server_name(server)),
            key: Some(n as u64),
            ..ConnectionRequest::default()
        };
        let load = MEAN_LOAD_MICROS_PER_S * (0.5 + (n % 7) as f64 / 6.0);
        self.feed(Input::ClientConnected { connection, pool: PoolId(0) });
        self.feed(Input::ConnectionRequested { connection, request });
        self.feed(Input::RequestForwarded { connection, attempt: 0 });
        self.feed(Input::AttemptAccepted { connection, attempt: 0 });
        self.feed(Input::LoadReported { connection, value: load });
    }

    fn feed(&mut self, input: Input) {
        reduce(&mut self.state, to_reducer_clock(self.now), input);
    }

    /// Advances the virtual time by `seconds` and fires the timers within it.
    pub fn run_seconds(&mut self, seconds: u64) {
        let ends_at = self.now + seconds * SECOND;
        while let Some(timer_at) =
            self.state.next_deadline().map(from_reducer_clock).filter(|timer_at| *timer_at < ends_at)
        {
            self.now = timer_at.max(self.now + 1);
            self.feed(Input::TimerFired);
        }
        self.now = ends_at;
    }
}
