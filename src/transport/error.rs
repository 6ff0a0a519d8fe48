//! Errors of the daemon's start and of a reload.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use thiserror::Error;

use crate::program::config::ConfigError;

/// Why the daemon cannot start, or rejects a new configuration.
#[derive(Debug, Error)]
pub enum TransportError {
    /// The configuration cannot be read, or is not valid.
    #[error("{0}")]
    Configuration(#[source] ConfigError),
    /// The asynchronous runtime cannot be built.
    #[error("cannot start: {0}")]
    RuntimeStart(#[source] io::Error),
    /// A signal handler cannot be installed.
    #[error("no signals: {0}")]
    SignalHandler(#[source] io::Error),
    /// A socket cannot be opened or bound.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address as configured.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// A reload changes a part of the store's configuration that is fixed while the process runs.
    #[error("store: only its peers may change without a restart")]
    StoreChanged,
    /// A file or folder cannot be read or written.
    #[error("{}: {source}", path.display())]
    File {
        /// The file or folder.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// A file of the store is corrupt in a way that an interrupted write cannot cause.
    #[error("{}: corrupt at byte {offset}", path.display())]
    CorruptFile {
        /// The file.
        path: PathBuf,
        /// Offset of the first bad record, in bytes.
        offset: usize,
    },
}
