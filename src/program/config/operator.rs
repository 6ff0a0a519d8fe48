//! The operator's file: the IRC front, the replicated map, the log and the limits of the process.

use std::net::SocketAddr;

use super::fields::decode_optional_address;
use super::irc::{self, Irc};
use super::limits::Limits;
use super::log::decode_log;
use super::operator_key as key;
use super::store::{decode_store, StoreConfig};
use crate::program::log::LogConfig;
use crate::protocol::json::{self, DecodeError, JsonNode};

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

/// Parses the text of an operator's file.
///
/// # Errors
/// [`DecodeError`] if it is not JSON, or with the key that is wrong.
pub fn parse_operator(text: &[u8]) -> Result<Operator, DecodeError> {
    let document = json::parse_document(text)?;
    let root = JsonNode::root(&document);
    root.reject_unknown_fields(&irc::ROOT_KEYS)?;
    let irc = irc::decode_irc(&root)?;
    let mgmt = decode_optional_address(&root.field(key::ADMIN_ADDRESS))?;
    let store = decode_store(&root.field(key::STORE))?;
    let log = decode_log(&root.field(key::LOG))?;
    Ok(Operator { irc, store, limits: Limits::decode(&root.field(key::LIMITS))?, mgmt, log })
}
