//! Hot restart: a successor process takes over sockets, state and established connections from its
//! predecessor.
//!
//! [`super::hot_restart_state`] records the peer process, and the replies that wait for its acknowledgement.
//! A hot restart takes these steps:
//!
//! 1. The successor requests the predecessor's state. The predecessor stops accepting connections, because
//!    the exported state would lack connections that are accepted later. It then exports a [`HandoverState`].
//! 2. The successor imports the state, listens, and reports that it serves.
//! 3. The predecessor transfers its established connections. It transfers each other connection as soon as
//!    that is established. From this step on, only the successor fills servers that are warming up
//!    ([`super::endpoint_updates`]).
//! 4. While both processes run, an exclusion made at one process is shared with the other. The operator
//!    receives the reply `YES` when the other process has acknowledged the exclusion, is lost, or has not
//!    answered within half a second. The reply guarantees only that the exclusion is in effect at the process
//!    that sends it.
//! 5. When the link to the peer process ends, a predecessor accepts connections again. A successor may then
//!    use all descriptors, and client-chosen ids that were in use at the predecessor.
//!
//! While the predecessor runs, its sockets use descriptors of a limit that both processes share. The
//! successor therefore accepts fewer pending connections.

use super::client::RequestProfile;
use super::connection_table::ClientConnection;
use super::dispatch::request_id;
use super::hot_restart_state::PeerProcess;
use super::{
    server_id, AdminCallId, AdminResponse, ConnectionId, ConnectionRequest, Effect, HandoverState, LogEvent,
    PoolId, State, TransferredConnection,
};
use crate::{Event, GroupId, Measurement, Outcome, ServerId, Time};

// ---- At the predecessor ----

impl State {
    /// Stops accepting connections and exports this process's state to a successor.
    pub(super) fn on_successor_started(&mut self) {
        self.hot_restart.record_successor_started();
        let state = self.export_state();
        self.effects.push(Effect::SetAccepting { open: false });
        self.effects.push(Effect::ExportState(Box::new(state)));
    }

    fn export_state(&self) -> HandoverState {
        let pools = self.pools.iter().map(|pool| (pool.config.name.to_owned(), pool.export_state()));
        HandoverState {
            excluded_by_operator: self.exclusions.excluded_names(),
            known_server_names: self.exclusions.names_ever_listed(),
            entries: self.replication.entries(),
            pools: pools.collect(),
            pending_descriptors: self.admission.pending_count(),
        }
    }

    /// Transfers all established connections to the successor, which serves from now on.
    pub(super) fn on_successor_ready(&mut self, now: Time) {
        if !self.hot_restart.record_successor_ready() {
            return;
        }
        self.effects.push(Effect::Log(LogEvent::SuccessorReady));
        self.refresh_all_endpoints(now);
        for id in self.connections.ids() {
            self.transfer_connection(id);
        }
    }

    /// Transfers a connection to the successor, if the successor serves and the connection is established.
    pub(super) fn transfer_connection(&mut self, id: ConnectionId) {
        if !self.hot_restart.successor_serves() {
            return;
        }
        let Some(connection) = self.connections.get_established(id) else { return };
        let Some(attempt) = connection.attempt() else { return };
        let pool = connection.pool;
        let Some(endpoint) = self.pools[pool.0].endpoints.get(attempt.server) else { return };
        let established = TransferredConnection {
            request: connection.request.clone(),
            server: endpoint.name.clone(),
            reported_load: connection.load,
            awaiting_server_since: connection.awaiting_server_since,
        };
        self.effects.push(Effect::TransferConnection { connection: id, pool, established });
    }

    /// Removes a connection whose sockets the successor has taken over. The connection continues at the
    /// successor, so no end of it is reported; its attempt counts as cancelled.
    pub(super) fn on_connection_transferred(&mut self, now: Time, id: ConnectionId) {
        let Some(pool) = self.connections.pool_of(id) else { return };
        let attempt = self.remove_connection(now, id);
        self.admission.remove_pending(id);
        if let Some(attempt) = attempt {
            let event = Event::AttemptEnded {
                request: request_id(id),
                attempt: attempt.number,
                outcome: Outcome::Cancelled,
                answered: true,
            };
            self.dispatch(now, pool, event);
        }
    }
}

// ---- At the successor ----

impl State {
    /// Imports the predecessor's state. The learned state of servers is imported last, because the balancer
    /// keeps it only for listed servers.
    pub(super) fn import_state(&mut self, now: Time, state: HandoverState) {
        self.hot_restart.record_predecessor(state.pending_descriptors);
        self.exclusions.import(state.excluded_by_operator, state.known_server_names);
        self.replication.import_entries(state.entries);
        self.persist_exclusions();
        for pool_id in (0..self.pools.len()).map(PoolId) {
            let pool = &mut self.pools[pool_id.0];
            let Some(pool_state) = state.pools.get(pool.config.name) else { continue };
            pool.import_state(now, pool_state);
            self.refresh_endpoints(now, pool_id);
            self.pools[pool_id.0].import_learned_state(pool_state);
        }
    }

    /// Takes over an established connection that the predecessor transferred.
    pub(super) fn on_connection_received(
        &mut self,
        now: Time,
        id: ConnectionId,
        pool_id: PoolId,
        established: TransferredConnection,
    ) {
        let Some(pool) = self.pools.get_mut(pool_id.0) else { return };
        let server = server_id(&established.server);
        let was_listed = pool.endpoints.get(server).is_some();
        pool.admitted.add_transferred(&established.request);
        let load = established.reported_load;
        let profile = self.insert_received_connection(now, id, pool_id, server, established);
        self.report_to_balancer(now, id, pool_id, server, profile);
        if let Some(load) = load {
            self.record_transferred_load(now, id, pool_id, load);
        }
        self.schedule_established_timer(now, id);
        self.notify_established(now, id, None);
        // A connection at a draining or unlisted server must leave it, like the connections that were there
        // when the server's state changed.
        if !was_listed || self.pools[pool_id.0].endpoints.get_if_ready(server).is_none() {
            self.refresh_endpoints(now, pool_id);
        }
    }

