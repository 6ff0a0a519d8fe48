//! What can keep the daemon from starting, or a new configuration from coming into force.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use thiserror::Error;

/// Why the daemon cannot start, or goes on with its old configuration.
#[derive(Debug, Error)]
pub enum TransportError {
    /// The configuration cannot be read, or is not valid.
    #[error("{0}")]
    Configuration(#[source] Box<dyn std::error::Error + Send + Sync>),
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
        /// What the system answered.
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
        /// What the system answered.
        source: io::Error,
    },
    /// A file of the store holds something that no interrupted write can have left there.
    #[error("{}: corrupt at byte {offset}", path.display())]
    CorruptFile {
        /// The file.
        path: PathBuf,
        /// Offset of the first bad record, in bytes.
        offset: usize,
    },
}
