//! Parses the configuration of the platform's front.

use std::net::SocketAddr;

use super::fields::{decode_address, decode_optional_address, decode_seed};
use super::limits::Limits;
use super::pool;
use crate::protocol::http::{self, EndpointListUpdate};
use crate::protocol::json::{self, DecodeError, JsonNode};
use crate::routing::PoolConfig;

/// Default for the balancer's name, which log lines include.
const DEFAULT_NAME: &str = "sagemount";

/// Top-level keys of the platform's configuration.
mod key {
    pub(super) const LISTEN: &str = "listen";
    pub(super) const DISCOVERY: &str = "discovery";
    pub(super) const SETTINGS: &str = "settings";
    pub(super) const SEED: &str = "seed";
    pub(super) const NAME: &str = "name";
    pub(super) const CACHED_ENDPOINT_LIST: &str = "known";
    pub(super) const LIMITS: &str = "limits";
    pub(super) const ADMIN_ADDRESS: &str = "mgmt";
    pub(super) const PEER_LISTEN: &str = "peer_listen";
    pub(super) const PEERS_ALL: &str = "peers_all";
    pub(super) const PEERS: &str = "peers";
}

/// Configuration of the platform's front.
#[derive(Debug)]
pub struct PlatformConfig {
    /// Name of the balancer.
    pub name: String,
    /// Address that the front listens on for clients.
    pub listen: SocketAddr,
    /// Cached endpoint list that the pool starts with.
    pub cached_endpoints: EndpointListUpdate,
    /// Configuration of the front's pool.
    pub pool: PoolConfig,
    /// Resources that the process may use, as configured by the platform.
    pub limits: Limits,
    /// Address of the admin endpoint. `None` if the configuration has none.
    pub admin_address: Option<SocketAddr>,
    /// Addresses for gossip with the other balancers of the tier. `None` if they are incomplete or the
    /// settings disable gossip.
    pub peers: Option<PeerAddresses>,
}

/// Addresses for gossip between the balancers of a tier.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerAddresses {
    /// Address at which this balancer receives gossip.
    pub listen: SocketAddr,
    /// Address at which all balancers of the tier receive gossip.
    pub shared: SocketAddr,
    /// Addresses from which gossip is accepted.
    pub allowed_senders: Vec<SocketAddr>,
}

/// Parses the text of the platform's configuration.
///
/// # Errors
/// [`DecodeError`] if the text is not JSON, or for the first invalid value.
pub fn parse_platform(text: &[u8]) -> Result<PlatformConfig, DecodeError> {
    let document = json::parse_document(text)?;
    let root = JsonNode::root(&document);
    let listen = decode_address(&root.field(key::LISTEN))?;
    let discovery = decode_address(&root.field(key::DISCOVERY))?;
    let mut pool =
        pool::decode_platform_pool(&root.field(key::SETTINGS), decode_seed(&root.field(key::SEED))?)?;
    pool.discovery = Some(discovery);
    let peers = decode_peers(&root)?.filter(|_| pool.gossip_price.is_some());
    // Gossip is disabled if its addresses are not configured.
    pool.gossip_price = pool.gossip_price.filter(|_| peers.is_some());
    Ok(PlatformConfig {
        name: root.field(key::NAME).optional_text()?.unwrap_or_else(|| DEFAULT_NAME.to_owned()),
        listen,
        cached_endpoints: http::decode_endpoint_list(&root.field(key::CACHED_ENDPOINT_LIST))?,
        pool,
        limits: Limits::decode(&root.field(key::LIMITS))?,
        admin_address: decode_optional_address(&root.field(key::ADMIN_ADDRESS))?,
        peers,
    })
}

fn decode_peers(root: &JsonNode<'_>) -> Result<Option<PeerAddresses>, DecodeError> {
    let listen = decode_optional_address(&root.field(key::PEER_LISTEN))?;
    let shared = decode_optional_address(&root.field(key::PEERS_ALL))?;
    let allowed_senders =
        root.field(key::PEERS).elements()?.iter().map(decode_address).collect::<Result<_, _>>()?;
    Ok(listen.zip(shared).map(|(listen, shared)| PeerAddresses { listen, shared, allowed_senders }))
}