    /// Adds a transferred connection to the table, and returns the properties of its request for the
    /// balancer.
    fn insert_received_connection(
        &mut self,
        now: Time,
        id: ConnectionId,
        pool_id: PoolId,
        server: ServerId,
        established: TransferredConnection,
    ) -> RequestProfile {
        let config = &self.pools[pool_id.0].config;
        let request = &established.request;
        // The predecessor admitted the connection, so it is served even if this process does not have its
        // class configured. In that case it is counted in no class.
        let class = config.class_id(&request.class);
        let tenant = request.tenant.as_deref().and_then(|name| config.tenant_id(name));
        let profile = RequestProfile {
            class: class.unwrap_or_default(),
            tenant,
            group: request.group.map(GroupId),
            load: request.load,
        };
        let connection = ClientConnection::transferred(pool_id, now, class, established);
        self.connections.insert(id, connection);
        if let Some(attempt) = self.connections.begin_attempt(id, server, now, None) {
            self.connections.mark_forwarded(now, id, attempt.number);
        }
        profile
    }

    /// Reports a transferred connection to the balancer.
    fn report_to_balancer(
        &mut self,
        now: Time,
        id: ConnectionId,
        pool_id: PoolId,
        server: ServerId,
        profile: RequestProfile,
    ) {
        let RequestProfile { class, tenant, group, load } = profile;
        let request = request_id(id);
        let event = Event::EstablishedConnectionAdded { request, class, tenant, group, load, server };
        self.dispatch(now, pool_id, event);
    }

    /// Records the load that the server reported last for a transferred connection.
    fn record_transferred_load(&mut self, now: Time, id: ConnectionId, pool_id: PoolId, load: f64) {
        self.connections.record_load(id, load);
        self.pools[pool_id.0].load_reports.add_load(load);
        let measurement = Measurement::Load(load);
        self.dispatch(now, pool_id, Event::ConnectionMeasured { request: request_id(id), measurement });
    }
}

// ---- At both processes ----

impl State {
    /// Shares an exclusion or readmission with the peer process. The reply to the admin client waits for the
    /// acknowledgement.
    pub(super) fn share_exclusion(
        &mut self,
        now: Time,
        admin_call: AdminCallId,
        server: String,
        excluded: bool,
    ) {
        self.hot_restart.await_acknowledgement(now, admin_call);
        self.effects.push(Effect::ShareExclusion { admin_call, server, excluded });
    }

    /// Tells the peer process that this process has admitted a request, so that the peer process does not admit
    /// another one with the same id. Requests that both processes admit at the same moment are not detected.
    pub(super) fn share_request_id(&mut self, pool_id: PoolId, request: &ConnectionRequest) {
        if let Some(id) = request.id.clone().filter(|_| self.hot_restart.has_peer_process()) {
            let pool = self.pools[pool_id.0].config.name;
            self.effects.push(Effect::ShareRequestId { pool, id });
        }
    }

    /// Records that the peer process has admitted a request.
    pub(super) fn on_request_id_shared(&mut self, now: Time, pool: &str, id: &str) {
        if let Some(pool) = self.pools.iter_mut().find(|known| known.config.name == pool) {
            pool.admitted.record_at_peer_process(now, id);
        }
    }

    /// Replies to an admin client after the peer process has acknowledged its exclusion, or after the wait
    /// for the acknowledgement has ended.
    pub(super) fn on_exclusion_acknowledged(&mut self, admin_call: AdminCallId) {
        if self.hot_restart.end_acknowledgement_wait(admin_call) {
            self.effects.push(Effect::AdminReply { admin_call, reply: AdminResponse::Yes });
        }
    }

    /// Replies `YES` to admin clients whose wait has timed out, since their exclusion is in effect at this
    /// process.
    pub(super) fn reply_to_timed_out_admin_clients(&mut self, now: Time) {
        for admin_call in self.hot_restart.timed_out_admin_calls(now) {
            self.on_exclusion_acknowledged(admin_call);
        }
    }

    /// Handles the end of the peer process, or of the link to it.
    pub(super) fn on_peer_process_lost(&mut self, now: Time) {
        let peer_process = self.hot_restart.take_peer_process();
        for admin_call in self.hot_restart.pending_admin_calls() {
            self.on_exclusion_acknowledged(admin_call);
        }
        match peer_process {
            Some(PeerProcess::StartingSuccessor | PeerProcess::Successor) => self.on_successor_lost(now),
            Some(PeerProcess::Predecessor { .. }) => self.on_predecessor_lost(now),
            None => {}
        }
    }

    /// Resumes serving in place of the successor.
    fn on_successor_lost(&mut self, now: Time) {
        self.effects.push(Effect::Log(LogEvent::SuccessorLost));
        self.effects.push(Effect::SetAccepting { open: self.admission.is_gate_open() });
        self.refresh_all_endpoints(now);
    }

    /// Releases the request ids and descriptors that were reserved for the predecessor.
    fn on_predecessor_lost(&mut self, now: Time) {
        for pool in &mut self.pools {
            pool.admitted.release_predecessor_ids();
        }
        self.evict_pending_connections(now);
    }
}
