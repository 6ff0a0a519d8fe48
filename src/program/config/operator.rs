//! Parses the operator's file: the IRC front, the replicated map, the log and the limits of the process.

use std::net::SocketAddr;

use super::fields::decode_optional_address;
use super::irc::{self, IrcFrontConfig};
use super::limits::Limits;
use super::log::decode_log;
use super::operator_key as key;
use super::store::{decode_store, StoreConfig};
use crate::program::log::LogConfig;
use crate::protocol::json::{self, DecodeError, JsonNode};

/// Content of the operator's file.
#[derive(Debug)]
pub struct Operator {
    /// Configuration of the IRC front.
    pub irc: IrcFrontConfig,
    /// Configuration of the replicated map. `None` if the file has none.
    pub store: Option<StoreConfig>,
    /// Resources that the process may use.
    pub limits: Limits,
    /// Address of the admin endpoint. `None` if the file has none.
    pub admin_address: Option<SocketAddr>,
    /// Levels and format of the log.
    pub log: LogConfig,
}

/// Parses the text of the operator's file.
///
/// # Errors
/// [`DecodeError`] if the text is not JSON, or for the first invalid value.
pub fn parse_operator(text: &[u8]) -> Result<Operator, DecodeError> {
    let document = json::parse_document(text)?;
    let root = JsonNode::root(&document);
    root.reject_unknown_fields(&irc::ROOT_KEYS)?;
    let irc = irc::decode_irc(&root)?;
    let admin_address = decode_optional_address(&root.field(key::ADMIN_ADDRESS))?;
    let store = decode_store(&root.field(key::STORE))?;
    let log = decode_log(&root.field(key::LOG))?;
    Ok(Operator { irc, store, limits: Limits::decode(&root.field(key::LIMITS))?, admin_address, log })
}
