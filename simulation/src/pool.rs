//! Pool settings and endpoints of the simulated balancers.

use connection_balancer::routing::{
    Endpoint, Lifecycle, PoolConfig, ReplicationConfig, ResourceLimits, State,
};
use connection_balancer::{Class, Idempotency, Micros, Settings, Time};

use crate::clients::{ClassProfile, CLASSES};
use crate::deployment::{Deployment, VirtualDuration, VirtualTime, SECOND};

/// Time on the reducers' clock at which the day starts.
const DAY_START_ON_REDUCER_CLOCK: VirtualTime = 1_000 * SECOND;
/// Cost of migrating each client once, as a share of the total served value.
pub const MIGRATION_COST: f64 = 0.025;
/// Mean load of a connection, in microseconds of work per second.
pub const MEAN_LOAD_MICROS_PER_S: f64 = 60_000.0;
/// Resource limits of a reducer, high enough not to take effect: the simulation does not test them.
const RESOURCE_LIMITS: ResourceLimits = ResourceLimits {
    max_pending_connections: 100_000,
    max_admitted_connections: 100_000,
    buffer_bytes: 8192,
    max_response_bytes: 4 << 20,
};
/// Zone of all servers and balancers.
const ZONE: &str = "a";

/// Converts a time of the day to the reducers' clock.
pub fn to_reducer_clock(at: VirtualTime) -> Time {
    Time(DAY_START_ON_REDUCER_CLOCK + at)
}

/// Converts a time on the reducers' clock to a time of the day.
pub fn from_reducer_clock(at: Time) -> VirtualTime {
    at.0.saturating_sub(DAY_START_ON_REDUCER_CLOCK)
}

/// Creates a reducer without endpoints.
pub fn new_reducer(deployment: &Deployment, seed: u64, now: VirtualTime) -> State {
    let pools = vec![pool_config(deployment, seed)];
    State::new(pools, ReplicationConfig::default(), RESOURCE_LIMITS, to_reducer_clock(now))
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
        request_timeout: Micros::from_millis(1_500),
        uses_replicated_map: false,
        max_connections: usize::MAX,
        drain_duration: Micros::ZERO,
        server_silence_timeout: Micros::from_secs(5),
        reports_message_time: deployment.reports_message_time,
        reports_load: true,
        load_report_fields: Vec::new(),
        max_client_wait: Micros::from_millis(3_200),
        rebalance: deployment.rebalance,
        gossip_price: None,
    }
}

fn settings(deployment: &Deployment) -> Settings {
    let class = |profile: &ClassProfile| Class {
        priority_weight: profile.priority_weight,
        setup_objective: Micros(profile.setup_objective),
        message_objective: if deployment.reports_message_time {
            Micros(profile.message_objective_micros as VirtualDuration)
        } else {
            Micros::ZERO
        },
        idempotency: Idempotency::Idempotent,
    };
    Settings {
        balancers: deployment.balancers as u32,
        classes: CLASSES.iter().map(class).collect(),
        max_attempts: 6,
        cancellation_allowed: true,
        retry_after_supported: true,
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

/// Returns the name of the server with this index.
pub fn server_name(server: usize) -> String {
    format!("s-{:08x}", server + 1)
}

/// Returns the endpoint of the server with this index; the index is also its address.
pub fn endpoint(server: usize, lifecycle: Lifecycle, started_at: Option<VirtualTime>) -> Endpoint {
    Endpoint {
        name: server_name(server),
        address: server.to_string(),
        zone: ZONE.to_owned(),
        cell: 0,
        lifecycle,
        weight: 1.0,
        started_at: started_at.map(to_reducer_clock),
    }
}

/// Returns the index of the server with this address; `usize::MAX` for an address that is no index.
pub fn server_index(address: &str) -> usize {
    address.parse().unwrap_or(usize::MAX)
}
