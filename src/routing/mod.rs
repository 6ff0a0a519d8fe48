//! The reducer: all state of the daemon, and the one function that changes it.
//!
//! [`reduce`] takes an [`Input`] (something that happened outside) and the time, changes the [`State`], and
//! returns [`Effect`]s (what has to be done outside) in order. It performs no input or output, reads no clock
//! and has no randomness but seeded draws: the same configuration and inputs give the same effects. The
//! driver in `src/transport/` feeds inputs and executes effects.
//!
//! Each kind of input has one handler, `State::on_…`, in the module of its concern:
//!
//! | concern | modules |
//! | --- | --- |
//! | capacity at the sockets, requests, answers | `front_admission`, `client`, `answers` |
//! | attempts and established connections | `attempts`, `established`, `connection_table` |
//! | the balancer's events and actions | `dispatch` |
//! | migration for balance | `migration` |
//! | endpoint list | `endpoint_updates`, `endpoint_watch`, `endpoints` |
//! | exclusions and admin calls | `exclusions`, `admin` |
//! | replicated map | `store`, `replication` |
//! | hot restart, shutdown, configuration | `hot_restart`, `shutdown`, `configuration` |
//! | gossip, health checks, load reports | `gossip`, `probes`, `load_reports` |
//!
//! Each pool of servers has a balancer (`src/policy/`), which decides where a request goes. A connection here
//! is a request there, under the same number.
#![deny(missing_docs)]

mod admin;
mod admin_call;
mod admitted_connections;
mod answers;
mod attempts;
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
mod ids;
mod input;
mod listed_endpoints;
mod load_reports;
mod log_event;
mod metrics;
mod migration;
mod outcome;
mod pool;
mod pool_config;
mod probes;
mod repair_position;
mod replica_message;
mod replication;
mod shutdown;
pub mod store;
mod timers;

use connection_table::ConnectionTable;
use endpoints::EndpointList;
use exclusions::OperatorExclusions;
use front_admission::FrontAdmission;
use hot_restart::HotRestart;
use pool::Pool;
use replication::Replication;
use shutdown::Shutdown;

pub use admin_call::{AdminCall, AdminRejection, AdminResponse};
pub use connection_request::ConnectionRequest;
pub use effect::Effect;
pub use endpoint_watch::EndpointWatchTiming;
pub use endpoints::{server_id, stored_endpoint, Endpoint, Lifecycle};
pub use handover_state::{
    EstablishedConnection, ExportedEndpoint, HandoverState, PoolHandoverState, Readmission,
};
pub use ids::{AdminClientId, ConnectionId, PoolId};
pub use input::Input;
pub use log_event::LogEvent;
pub use metrics::{ClassCounters, Metrics};
pub use outcome::{Answer, AttemptOutcome};
pub use pool_config::{Budget, PoolConfig, ReplicationConfig};
pub use probes::{ProbeEnd, MAX_PROBES};

use crate::Time;

/// All state of the daemon.
pub struct State {
    pools: Vec<Pool>,
    connections: ConnectionTable,
    admission: FrontAdmission,
    exclusions: OperatorExclusions,
    replication: Replication,
    hot_restart: HotRestart,
    shutdown: Shutdown,
    /// Whether the fronts listen.
    is_listening: bool,
    /// Attempts written in full since the start.
    forwarded_requests: u64,
    /// Effects of the input that is being handled.
    effects: Vec<Effect>,
}

/// Applies one input to the state, and returns what has to be done, in order. The state changes in no other
/// way.
pub fn reduce(state: &mut State, now: Time, input: Input) -> Vec<Effect> {
    state.handle_input(now, input);
    std::mem::take(&mut state.effects)
}

