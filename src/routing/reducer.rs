//! The function that changes the state, and the dispatch of inputs to their handlers.

use super::{Effect, Input, State};
use crate::Time;

/// Applies one input to the state, and returns the effects to execute, in order. No other function changes
/// the state.
pub fn reduce(state: &mut State, now: Time, input: Input) -> Vec<Effect> {
    state.handle_input(now, input);
    std::mem::take(&mut state.effects)
}

impl State {
    /// Calls the handler of an input, and then finishes a graceful shutdown if its exit time is reached.
    #[expect(clippy::too_many_lines, reason = "a pure dispatcher with one arm for each input")]
    fn handle_input(&mut self, now: Time, input: Input) {
        match input {
            Input::ClientConnected { connection, pool } => self.on_client_connected(now, connection, pool),
            Input::ConnectionRequested { connection, request } => {
                self.on_connection_requested(now, connection, request);
            }
            Input::ClientDisconnected { connection } => self.on_client_disconnected(now, connection),
            Input::RequestTimedOut { connection } => self.on_request_timed_out(now, connection),
            Input::SocketsClosed { connection } => self.on_sockets_closed(now, connection),
            Input::RequestForwarded { connection, attempt } => {
                self.on_request_forwarded(now, connection, attempt);
            }
            Input::AttemptAccepted { connection, attempt } => {
                self.on_attempt_accepted(now, connection, attempt);
            }
            Input::AttemptEnded { connection, attempt, outcome } => {
                self.on_attempt_ended(now, connection, attempt, outcome);
            }
            Input::LineForwarded { connection } => self.on_line_forwarded(now, connection),
            Input::ServerActivity { connection } => self.on_server_activity(connection),
            Input::LoadReported { connection, value } => self.on_load_reported(now, connection, value),
            Input::StoredStateRead { entries, excluded_by_operator } => {
                self.on_stored_state_read(now, entries, excluded_by_operator);
            }
            Input::CachedEndpoints { pool, endpoints } => {
                self.apply_endpoint_update(now, pool, true, endpoints);
            }
            Input::EndpointsUpdated { pool, is_snapshot, endpoints } => {
                self.on_endpoints_updated(now, pool, is_snapshot, endpoints);
            }
            Input::EndpointWatchStarted { pool } => self.on_endpoint_watch_started(now, pool),
            Input::EndpointWatchLost { pool, failure, polled_ago } => {
                self.on_endpoint_watch_lost(now, pool, failure, polled_ago);
            }
            Input::EndpointWatchSilent { pool, polled_ago } => {
                self.on_endpoint_watch_silent(now, pool, polled_ago);
            }
            Input::GossipReceived { pool, message } => self.on_gossip_received(now, pool, message),
            Input::ProbeCompleted { pool, server, outcome } => {
                self.on_probe_completed(now, pool, server, outcome);
            }
            Input::ReplicaMessage { from, message } => self.on_replica_message(now, from, message),
            Input::ConfigurationChanged { pools, other_replicas, resource_limits } => {
                self.on_configuration_changed(now, pools, other_replicas, resource_limits);
            }
            Input::SuccessorStarted => self.on_successor_started(),
            Input::SuccessorReady => self.on_successor_ready(now),
            Input::ConnectionTransferred { connection } => self.on_connection_transferred(now, connection),
            Input::ImportState(handover_state) => self.import_state(now, *handover_state),
            Input::ConnectionReceived { connection, pool, established } => {
                self.on_connection_received(now, connection, pool, established);
            }
            Input::PeerProcessLost => self.on_peer_process_lost(now),
            Input::RequestIdShared { pool, id } => self.on_request_id_shared(now, &pool, &id),
            Input::ExclusionShared { server, excluded } => self.on_exclusion_shared(now, &server, excluded),
            Input::ExclusionAcknowledged { admin_call } => self.on_exclusion_acknowledged(admin_call),
            Input::Listening => self.on_listening(),
            Input::AdminRequest { admin_call, call } => self.on_admin_request(now, admin_call, call),
            Input::ShutdownRequested => self.on_shutdown_requested(now),
            Input::TimerFired => self.on_timer_fired(now),
        }
        self.finish_shutdown_if_complete(now);
    }
}
