//! Hot restart: a successor process takes over from its predecessor. What one exports the other imports, and what
//! an operator changes meanwhile both have to know.

use std::collections::BTreeMap;

use super::client::RequestProfile;
use super::connection_table::{Attempt, ClientConnection, Phase};
use super::dispatch::request_id;
use super::{
    server_id, AdminClientId, AdminResponse, Budget, ConnectionId, Effect, EstablishedConnection,
    HandoverState, LogEvent, PoolId, State,
};
use crate::{Event, GroupId, Measurement, Micros, Outcome, ServerId, Time};

/// How long a reply to an admin client waits for the peer process: it is due within 1 s.
const ACKNOWLEDGEMENT_TIMEOUT: Micros = Micros::from_millis(500);

/// The other process, while there are two.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PeerProcess {
    /// It has requested this process's state and does not serve yet.
    StartingSuccessor,
    /// It serves in this process's place.
    Successor,
    /// It served before this process, and still uses descriptors, which this process may use the fewer of.
    Predecessor { open_descriptors: usize },
}

/// The peer process, and the admin clients whose reply waits for it.
#[derive(Default)]
pub(super) struct HotRestart {
    peer_process: Option<PeerProcess>,
    /// Until when each reply waits.
    pending_acknowledgements: BTreeMap<AdminClientId, Time>,
}

impl HotRestart {
    pub(super) fn has_peer_process(&self) -> bool {
        self.peer_process.is_some()
    }

    pub(super) fn successor_serves(&self) -> bool {
        self.peer_process == Some(PeerProcess::Successor)
    }

    /// Whether a successor accepts what connects, or is about to.
    pub(super) fn successor_accepts(&self) -> bool {
        matches!(self.peer_process, Some(PeerProcess::StartingSuccessor | PeerProcess::Successor))
    }

    /// How many descriptors of this process's share a predecessor uses. At most three quarters of those for
    /// connections that wait: with all of them in use no client could connect.
    pub(super) fn borrowed_descriptors(&self, budget: Budget) -> usize {
        match self.peer_process {
            Some(PeerProcess::Predecessor { open_descriptors }) => {
                open_descriptors.min(budget.pending * 3 / 4)
            }
            _ => 0,
        }
    }

    /// When the next reply stops waiting.
    pub(super) fn next_acknowledgement_timeout(&self) -> Option<Time> {
        self.pending_acknowledgements.values().copied().min()
    }

    /// The admin clients whose reply waits.
    fn waiting_admin_clients(&self) -> Vec<AdminClientId> {
        self.pending_acknowledgements.keys().copied().collect()
    }

    /// The admin clients whose reply has waited long enough.
    fn overdue_admin_clients(&self, now: Time) -> Vec<AdminClientId> {
        let overdue = self.pending_acknowledgements.iter().filter(|(_, timeout)| **timeout <= now);
        overdue.map(|(&admin_client, _)| admin_client).collect()
    }
}

// ---- At the process that is replaced ----

impl State {
    /// A successor requests this process's state. Until it serves nothing is accepted here, or the state would be
    /// out of date.
    pub(super) fn on_successor_started(&mut self) {
        self.hot_restart.peer_process = Some(PeerProcess::StartingSuccessor);
        let state = self.export_state();
        self.effects.push(Effect::SetAccepting { open: false });
        self.effects.push(Effect::ExportState(Box::new(state)));
    }

    fn export_state(&self) -> HandoverState {
        let pools = self.pools.iter().map(|pool| (pool.config.name.to_owned(), pool.export_state()));
        HandoverState {
            excluded_by_operator: self.exclusions.names(),
            ever_listed: self.exclusions.names_ever_listed(),
            entries: self.replication.entries(),
            pools: pools.collect(),
            left: self.admission.pending_count(),
        }
    }