impl State {
    /// The state of a process that has just started with this configuration.
    pub fn new(pools: Vec<PoolConfig>, replication: ReplicationConfig, budget: Budget, now: Time) -> State {
        State {
            pools: pools.into_iter().map(|config| Pool::new(config, now)).collect(),
            connections: ConnectionTable::default(),
            admission: FrontAdmission::new(budget),
            exclusions: OperatorExclusions::default(),
            replication: Replication::new(replication, now),
            hot_restart: HotRestart::default(),
            shutdown: Shutdown::default(),
            is_listening: false,
            forwarded_requests: 0,
            effects: Vec::new(),
        }
    }

    /// The limits of all fronts.
    pub fn budget(&self) -> Budget {
        self.admission.budget()
    }

    /// Hands an input to its handler, in one arm for each kind of input.
    #[expect(clippy::too_many_lines, reason = "a pure dispatcher with one arm for each input")]
    fn handle_input(&mut self, now: Time, input: Input) {
        match input {
            Input::ClientConnected { connection, pool } => self.on_client_connected(now, connection, pool),
            Input::ConnectionRequested { connection, request } => {
                self.on_connection_requested(now, connection, request);
            }
            Input::ClientDisconnected { connection } => self.on_client_disconnected(now, connection),
            Input::HandshakeTimedOut { connection } => self.on_handshake_timed_out(now, connection),
            Input::SocketsClosed { connection } => self.on_sockets_closed(now, connection),
            Input::RequestForwarded { connection, attempt } => {
                self.on_request_forwarded(now, connection, attempt);
            }
            Input::AttemptAccepted { connection, attempt } => {
                self.on_attempt_accepted(now, connection, attempt);
            }
            Input::AttemptEnded { connection, attempt, end } => {
                self.on_attempt_ended(now, connection, attempt, end);
            }
            Input::LineForwarded { connection } => self.on_line_forwarded(now, connection),
            Input::ServerActivity { connection } => self.on_server_activity(connection),
            Input::LoadReported { connection, load } => self.on_load_reported(now, connection, load),
            Input::StateRestored { entries, excluded_by_operator } => {
                self.on_state_restored(now, entries, excluded_by_operator);
            }
            Input::CachedEndpoints { pool, endpoints } => {
                self.apply_endpoint_update(now, pool, true, endpoints);
            }
            Input::EndpointsUpdated { pool, is_snapshot, endpoints } => {
                self.on_endpoints_updated(now, pool, is_snapshot, endpoints);
            }
            Input::EndpointWatchLost { pool, failure } => self.on_endpoint_watch_lost(now, pool, failure),
            Input::EndpointWatchSilent { pool, called_ago } => {
                self.on_endpoint_watch_silent(now, pool, called_ago);
            }
            Input::GossipReceived { pool, message } => self.on_gossip_received(now, pool, message),
            Input::ProbeCompleted { pool, server, end } => self.on_probe_completed(now, pool, server, end),
            Input::ReplicaMessage { from, message } => self.on_replica_message(now, from, message),
            Input::ConfigurationChanged { pools, peers, budget } => {
                self.on_configuration_changed(now, pools, peers, budget);
            }
            Input::SuccessorStarted => self.on_successor_started(),
            Input::SuccessorReady => self.on_successor_ready(now),
            Input::ConnectionTransferred { connection } => self.on_connection_transferred(now, connection),
            Input::ImportState(handover_state) => self.import_state(now, *handover_state),
            Input::ConnectionReceived { connection, pool, established } => {
                self.on_connection_received(now, connection, pool, established);
            }
            Input::PeerProcessLost => self.on_peer_process_lost(now),
            Input::ExclusionShared { server, excluded } => self.on_exclusion_shared(now, &server, excluded),
            Input::ExclusionAcknowledged { admin_client } => self.on_exclusion_acknowledged(admin_client),
            Input::Listening => self.on_listening(),
            Input::AdminRequest { admin_client, call } => self.on_admin_request(now, admin_client, call),
            Input::ShutdownRequested => self.on_shutdown_requested(now),
            Input::TimerFired => self.on_timer_fired(now),
        }
        self.finish_shutdown_if_complete(now);
    }
}
