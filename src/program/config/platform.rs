//! The configuration of the platform's front.

use std::net::SocketAddr;

use super::fields::{decode_address, decode_optional_address, decode_seed};
use super::{pool, Limits};
use crate::protocol::http::{self, EndpointListUpdate};
use crate::protocol::json::{self, DecodeError, JsonNode};
use crate::routing::PoolConfig;

/// The balancer's name where none is configured. Log lines hold it.
const DEFAULT_NAME: &str = "sagemount";

/// What the platform's front is configured with.
#[derive(Debug)]
pub struct Platform {
    /// Its balancer's name.
    pub name: String,
    /// Where the platform's clients connect.
    pub listen: SocketAddr,
    /// The cached endpoint list.
    pub known: EndpointListUpdate,
    /// The platform's pool.
    pub pool: PoolConfig,
    /// What the platform gives the process.
    pub limits: Limits,
    /// Address of the admin endpoint.
    pub mgmt: Option<SocketAddr>,
    /// How the other balancers of the tier are reached, where the settings allow that.
    pub peers: Option<PeersAt>,
}

/// How balancers of a tier reach each other.
#[derive(Clone, Debug, PartialEq)]
pub struct PeersAt {
    /// Where this one receives gossip.
    pub listen: SocketAddr,
    /// An address at which all of them receive it.
    pub all: SocketAddr,
    /// The addresses that gossip is accepted from.
    pub from: Vec<SocketAddr>,
}

/// Parses the text of the platform's configuration.
///
/// # Errors
/// [`DecodeError`] if it is not JSON, or with the key that is wrong.
pub fn parse_platform(text: &[u8]) -> Result<Platform, DecodeError> {
    let document = json::parse_document(text)?;
    let root = JsonNode::root(&document);
    let listen = decode_address(&root.field("listen"))?;
    let discovery = decode_address(&root.field("discovery"))?;
    let mut pool = pool::decode_platform_pool(&root.field("settings"), decode_seed(&root.field("seed"))?)?;
    pool.discovery = Some(discovery);
    let peers = decode_peers(&root)?.filter(|_| pool.gossip_price.is_some());
    // Without addresses there is nobody to gossip with.
    pool.gossip_price = pool.gossip_price.filter(|_| peers.is_some());
    Ok(Platform {
        name: root.field("name").optional_text()?.unwrap_or_else(|| DEFAULT_NAME.to_owned()),
        listen,
        known: http::decode_endpoint_list(&root.field("known"))?,
        pool,
        limits: Limits::decode(&root.field("limits"))?,
        mgmt: decode_optional_address(&root.field("mgmt"))?,
        peers,
    })
}

fn decode_peers(root: &JsonNode<'_>) -> Result<Option<PeersAt>, DecodeError> {
    let listen = decode_optional_address(&root.field("peer_listen"))?;
    let all = decode_optional_address(&root.field("peers_all"))?;
    let from = root.field("peers").elements()?.iter().map(decode_address).collect::<Result<_, _>>()?;
    Ok(listen.zip(all).map(|(listen, all)| PeersAt { listen, all, from }))
}
