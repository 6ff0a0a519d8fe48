//! Decoders of the fields that the platform's configuration and the operator's file have in common.

use std::net::SocketAddr;

use crate::protocol::json::{DecodeError, JsonNode};
use crate::ZoneId;

/// The smallest share of a server's capacity that slow start may begin with: less could mean no connection at all.
pub(super) const MIN_SLOW_START_SHARE: f64 = 1e-6;

/// Decodes a required address with its port. The host has to be an IP address: there is no DNS.
pub(super) fn decode_address(node: &JsonNode<'_>) -> Result<SocketAddr, DecodeError> {
    let parsed = node.required_text()?.parse();
    parsed.map_err(|_| node.error("an address with a port is wanted, such as 127.0.0.1:8081"))
}

pub(super) fn decode_optional_address(node: &JsonNode<'_>) -> Result<Option<SocketAddr>, DecodeError> {
    node.is_present().then(|| decode_address(node)).transpose()
}

/// Decodes the seed of the random draws, 0 by default.
pub(super) fn decode_seed(node: &JsonNode<'_>) -> Result<u64, DecodeError> {
    let Some(text) = node.optional_text()? else { return Ok(0) };
    u64::from_str_radix(&text, 16).map_err(|_| node.error("up to 16 hexadecimal digits are wanted"))
}

/// Decodes the name of the zone that this balancer is in to its index among all zones.
pub(super) fn decode_zone(node: &JsonNode<'_>, zones: &[String]) -> Result<ZoneId, DecodeError> {
    let name = node.optional_text()?.filter(|name| !name.is_empty() && !zones.is_empty());
    let Some(name) = name else { return Ok(ZoneId(0)) };
    let index = zones.iter().position(|zone| *zone == name);
    index.map(|index| ZoneId(index as u16)).ok_or_else(|| node.error("one of the zones is wanted"))
}
