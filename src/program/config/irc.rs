//! Decodes the configuration of the IRC front and its pool from the operator's file.

use std::net::SocketAddr;

use super::fields::{
    decode_address, decode_optional_address, decode_seed, decode_zone, MIN_SLOW_START_SHARE,
};
use super::{limits, operator_key};
use crate::protocol::irc::{AdvertisedAddress, IrcConfig};
use crate::protocol::json::{DecodeError, JsonNode};
use crate::rebalance::RebalanceConfig;
use crate::routing::{Endpoint, Lifecycle, PoolConfig};
use crate::{Class, Idempotency, Micros, Settings, Tenant};

/// Default for the front's name.
const DEFAULT_NAME: &str = "irc.sagemount";
/// Default for the name of the front's class.
const DEFAULT_CLASS: &str = "irc";

/// Default time limit for a client to register, and then for its connection to a server.
const DEFAULT_CLIENT_TIMEOUT: Micros = Micros::from_secs(10);
/// Divisor of the client's timeout that gives the default latency objective of a connection setup.
const SETUP_OBJECTIVE_DIVISOR: u64 = 4;
const DEFAULT_MAX_ATTEMPTS: u32 = 6;
const MAX_ATTEMPTS: u32 = 6;
const DEFAULT_MAX_RETRY_AFTER: Micros = Micros::from_secs(10);
const DEFAULT_CONNECT_TIMEOUT: Micros = Micros::from_secs(1);
const DEFAULT_MAX_CONNECTIONS: f64 = 10_000.0;
/// Default for the time over which the clients of a draining server are migrated.
const DEFAULT_DRAIN_DURATION: Micros = Micros::from_secs(20);

/// Top-level keys of the operator's file for the IRC front.
mod key {
    pub(super) const LISTEN: &str = "listen";
    pub(super) const NAME: &str = "name";
    pub(super) const ADVERTISED_ADDRESS: &str = "public";
    pub(super) const SEED: &str = "seed";
    pub(super) const CLASS: &str = "class";
    pub(super) const TENANT: &str = "tenant";
    pub(super) const CAPABILITIES: &str = "capabilities";
    pub(super) const BALANCERS: &str = "balancers";
    pub(super) const DRAIN_DURATION_MS: &str = "drain_over_ms";
    pub(super) const ZONE: &str = "zone";
    pub(super) const ZONES: &str = "zones";
    pub(super) const ENDPOINTS: &str = "hosts";
}

/// Keys of the front's class.
mod class_key {
    pub(super) const NAME: &str = "name";
    pub(super) const PRIORITY_WEIGHT: &str = "worth";
    pub(super) const SETUP_OBJECTIVE_MS: &str = "setup_aim_ms";
    pub(super) const CLIENT_TIMEOUT_MS: &str = "give_up_ms";
}

/// Keys of the front's limits. The same object holds the limits of the process.
mod limit_key {
    pub(super) const MAX_ATTEMPTS: &str = "legs";
    pub(super) const CONNECT_TIMEOUT_MS: &str = "connect_ms";
    pub(super) const MAX_RETRY_AFTER_MS: &str = "retry_after_ms";
    pub(super) const SLOW_START_DURATION_MS: &str = "warm_up_ms";
    pub(super) const SLOW_START_SHARE: &str = "cold_share";
    pub(super) const MAX_CONNECTIONS: &str = "connections";
}

/// Keys of an endpoint.
mod endpoint_key {
    pub(super) const NAME: &str = "name";
    pub(super) const ADDRESS: &str = "address";
    pub(super) const ZONE: &str = "zone";
    pub(super) const WEIGHT: &str = "weight";
}

