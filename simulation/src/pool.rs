//! The pool settings and endpoints of the simulated balancers.

use connection_balancer::routing::{Budget, Endpoint, Lifecycle, PoolConfig, ReplicationConfig, State};
use connection_balancer::{Class, Idempotency, Micros, Settings, Time};

use crate::clients::{ClassProfile, CLASSES};
use crate::deployment::{Deployment, VirtualTime, SECOND};

/// The day begins at this time of the reducers' clock.
const CLOCK_ORIGIN: VirtualTime = 1_000 * SECOND;
/// Price of each client migrated once, as a share of all served value.
pub const MIGRATION_COST: f64 = 0.025;
/// A connection's mean load, in microseconds of work a second.
pub const MEAN_LOAD_MICROS_PER_S: f64 = 60_000.0;
/// What a reducer may hold; the model does not test its limits.
const BUDGET: Budget = Budget { pending: 100_000, admitted: 100_000, buffer: 8192 };
/// The model's only zone.
const ZONE: &str = "a";

/// A time of day on the reducers' clock.
pub fn to_clock(at: VirtualTime) -> Time {
    Time(CLOCK_ORIGIN + at)
}

/// The time of day of a time on the reducers' clock.
pub fn from_clock(at: Time) -> VirtualTime {
    at.0.saturating_sub(CLOCK_ORIGIN)
}

/// A reducer without endpoints.
pub fn new_reducer(deployment: &Deployment, seed: u64, now: VirtualTime) -> State {
    let pools = vec![pool_config(deployment, seed)];
    State::new(pools, ReplicationConfig::default(), BUDGET, to_clock(now))
}

fn pool_config(deployment: &Deployment, seed: u64) -> PoolConfig {
    PoolConfig {
        name: "model",
        classes: CLASSES.iter().map(|class| class.name.to_owned()).collect(),
        tenants: Vec::new(),
        zones: vec![ZONE.to_owned()],
        settings: settings(deployment),
        seed,
        discovery: None,
        handshake_timeout: Micros::from_millis(1_500),
        uses_replicated_map: false,
        max_connections: usize::MAX,
        drain_duration: Micros::ZERO,
        server_silence_timeout: Micros::from_secs(5),
        reports_message_time: deployment.reports_message_time,
        reports_load: true,
        load_report_fields: Vec::new(),
        longest_wait: Micros::from_millis(3_200),
        rebalance: deployment.rebalance,
        gossip_price: None,
    }
}

fn settings(deployment: &Deployment) -> Settings {
    let class = |profile: &ClassProfile| Class {
        priority_weight: profile.priority_weight,
        setup_objective: Micros(profile.setup_objective),
        message_objective: if deployment.reports_message_time {
            Micros(profile.message_objective_micros as VirtualTime)
        } else {
            Micros::ZERO
        },
        idempotency: Idempotency::Idempotent,
    };
    Settings {
        balancers: deployment.balancers as u32,
        classes: CLASSES.iter().map(class).collect(),
        max_attempts: 6,
        cancel: true,
        retry_after: true,
        max_retry_after: Micros::from_millis(1_500),
        connect_timeout: Micros::from_millis(250),
        poll_required: true,
        migration_cost: MIGRATION_COST,
        slow_start_share: 0.34,
        slow_start_duration: Micros::from_millis(8_800),
        slow_start_overload_factor: 4.0,
        slow_start_window: Micros::from_secs(3),
        ..Settings::default()
    }
}

/// The name of a server, by its index.
pub fn server_name(server: usize) -> String {
    format!("s-{:08x}", server + 1)
}

/// The endpoint of a server, whose address is its index.
pub fn endpoint(server: usize, lifecycle: Lifecycle, started: Option<VirtualTime>) -> Endpoint {
    Endpoint {
        name: server_name(server),
        address: server.to_string(),
        zone: ZONE.to_owned(),
        cell: 0,
        lifecycle,
        weight: 1.0,
        started: started.map(to_clock),
    }
}

/// The index of a server, by its endpoint's address.
pub fn server_at(address: &str) -> usize {
    address.parse().unwrap_or(usize::MAX)
}