    /// The successor serves: established connections are transferred to it, and cold servers are its to fill.
    pub(super) fn on_successor_ready(&mut self, now: Time) {
        if self.hot_restart.peer_process != Some(PeerProcess::StartingSuccessor) {
            return;
        }
        self.hot_restart.peer_process = Some(PeerProcess::Successor);
        self.effects.push(Effect::Log(LogEvent::SuccessorReady));
        self.refresh_all_endpoints(now);
        for id in self.connections.ids() {
            self.transfer_connection(id);
        }
    }

    /// Transfers a connection to the successor, if it serves and the connection is established.
    pub(super) fn transfer_connection(&mut self, id: ConnectionId) {
        if !self.hot_restart.successor_serves() {
            return;
        }
        let Some(connection) = self.connections.get_established(id) else { return };
        let Some(attempt) = connection.attempt() else { return };
        let pool = connection.pool;
        let Some(endpoint) = self.pools[pool].endpoints.get(attempt.server) else { return };
        let established = EstablishedConnection {
            request: connection.request.clone(),
            server: endpoint.name.clone(),
            load: connection.load,
            awaiting_server_since: connection.awaiting_server_since,
        };
        self.effects.push(Effect::TransferConnection { connection: id, pool, established });
    }

    /// A connection's sockets are with the successor: nothing of it is left here, and it has not ended.
    pub(super) fn on_connection_transferred(&mut self, now: Time, id: ConnectionId) {
        let Some(pool) = self.connections.pool_of(id) else { return };
        let attempt = self.release(now, id);
        self.admission.remove_pending(id);
        if let Some(attempt) = attempt {
            let (request, attempt, outcome) = (request_id(id), attempt.number, Outcome::Cancelled);
            self.dispatch(now, pool, Event::AttemptEnded { request, attempt, outcome, answered: true });
        }
    }
}

// ---- At the successor ----

impl State {
    /// Takes in what the predecessor knew.
    pub(super) fn import_state(&mut self, now: Time, state: HandoverState) {
        self.hot_restart.peer_process = Some(PeerProcess::Predecessor { open_descriptors: state.left });
        self.exclusions.import(state.excluded_by_operator, state.ever_listed);
        self.replication.import_entries(state.entries);
        self.persist_exclusions();
        for pool_id in 0..self.pools.len() {
            let pool = &mut self.pools[pool_id];
            let Some(pool_state) = state.pools.get(pool.config.name) else { continue };
            pool.import_state(pool_state);
            self.refresh_endpoints(now, pool_id);
            self.pools[pool_id].import_learned_state(pool_state);
        }
    }

    /// An established connection arrived from the predecessor, and goes on here.
    pub(super) fn on_connection_received(
        &mut self,
        now: Time,
        id: ConnectionId,
        pool_id: PoolId,
        established: EstablishedConnection,
    ) {
        let Some(pool) = self.pools.get_mut(pool_id) else { return };
        let server = server_id(&established.server);
        let was_listed = pool.endpoints.get(server).is_some();
        pool.admitted.add_transferred(&established.request);
        let load = established.load;
        let profile = self.insert_received_connection(now, id, pool_id, server, established);
        self.restore_in_balancer(now, id, pool_id, server, profile);
        if let Some(load) = load {
            self.restore_load(now, id, pool_id, load);
        }
        self.schedule_established_timer(now, id);
        self.notify_established(now, id, None);
        // If its server drains or is gone, so must the connection.
        if !was_listed || self.pools[pool_id].endpoints.get_ready(server).is_none() {
            self.refresh_endpoints(now, pool_id);
        }
    }

