//! Decodes the configuration of the replicated map from the operator's file.

use std::net::SocketAddr;
use std::path::PathBuf;

use super::fields::decode_address;
use crate::protocol::json::{DecodeError, JsonNode};
use crate::routing::store::MAX_NODE_LENGTH;

mod key {
    pub(super) const NODE: &str = "node";
    pub(super) const LISTEN: &str = "listen";
    pub(super) const PEERS: &str = "peers";
    pub(super) const DIRECTORY: &str = "data";
}

const KEYS: [&str; 4] = [key::NODE, key::LISTEN, key::PEERS, key::DIRECTORY];

/// Configuration of the replicated map.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreConfig {
    /// Name of this node, at most [`MAX_NODE_LENGTH`] bytes.
    pub node: String,
    /// Address at which this replica receives messages of other replicas and commands of operators.
    pub listen: SocketAddr,
    /// Addresses of the other replicas.
    pub peers: Vec<SocketAddr>,
    /// Directory in which entries are persisted. Without it entries are kept in memory only.
    pub directory: Option<PathBuf>,
}

/// Decodes the configuration of the replicated map, or returns `None` if the file has none.
pub(super) fn decode_store(node: &JsonNode<'_>) -> Result<Option<StoreConfig>, DecodeError> {
    node.reject_unknown_fields(&KEYS)?;
    if !node.is_present() {
        return Ok(None);
    }
    let node_name = node.field(key::NODE).required_text()?;
    if node_name.len() > MAX_NODE_LENGTH {
        let length = node_name.len();
        let reason = format!("node name of {length} bytes exceeds the limit of {MAX_NODE_LENGTH}");
        return Err(node.field(key::NODE).error(&reason));
    }
    let peers = node.field(key::PEERS).elements()?.iter().map(decode_address).collect::<Result<_, _>>()?;
    let directory = node.field(key::DIRECTORY).optional_text()?.map(PathBuf::from);
    let listen = decode_address(&node.field(key::LISTEN))?;
    Ok(Some(StoreConfig { node: node_name, listen, peers, directory }))
}
