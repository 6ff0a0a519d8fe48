//! The reducer: all state of the daemon, and the one function that changes it.
//!
//! [`reduce`] takes an [`Input`] (an event outside the reducer) and the time, changes the [`State`], and
//! returns [`Effect`]s (actions to execute outside the reducer) in order. It performs no input or output,
//! reads no clock and draws random numbers only from seeded generators, so the same configuration and inputs
//! give the same effects. The driver in `src/transport/` feeds inputs and executes effects.
//!
//! Each kind of input has one handler, `State::on_…`, in the module of its concern:
//!
//! | concern | modules |
//! | --- | --- |
//! | pending connections, accept gate, requests, answers | `pending_connections`, `client`, `answers` |
//! | attempts and established connections | `attempts`, `established`, `connection_table` |
//! | the balancer's events and actions | `dispatch` |
//! | migration for balance | `migration` |
//! | endpoint list | `endpoint_updates`, `endpoint_watch`, `endpoints` |
//! | exclusions and admin calls | `exclusions`, `admin` |
//! | replicated map | `store`, `replication` |
//! | hot restart, shutdown, configuration | `hot_restart`, `shutdown`, `configuration` |
//! | gossip, health checks, load reports | `gossip`, `probes`, `load_reports` |
//!
//! `state` composes the parts, each of which keeps its own state and calls no handler:
//!
//! | part | modules |
//! | --- | --- |
//! | connections of clients | `connection_table`, `front_admission` |
//! | pools of servers | `pool`, and the parts that it lists |
//! | exclusions and replicated map | `operator_exclusions`, `replica`, `catch_up`, `store` |
//! | hot restart and shutdown | `hot_restart_state`, `shutdown_state` |
//!
//! Each pool of servers has a balancer (`src/policy/`), which chooses the server for each request. A
//! [`ConnectionId`] and the balancer's [`RequestId`](crate::RequestId) of the same connection have the same
//! number.
//!
//! These terms have one meaning each in this module:
//!
//! - A *front* is the listener with its protocol at which the clients of one pool connect. Each pool has one
//!   front and has its name.
//! - A *pool* is a set of servers with one endpoint list.
//! - The *tier* is this balancer and the other balancers that share its servers. Balancers of the tier
//!   exchange observations by gossip (`src/peers/`).
//! - A *replica* is a node that keeps a copy of the replicated map. The addresses of the other replicas are
//!   configured, and a log line calls such a replica a configured peer.
//! - The *peer process* of a hot restart is the predecessor or the successor of this process.
#![deny(missing_docs)]

mod admin;
mod admin_call;
mod admitted_connections;
mod answers;
mod attempts;
mod catch_up;
mod client;
mod configuration;
mod connection_request;
mod connection_table;
mod digest;
mod dispatch;
mod effect;
mod endpoint_updates;
mod endpoint_watch;
mod endpoints;
mod entry;
mod established;
mod exclusions;
mod fnv;
mod front_admission;
mod gossip;
mod handover_state;
mod hot_restart;
mod hot_restart_state;
mod ids;
mod input;
mod listed_endpoints;
mod load_reports;
mod log_event;
mod metrics;
mod migration;
mod operator_exclusions;
mod outcome;
mod pending_connections;
mod pool;
mod pool_config;
mod pool_exclusions;
mod probe_records;
mod probes;
mod recent_ids;
mod reducer;
mod repair_position;
mod replica;
mod replica_message;
mod replication;
mod shutdown;
mod shutdown_state;
mod state;
pub mod store;
mod timers;

pub use admin_call::{AdminCall, AdminRejection, AdminResponse};
pub use connection_request::ConnectionRequest;
pub use effect::Effect;
pub use endpoint_watch::EndpointWatchTiming;
pub use endpoints::{parse_replicated_endpoint, server_id, Endpoint, Lifecycle};
pub use handover_state::{
    ExportedEndpoint, HandoverState, PoolHandoverState, Readmission, TransferredConnection,
};
pub use ids::{AdminCallId, ConnectionId, PoolId};
pub use input::Input;
pub use log_event::LogEvent;
pub use metrics::{ClassCounters, Metrics};
pub use outcome::{Answer, AttemptOutcome, ProbeOutcome};
pub use pool_config::{PoolConfig, ReplicationConfig, ResourceLimits};
pub use probe_records::MAX_PROBES;
pub use reducer::reduce;
pub use state::State;
