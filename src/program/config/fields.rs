//! Decoders for fields that occur in several configuration files.

use std::net::SocketAddr;

use crate::protocol::json::{DecodeError, JsonNode};
use crate::ZoneId;

/// Smallest share of a server's capacity that slow start may begin with. With a smaller share a server might
/// get no connection at all.
pub(super) const MIN_SLOW_START_SHARE: f64 = 1e-6;

/// Decodes a required IP address with a port. Host names are rejected because the balancer does not use DNS.
pub(super) fn decode_address(node: &JsonNode<'_>) -> Result<SocketAddr, DecodeError> {
    let text = node.required_text()?;
    text.parse().map_err(|_| {
        node.error(&format!("expected an IP address with a port, such as 127.0.0.1:8081, got {text:?}"))
    })
}

pub(super) fn decode_optional_address(node: &JsonNode<'_>) -> Result<Option<SocketAddr>, DecodeError> {
    node.is_present().then(|| decode_address(node)).transpose()
}

/// Decodes the seed of the random draws, 0 by default.
pub(super) fn decode_seed(node: &JsonNode<'_>) -> Result<u64, DecodeError> {
    let Some(text) = node.optional_text()? else { return Ok(0) };
    u64::from_str_radix(&text, 16)
        .map_err(|_| node.error(&format!("expected up to 16 hexadecimal digits, got {text:?}")))
}

/// Decodes the name of this balancer's zone and returns the zone's index among `zones`. The index is 0 if the
/// name is absent or empty, or if no zones are configured.
pub(super) fn decode_zone(node: &JsonNode<'_>, zones: &[String]) -> Result<ZoneId, DecodeError> {
    let name = node.optional_text()?.filter(|name| !name.is_empty() && !zones.is_empty());
    let Some(name) = name else { return Ok(ZoneId(0)) };
    let index = zones.iter().position(|zone| *zone == name);
    index
        .map(|index| ZoneId(index as u16))
        .ok_or_else(|| node.error(&format!("expected one of the zones {zones:?}, got {name:?}")))
}
