//! The operator's file: the IRC front, the replicated map, the log and the limits of the process.

use std::net::SocketAddr;
use std::path::PathBuf;

use super::fields::{
    decode_address, decode_optional_address, decode_seed, decode_zone, MIN_SLOW_START_SHARE,
};
use super::Limits;
use crate::program::log::LogConfig;
use crate::protocol::irc::{AdvertisedAddress, IrcConfig};
use crate::protocol::json::{self, DecodeError, JsonNode};
use crate::rebalance::RebalanceConfig;
use crate::routing::store::MAX_NODE_LENGTH;
use crate::routing::{Endpoint, Lifecycle, PoolConfig};
use crate::{Class, Idempotency, Micros, Settings, Tenant};

/// The front's name and that of its class where none is configured.
const DEFAULT_NAME: &str = "irc.sagemount";
const DEFAULT_CLASS: &str = "irc";

/// Time that a client has to register, and then to be connected to a server.
const DEFAULT_GIVE_UP: Micros = Micros::from_secs(10);
/// The share of that time that placing a client should take.
const SETUP_OBJECTIVE_DIVISOR: u64 = 4;
const DEFAULT_MAX_ATTEMPTS: u32 = 6;
const MAX_ATTEMPTS: u32 = 6;
/// Key of the limit on attempts.
const MAX_ATTEMPTS_KEY: &str = "legs";
const DEFAULT_MAX_RETRY_AFTER: Micros = Micros::from_secs(10);
const DEFAULT_CONNECT_TIMEOUT: Micros = Micros::from_secs(1);
const DEFAULT_MAX_CONNECTIONS: f64 = 10_000.0;
/// Time over which the clients of a draining server are migrated.
const DEFAULT_DRAIN_DURATION: Micros = Micros::from_secs(20);

const ROOT_KEYS: [&str; 16] = [
    "listen",
    "mgmt",
    "name",
    "public",
    "seed",
    "class",
    "tenant",
    "capabilities",
    "balancers",
    "limits",
    "drain_over_ms",
    "zone",
    "zones",
    "hosts",
    "store",
    "log",
];
const CLASS_KEYS: [&str; 4] = ["name", "worth", "setup_aim_ms", "give_up_ms"];
const LIMIT_KEYS: [&str; 8] = [
    MAX_ATTEMPTS_KEY,
    "connect_ms",
    "retry_after_ms",
    "warm_up_ms",
    "cold_share",
    "connections",
    "sockets",
    "memory_mb",
];
const SERVER_KEYS: [&str; 4] = ["name", "address", "zone", "weight"];
const STORE_KEYS: [&str; 4] = ["node", "listen", "peers", "data"];
const LOG_KEYS: [&str; 2] = ["levels", "format"];

/// An operator's file.
#[derive(Debug)]
pub struct Operator {
    /// The IRC front.
    pub irc: Irc,
    /// The replicated map.
    pub store: Option<StoreConfig>,
    /// What the process may use.
    pub limits: Limits,
    /// Address of the admin endpoint.
    pub mgmt: Option<SocketAddr>,
    /// How the log is written.
    pub log: LogConfig,
}

/// What the IRC front is configured with.
#[derive(Debug)]
pub struct Irc {
    /// Where its clients connect.
    pub listen: SocketAddr,
    /// How it answers them.
    pub setup: IrcConfig,
    /// Its servers.
    pub endpoints: Vec<Endpoint>,
    /// Its pool.
    pub pool: PoolConfig,
}

impl Irc {
    /// Advertises the port of the bound address where the configured one is 0, which asks the system for any.
    pub fn take_port(&mut self, bound: SocketAddr) {
        if self.setup.address.port == 0 {
            self.setup.address.port = bound.port();
        }
    }
}

/// What the replicated map is configured with.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreConfig {
    /// Name of this node.
    pub node: String,
    /// Where it receives the messages of other replicas, and operators' commands.
    pub listen: SocketAddr,
    /// The other replicas.
    pub peers: Vec<SocketAddr>,
    /// The directory that entries are persisted in; without it they are in memory only.
    pub data: Option<PathBuf>,
}

/// Parses the text of an operator's file.
///
/// # Errors
/// [`DecodeError`] if it is not JSON, or with the key that is wrong.
pub fn parse_operator(text: &[u8]) -> Result<Operator, DecodeError> {
    let document = json::parse_document(text)?;
    let root = JsonNode::root(&document);
    root.reject_unknown_fields(&ROOT_KEYS)?;
    let irc = decode_irc(&root)?;
    let mgmt = decode_optional_address(&root.field("mgmt"))?;
    let store = decode_store(&root.field("store"))?;
    let log = decode_log(&root.field("log"))?;
    Ok(Operator { irc, store, limits: Limits::decode(&root.field("limits"))?, mgmt, log })
}

/// What class, tenant and zones are configured with, as the pool and the front both need it.
struct IrcTerms {
    class: String,
    tenant: Option<String>,
    zones: Vec<String>,
    give_up: Micros,
}