    /// Adds a transferred connection to the table, and returns what the decision module has to know of its request.
    fn insert_received_connection(
        &mut self,
        now: Time,
        id: ConnectionId,
        pool_id: PoolId,
        server: ServerId,
        established: EstablishedConnection,
    ) -> RequestProfile {
        let config = &self.pools[pool_id].config;
        let request = established.request;
        // The predecessor admitted it: a class that is not configured here is counted nowhere, but served.
        let class = config.class_id(&request.class);
        let tenant = request.tenant.as_deref().and_then(|name| config.tenant_id(name));
        let profile = RequestProfile {
            class: class.unwrap_or_default(),
            tenant,
            group: request.group.map(GroupId),
            load: request.load,
        };
        let mut connection = ClientConnection::new(pool_id, now);
        connection.class = class;
        connection.request = request;
        connection.phase = Phase::Established;
        connection.attempts = 1;
        connection.awaiting_server_since = established.awaiting_server_since;
        self.connections.insert(id, connection);
        let attempt =
            Attempt { number: 0, server, forwarded: true, since: now, accept_by: now, forward_by: None };
        self.connections.begin_attempt(id, attempt);
        profile
    }

    fn restore_in_balancer(
        &mut self,
        now: Time,
        id: ConnectionId,
        pool_id: PoolId,
        server: ServerId,
        profile: RequestProfile,
    ) {
        let RequestProfile { class, tenant, group, load } = profile;
        let request = request_id(id);
        let event = Event::ConnectionRestored { request, class, tenant, group, load, server };
        self.dispatch(now, pool_id, event);
    }

    /// Takes in the load that a transferred connection's server reported last.
    fn restore_load(&mut self, now: Time, id: ConnectionId, pool_id: PoolId, load: f64) {
        if let Some(connection) = self.connections.get_mut(id) {
            connection.load = Some(load);
        }
        self.pools[pool_id].load_reports.add_load(load);
        let measurement = Measurement::Load(load);
        self.dispatch(now, pool_id, Event::ConnectionMeasured { request: request_id(id), measurement });
    }
}

// ---- At both ----

impl State {
    /// Has the reply to an admin client wait until the peer process has taken in an exclusion.
    pub(super) fn share_exclusion(
        &mut self,
        now: Time,
        admin_client: AdminClientId,
        server: String,
        excluded: bool,
    ) {
        let timeout = now.plus(ACKNOWLEDGEMENT_TIMEOUT);
        self.hot_restart.pending_acknowledgements.insert(admin_client, timeout);
        self.effects.push(Effect::ShareExclusion { admin_client, server, excluded });
    }

    /// The peer process has taken in an exclusion, or will not.
    pub(super) fn on_exclusion_acknowledged(&mut self, admin_client: AdminClientId) {
        if self.hot_restart.pending_acknowledgements.remove(&admin_client).is_some() {
            self.effects.push(Effect::AdminReply { admin_client, reply: AdminResponse::Yes });
        }
    }

    /// An operator gets a reply in time, whether the peer process has acknowledged or not.
    pub(super) fn reply_to_overdue_admin_clients(&mut self, now: Time) {
        for admin_client in self.hot_restart.overdue_admin_clients(now) {
            self.on_exclusion_acknowledged(admin_client);
        }
    }

    /// The peer process is gone, for whatever reason.
    pub(super) fn on_peer_process_lost(&mut self, now: Time) {
        let peer_process = self.hot_restart.peer_process.take();
        for admin_client in self.hot_restart.waiting_admin_clients() {
            self.on_exclusion_acknowledged(admin_client);
        }
        match peer_process {
            Some(PeerProcess::StartingSuccessor | PeerProcess::Successor) => self.on_successor_lost(now),
            Some(PeerProcess::Predecessor { .. }) => self.on_predecessor_lost(now),
            None => {}
        }
    }

    /// This process serves again.
    fn on_successor_lost(&mut self, now: Time) {
        self.effects.push(Effect::Log(LogEvent::SuccessorLost));
        self.effects.push(Effect::SetAccepting { open: self.admission.has_capacity() });
        self.refresh_all_endpoints(now);
    }

    /// What the predecessor had open is open nowhere any more, and its descriptors are free.
    fn on_predecessor_lost(&mut self, now: Time) {
        for pool in &mut self.pools {
            pool.admitted.forget_predecessor();
        }
        self.evict_idle_connection(now);
    }
}
