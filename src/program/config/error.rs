//! Errors in the configuration and in entries for the replicated map.

use std::io;
use std::net::AddrParseError;
use std::path::PathBuf;

use thiserror::Error;

use crate::protocol::json::DecodeError;

/// The reason why the configuration is rejected.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// A file cannot be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Error of the system.
        source: io::Error,
    },
    /// A file's content is not a valid configuration.
    #[error("{}: {source}", path.display())]
    Decode {
        /// Path of the file.
        path: PathBuf,
        /// Key path of the invalid value and the reason, or the syntax error.
        source: DecodeError,
    },
    /// The environment variable with the address of the admin endpoint has an invalid value.
    #[error("NODE_MGMT: expected an IP address with a port, such as 127.0.0.1:19000, got {value:?}")]
    AdminAddress {
        /// Value of the variable.
        value: String,
        /// Error of the parser.
        source: AddrParseError,
    },
    /// No configuration file was given for either front.
    #[error("no front is configured: give --config FILE, set NODE_CONFIG or give --irc FILE")]
    NoFront,
}

/// Describes the value of an entry in an error message.
fn describe_value(value: Option<&str>) -> String {
    value.map_or_else(|| "no value".to_owned(), |text| format!("value {text:?}"))
}

/// Error for an entry that an operator must not write to the replicated map.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{key}: got {}, expected {expected}", describe_value(.value.as_deref()))]
pub struct ReplicatedEntryError {
    /// Key of the entry.
    pub key: String,
    /// Value of the entry. `None` if the key was to be deleted.
    pub value: Option<String>,
    /// Keys or values that are allowed.
    pub expected: &'static str,
}