/// All top-level keys of the operator's file.
pub(super) const ROOT_KEYS: [&str; 16] = [
    key::LISTEN,
    operator_key::ADMIN_ADDRESS,
    key::NAME,
    key::ADVERTISED_ADDRESS,
    key::SEED,
    key::CLASS,
    key::TENANT,
    key::CAPABILITIES,
    key::BALANCERS,
    operator_key::LIMITS,
    key::DRAIN_DURATION_MS,
    key::ZONE,
    key::ZONES,
    key::ENDPOINTS,
    operator_key::STORE,
    operator_key::LOG,
];
const CLASS_KEYS: [&str; 4] = [
    class_key::NAME,
    class_key::PRIORITY_WEIGHT,
    class_key::SETUP_OBJECTIVE_MS,
    class_key::CLIENT_TIMEOUT_MS,
];
const LIMIT_KEYS: [&str; 8] = [
    limit_key::MAX_ATTEMPTS,
    limit_key::CONNECT_TIMEOUT_MS,
    limit_key::MAX_RETRY_AFTER_MS,
    limit_key::SLOW_START_DURATION_MS,
    limit_key::SLOW_START_SHARE,
    limit_key::MAX_CONNECTIONS,
    limits::key::SOCKETS,
    limits::key::MEMORY_MB,
];
const ENDPOINT_KEYS: [&str; 4] =
    [endpoint_key::NAME, endpoint_key::ADDRESS, endpoint_key::ZONE, endpoint_key::WEIGHT];

/// Configuration of the IRC front.
#[derive(Debug)]
pub struct IrcFrontConfig {
    /// Address that the front listens on for clients.
    pub listen: SocketAddr,
    /// The front's own name, advertised address, class, tenant and capabilities.
    pub protocol: IrcConfig,
    /// Servers that the file lists. The replicated map may add others.
    pub endpoints: Vec<Endpoint>,
    /// Configuration of the front's pool.
    pub pool: PoolConfig,
}

impl IrcFrontConfig {
    /// Sets the advertised port to the port of the bound address if it is 0. A listener that is configured
    /// with port 0 is bound to a free port that the system chooses.
    pub fn advertise_bound_port(&mut self, bound: SocketAddr) {
        if self.protocol.advertised_address.port == 0 {
            self.protocol.advertised_address.port = bound.port();
        }
    }
}

/// Settings that both the front and its pool use.
struct SharedSettings {
    class: String,
    tenant: Option<String>,
    zones: Vec<String>,
    /// Time limit for a client to register, and then for its connection to a server.
    client_timeout: Micros,
}

pub(super) fn decode_irc(root: &JsonNode<'_>) -> Result<IrcFrontConfig, DecodeError> {
    let listen = decode_address(&root.field(key::LISTEN))?;
    let advertised = decode_optional_address(&root.field(key::ADVERTISED_ADDRESS))?.unwrap_or(listen);
    let class = root.field(key::CLASS);
    class.reject_unknown_fields(&CLASS_KEYS)?;
    root.field(operator_key::LIMITS).reject_unknown_fields(&LIMIT_KEYS)?;
    let shared = SharedSettings {
        class: class.field(class_key::NAME).optional_text()?.unwrap_or_else(|| DEFAULT_CLASS.to_owned()),
        tenant: root.field(key::TENANT).optional_text()?,
        client_timeout: class
            .field(class_key::CLIENT_TIMEOUT_MS)
            .positive_duration_ms(DEFAULT_CLIENT_TIMEOUT)?,
        zones: root.field(key::ZONES).text_list()?,
    };
    let settings = decode_settings(root, &shared)?;
    let protocol = IrcConfig {
        name: root.field(key::NAME).optional_text()?.unwrap_or_else(|| DEFAULT_NAME.to_owned()),
        advertised_address: AdvertisedAddress { host: advertised.ip().to_string(), port: advertised.port() },
        class: shared.class.clone(),
        tenant: shared.tenant.clone(),
        capabilities: root.field(key::CAPABILITIES).text_list()?,
    };
    let endpoints =
        root.field(key::ENDPOINTS).elements()?.iter().map(decode_endpoint).collect::<Result<_, _>>()?;
    Ok(IrcFrontConfig { listen, protocol, endpoints, pool: decode_pool(root, shared, settings)? })
}

