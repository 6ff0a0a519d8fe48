//! The one place where configuration is read, checked and given its defaults. Every error names the key that is wrong.

mod error;
mod irc;
mod limits;
mod log;
mod operator;
mod platform;
mod pool;
mod rebalance;
mod replicated_entry;
mod sources;
mod store;

pub use error::{ConfigError, ReplicatedEntryError};
pub use irc::Irc;
pub use limits::Limits;
pub use operator::{parse_operator, Operator};
pub use platform::{parse_platform, PeersAt, Platform};
pub use rebalance::parse_rebalance;
pub use replicated_entry::check_replicated_entry;
pub use sources::{read_config, read_file, Sources};
pub use store::StoreConfig;

use std::net::SocketAddr;

use super::log::LogConfig;
use crate::protocol::json::{DecodeError, JsonNode};
use crate::routing::Budget;
use crate::ZoneId;

/// The smallest share of a server's capacity that slow start may begin with: less could mean no connection at all.
const MIN_SLOW_START_SHARE: f64 = 1e-6;

/// What the daemon is configured with: at least one front.
#[derive(Debug)]
pub struct Config {
    /// The platform's front.
    pub platform: Option<Platform>,
    /// The IRC front.
    pub irc: Option<Irc>,
    /// Address of the admin endpoint, if there is to be one.
    pub mgmt: Option<SocketAddr>,
    /// The replicated map, where an operator's file sets one up.
    pub store: Option<StoreConfig>,
    /// What both fronts together may hold.
    pub budget: Budget,
    /// How the log is written.
    pub log: LogConfig,
}

/// Decodes a required address with its port. The host has to be an IP address: there is no DNS.
fn decode_address(node: &JsonNode<'_>) -> Result<SocketAddr, DecodeError> {
    let parsed = node.required_text()?.parse();
    parsed.map_err(|_| node.error("an address with a port is wanted, such as 127.0.0.1:8081"))
}

fn decode_optional_address(node: &JsonNode<'_>) -> Result<Option<SocketAddr>, DecodeError> {
    node.is_present().then(|| decode_address(node)).transpose()
}

/// Decodes the seed of the random draws, 0 by default.
fn decode_seed(node: &JsonNode<'_>) -> Result<u64, DecodeError> {
    let Some(text) = node.optional_text()? else { return Ok(0) };
    u64::from_str_radix(&text, 16).map_err(|_| node.error("up to 16 hexadecimal digits are wanted"))
}

/// Decodes the name of the zone that this balancer is in to its index among all zones.
fn decode_zone(node: &JsonNode<'_>, zones: &[String]) -> Result<ZoneId, DecodeError> {
    let name = node.optional_text()?.filter(|name| !name.is_empty() && !zones.is_empty());
    let Some(name) = name else { return Ok(ZoneId(0)) };
    let index = zones.iter().position(|zone| *zone == name);
    index.map(|index| ZoneId(index as u16)).ok_or_else(|| node.error("one of the zones is wanted"))
}
