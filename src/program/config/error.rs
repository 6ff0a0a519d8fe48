//! What can be wrong with the configuration.

use std::io;
use std::net::AddrParseError;
use std::path::PathBuf;

use thiserror::Error;

use crate::protocol::json::DecodeError;

/// Why the configuration cannot be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// A file cannot be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// Why it cannot be read.
        source: io::Error,
    },
    /// A file's content is not a valid configuration.
    #[error("{}: {source}", path.display())]
    Decode {
        /// The file.
        path: PathBuf,
        /// What is wrong, and at which key.
        source: DecodeError,
    },
    /// The address of the admin endpoint in the environment is not valid.
    #[error("NODE_MGMT: an address with a port is wanted, such as 127.0.0.1:19000")]
    AdminAddress {
        /// Why it cannot be parsed.
        source: AddrParseError,
    },
    /// Neither front is configured.
    #[error("no front to serve: give --config FILE, set NODE_CONFIG or give --irc FILE")]
    NoFront,
}

/// Why an operator's entry must not be written to the replicated map.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{key}: {expected}")]
pub struct ReplicatedEntryError {
    /// The entry's key.
    pub key: String,
    /// What is wanted in its place.
    pub expected: &'static str,
}