fn decode_settings(root: &JsonNode<'_>, shared: &SharedSettings) -> Result<Settings, DecodeError> {
    let default = Settings::default();
    let class = root.field(key::CLASS);
    let limits = root.field(operator_key::LIMITS);
    Ok(Settings {
        balancers: root.field(key::BALANCERS).positive_count_or(1)?,
        zone: decode_zone(&root.field(key::ZONE), &shared.zones)?,
        classes: vec![Class {
            priority_weight: class.field(class_key::PRIORITY_WEIGHT).number_or(1.0)?,
            setup_objective: class
                .field(class_key::SETUP_OBJECTIVE_MS)
                .duration_ms_or(shared.client_timeout / SETUP_OBJECTIVE_DIVISOR)?,
            message_objective: Micros::ZERO,
            idempotency: Idempotency::Idempotent,
        }],
        tenants: shared.tenant.iter().map(|_| Tenant::default()).collect(),
        max_attempts: limits
            .field(limit_key::MAX_ATTEMPTS)
            .positive_count_or(DEFAULT_MAX_ATTEMPTS)?
            .min(MAX_ATTEMPTS),
        cancellation_allowed: true,
        retry_after_supported: true,
        max_retry_after: limits
            .field(limit_key::MAX_RETRY_AFTER_MS)
            .duration_ms_or(DEFAULT_MAX_RETRY_AFTER)?,
        connect_timeout: limits
            .field(limit_key::CONNECT_TIMEOUT_MS)
            .positive_duration_ms(DEFAULT_CONNECT_TIMEOUT)?,
        slow_start_share: limits
            .field(limit_key::SLOW_START_SHARE)
            .number_in_range_or(MIN_SLOW_START_SHARE..=1.0, default.slow_start_share)?,
        slow_start_duration: limits
            .field(limit_key::SLOW_START_DURATION_MS)
            .duration_ms_or(default.slow_start_duration)?,
        ..default
    })
}

fn decode_pool(
    root: &JsonNode<'_>,
    shared: SharedSettings,
    settings: Settings,
) -> Result<PoolConfig, DecodeError> {
    Ok(PoolConfig {
        name: "irc",
        classes: vec![shared.class],
        tenants: shared.tenant.into_iter().collect(),
        zones: shared.zones,
        settings,
        seed: decode_seed(&root.field(key::SEED))?,
        discovery: None,
        request_timeout: shared.client_timeout,
        uses_replicated_map: true,
        max_connections: root
            .field(operator_key::LIMITS)
            .field(limit_key::MAX_CONNECTIONS)
            .number_or(DEFAULT_MAX_CONNECTIONS)? as usize,
        drain_duration: root.field(key::DRAIN_DURATION_MS).duration_ms_or(DEFAULT_DRAIN_DURATION)?,
        server_silence_timeout: Micros::ZERO,
        reports_message_time: false,
        reports_load: true,
        load_report_fields: Vec::new(),
        max_client_wait: shared.client_timeout,
        rebalance: RebalanceConfig::default(),
        gossip_price: None,
    })
}

fn decode_endpoint(node: &JsonNode<'_>) -> Result<Endpoint, DecodeError> {
    node.reject_unknown_fields(&ENDPOINT_KEYS)?;
    Ok(Endpoint {
        name: node.field(endpoint_key::NAME).required_text()?,
        address: decode_address(&node.field(endpoint_key::ADDRESS))?.to_string(),
        zone: node.field(endpoint_key::ZONE).optional_text()?.unwrap_or_default(),
        cell: 0,
        lifecycle: Lifecycle::Ready,
        weight: node.field(endpoint_key::WEIGHT).number_or(1.0)?,
        started_at: None,
    })
}
