//! Decoding of the endpoint list from JSON.

use crate::protocol::json::{self, DecodeError, JsonNode};
use crate::routing::{Endpoint, Lifecycle};
use crate::{Micros, Time};

/// Keys of the list and of its entries.
mod key {
    pub(super) const GENERATION: &str = "generation";
    /// Whether the list is complete. Otherwise it contains changes only.
    pub(super) const IS_SNAPSHOT: &str = "reset";
    pub(super) const ENDPOINTS: &str = "instances";
    pub(super) const NAME: &str = "instanceId";
    pub(super) const ADDRESS: &str = "hostPort";
    pub(super) const ZONE: &str = "zone";
    pub(super) const CELL: &str = "cell";
    pub(super) const LIFECYCLE: &str = "lifecycle";
    pub(super) const WEIGHT: &str = "weight";
    /// Start time of the server's process, in milliseconds; 0 if unknown.
    pub(super) const STARTED_AT_MS: &str = "startedAtMs";
}

const LIFECYCLE_READY: &str = "ready";
const LIFECYCLE_DRAINING: &str = "draining";
const LIFECYCLE_GONE: &str = "gone";

/// Complete endpoint list, or changes to the endpoint list.
#[derive(Debug, PartialEq)]
pub struct EndpointListUpdate {
    /// Version of the list after this update, set by discovery.
    pub generation: u64,
    /// The update is the complete list. Otherwise it contains changes only.
    pub is_snapshot: bool,
    /// Listed endpoints. Changes include endpoints that are gone.
    pub endpoints: Vec<Endpoint>,
}

fn decode_endpoint(node: &JsonNode<'_>) -> Result<Endpoint, DecodeError> {
    let lifecycle = node.field(key::LIFECYCLE);
    Ok(Endpoint {
        name: node.field(key::NAME).required_text()?,
        address: node.field(key::ADDRESS).required_text()?,
        zone: node.field(key::ZONE).optional_text()?.unwrap_or_default(),
        cell: node.field(key::CELL).number_or(0.0)? as u32,
        lifecycle: match lifecycle.required_text()?.as_str() {
            LIFECYCLE_READY => Lifecycle::Ready,
            LIFECYCLE_DRAINING => Lifecycle::Draining,
            LIFECYCLE_GONE => Lifecycle::Gone,
            _ => return Err(lifecycle.unexpected("ready, draining or gone")),
        },
        weight: node.field(key::WEIGHT).number_or(1.0)?,
        started_at: Some(node.field(key::STARTED_AT_MS).duration_ms_or(Micros::ZERO)?)
            .filter(|at| !at.is_zero())
            .map(|at| Time(at.0)),
    })
}

/// Decodes an endpoint list. An absent value has its default, except for the name, address and lifecycle of
/// an endpoint.
///
/// # Errors
/// [`DecodeError`] with the key of the first faulty value.
pub fn decode_endpoint_list(node: &JsonNode<'_>) -> Result<EndpointListUpdate, DecodeError> {
    Ok(EndpointListUpdate {
        generation: node.field(key::GENERATION).number_or(0.0)? as u64,
        is_snapshot: node.field(key::IS_SNAPSHOT).flag_or(false)?,
        endpoints: node
            .field(key::ENDPOINTS)
            .elements()?
            .iter()
            .map(decode_endpoint)
            .collect::<Result<_, _>>()?,
    })
}

/// Parses an endpoint list from the body of a response, which is overwritten.
///
/// # Errors
/// [`DecodeError`] if the body is not JSON, or with the key of the first faulty value.
pub fn parse_endpoint_list(body: &mut [u8]) -> Result<EndpointListUpdate, DecodeError> {
    let document = json::parse_document_in_place(body)?;
    let root = JsonNode::root(&document);
    // Without this check, any other JSON document would be decoded as an empty list.
    for required in [key::GENERATION, key::ENDPOINTS] {
        if !root.field(required).is_present() {
            return Err(root.field(required).error("is missing"));
        }
    }
    decode_endpoint_list(&root)
}