fn decode_irc(root: &JsonNode<'_>) -> Result<Irc, DecodeError> {
    let listen = decode_address(&root.field("listen"))?;
    let public = decode_optional_address(&root.field("public"))?.unwrap_or(listen);
    let class = root.field("class");
    class.reject_unknown_fields(&CLASS_KEYS)?;
    root.field("limits").reject_unknown_fields(&LIMIT_KEYS)?;
    let terms = IrcTerms {
        class: class.field("name").optional_text()?.unwrap_or_else(|| DEFAULT_CLASS.to_owned()),
        tenant: root.field("tenant").optional_text()?,
        give_up: class.field("give_up_ms").positive_duration_ms(DEFAULT_GIVE_UP)?,
        zones: root.field("zones").text_list()?,
    };
    let settings = decode_settings(root, &terms)?;
    let setup = IrcConfig {
        name: root.field("name").optional_text()?.unwrap_or_else(|| DEFAULT_NAME.to_owned()),
        address: AdvertisedAddress { host: public.ip().to_string(), port: public.port() },
        class: terms.class.clone(),
        tenant: terms.tenant.clone(),
        capabilities: root.field("capabilities").text_list()?,
    };
    let endpoints = root.field("hosts").elements()?.iter().map(decode_server).collect::<Result<_, _>>()?;
    Ok(Irc { listen, setup, endpoints, pool: decode_pool(root, terms, settings)? })
}

fn decode_settings(root: &JsonNode<'_>, terms: &IrcTerms) -> Result<Settings, DecodeError> {
    let default = Settings::default();
    let class = root.field("class");
    let limits = root.field("limits");
    Ok(Settings {
        balancers: root.field("balancers").positive_count(1)?,
        zone: decode_zone(&root.field("zone"), &terms.zones)?,
        classes: vec![Class {
            priority_weight: class.field("worth").number(1.0)?,
            setup_objective: class
                .field("setup_aim_ms")
                .duration_ms(terms.give_up / SETUP_OBJECTIVE_DIVISOR)?,
            message_objective: Micros::ZERO,
            idempotency: Idempotency::Idempotent,
        }],
        tenants: terms.tenant.iter().map(|_| Tenant::default()).collect(),
        max_attempts: limits.field(MAX_ATTEMPTS_KEY).positive_count(DEFAULT_MAX_ATTEMPTS)?.min(MAX_ATTEMPTS),
        cancel: true,
        retry_after: true,
        max_retry_after: limits.field("retry_after_ms").duration_ms(DEFAULT_MAX_RETRY_AFTER)?,
        connect_timeout: limits.field("connect_ms").positive_duration_ms(DEFAULT_CONNECT_TIMEOUT)?,
        slow_start_share: limits
            .field("cold_share")
            .number_in_range(MIN_SLOW_START_SHARE..=1.0, default.slow_start_share)?,
        slow_start_duration: limits.field("warm_up_ms").duration_ms(default.slow_start_duration)?,
        ..default
    })
}

fn decode_pool(root: &JsonNode<'_>, terms: IrcTerms, settings: Settings) -> Result<PoolConfig, DecodeError> {
    Ok(PoolConfig {
        name: "irc",
        classes: vec![terms.class],
        tenants: terms.tenant.into_iter().collect(),
        zones: terms.zones,
        settings,
        seed: decode_seed(&root.field("seed"))?,
        discovery: None,
        handshake_timeout: terms.give_up,
        uses_replicated_map: true,
        max_connections: root.field("limits").field("connections").number(DEFAULT_MAX_CONNECTIONS)? as usize,
        drain_duration: root.field("drain_over_ms").duration_ms(DEFAULT_DRAIN_DURATION)?,
        server_silence_timeout: Micros::ZERO,
        reports_message_time: false,
        reports_load: true,
        load_report_fields: Vec::new(),
        longest_wait: terms.give_up,
        rebalance: RebalanceConfig::default(),
        gossip_price: None,
    })
}

fn decode_server(node: &JsonNode<'_>) -> Result<Endpoint, DecodeError> {
    node.reject_unknown_fields(&SERVER_KEYS)?;
    Ok(Endpoint {
        name: node.field("name").required_text()?,
        address: decode_address(&node.field("address"))?.to_string(),
        zone: node.field("zone").optional_text()?.unwrap_or_default(),
        cell: 0,
        lifecycle: Lifecycle::Ready,
        weight: node.field("weight").number(1.0)?,
        started: None,
    })
}

fn decode_store(node: &JsonNode<'_>) -> Result<Option<StoreConfig>, DecodeError> {
    node.reject_unknown_fields(&STORE_KEYS)?;
    if !node.is_present() {
        return Ok(None);
    }
    let node_name = node.field("node").required_text()?;
    if node_name.len() > MAX_NODE_LENGTH {
        return Err(node.field("node").error("at most 32 bytes are wanted"));
    }
    let peers = node.field("peers").elements()?.iter().map(decode_address).collect::<Result<_, _>>()?;
    let data = node.field("data").optional_text()?.map(PathBuf::from);
    let listen = decode_address(&node.field("listen"))?;
    Ok(Some(StoreConfig { node: node_name, listen, peers, data }))
}

fn decode_log(node: &JsonNode<'_>) -> Result<LogConfig, DecodeError> {
    node.reject_unknown_fields(&LOG_KEYS)?;
    let (levels, format) = (node.field("levels"), node.field("format"));
    let levels_text = levels.optional_text()?;
    let json = match format.optional_text()?.as_deref() {
        None | Some("text") => false,
        Some("json") => true,
        Some(_) => return Err(format.error("text or json is wanted")),
    };
    let levels = match levels_text {
        None => LogConfig::default().levels,
        // The logging library takes a misspelt level for a module's name, and would write all of that module. So levels
        // are checked here.
        Some(text) => LogConfig::levels(&text).ok_or_else(|| {
            levels.error("levels are wanted, such as info or warn,connection_balancer::transport=debug")
        })?,
    };
    Ok(LogConfig { levels, json })
}
