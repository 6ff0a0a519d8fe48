//! Sockets, timers and files of the process, on one tokio thread. This layer makes no decisions: it feeds
//! each event to the reducer as an input, and carries out the effects that the reducer returns.
//!
//! Dependencies between modules point in one direction only:
//!
//! 1. `clock`, `commands`, `error`, `log_event`, `observation`, `outlet` and the registries that tasks share
//!    (`accepting`, `connection_registry`, `fronts`, `peer_process`, `record`) depend on no task.
//! 2. `reducer` defines the handle through which every task feeds inputs to the reducer and reads the clock.
//! 3. Each kind of task or socket has a module: `connection`, `listener`, `admin_server`, `discovery_watch`,
//!    `probes`, `datagrams`, `hot_restart`.
//! 4. `driver` dispatches effects to channels and registered consumers, and imports none of the tasks.
//! 5. `assembly` connects the reducer to the driver; `daemon` and `replay` start the tasks.
#![deny(missing_docs)]

mod accepting;
mod admin_client;
mod admin_server;
mod assembly;
mod clock;
mod commands;
mod connection;
mod connection_registry;
mod daemon;
mod datagrams;
mod discovery_watch;
mod driver;
mod error;
mod excluded_servers;
pub mod files;
mod fronts;
mod hot_restart;
mod id_sequence;
mod listener;
mod log_event;
mod observation;
mod outlet;
mod peer_process;
mod pending_admin_calls;
mod probes;
mod record;
mod reducer;
mod replay;

pub use admin_client::{call_admin_endpoint, write_store_entry, ClientError};
pub use daemon::serve;
pub use error::TransportError;
pub use record::RecordingConfig;
pub use replay::{replay, FrontKind, ReplayError, UnknownFront};
