//! Sockets and timers on tokio, on one thread. Nothing is decided here: what comes in is fed to the reducer,
//! and its effects are carried out.
//!
//! `driver` does both; `daemon` starts everything and reloads the configuration. Each other module
//! is one kind of socket or file.
#![deny(missing_docs)]

mod admin_client;
mod admin_server;
mod commands;
mod connection;
mod daemon;
mod datagrams;
mod discovery_watch;
mod driver;
mod error;
mod excluded_servers;
pub mod files;
mod fronts;
mod hot_restart;
mod listener;
mod log_event;
mod observation;
mod probes;
mod record;
mod replay;

pub use admin_client::{call_admin_endpoint, write_store_entry, ClientError};
pub use admin_server::MAX_ADMIN_CLIENTS;
pub use daemon::serve;
pub use error::TransportError;
pub use record::RecordingConfig;
pub use replay::{replay, FrontKind, ReplayError, UnknownFront};
