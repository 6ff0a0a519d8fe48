//! Errors of the daemon's start and of reloads.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use thiserror::Error;

use crate::program::config::ConfigError;

/// Why the daemon cannot start, or why a reload is rejected.
#[derive(Debug, Error)]
pub enum TransportError {
    /// The configuration cannot be read or is invalid.
    #[error("{0}")]
    Configuration(#[source] ConfigError),
    /// The asynchronous runtime cannot be built.
    #[error("cannot build the asynchronous runtime: {0}")]
    RuntimeStart(#[source] io::Error),
    /// A signal handler cannot be installed.
    #[error("cannot install a signal handler: {0}")]
    SignalHandler(#[source] io::Error),
    /// A socket cannot be opened or bound.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address as configured.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A reload changes a part of the store's configuration that cannot change while the process runs.
    #[error("store: only its peers may change without a restart")]
    StoreChanged,
    /// A file or folder cannot be read or written.
    #[error("{}: {source}", path.display())]
    File {
        /// Path of the file or folder.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A file of the store is corrupt in a way that an interrupted write cannot cause.
    #[error("{}: corrupt at byte {offset}", path.display())]
    CorruptFile {
        /// Path of the file.
        path: PathBuf,
        /// Offset of the first corrupt record, in bytes.
        offset: usize,
    },
}
