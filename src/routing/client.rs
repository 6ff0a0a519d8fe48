//! Clients: who connects, what they request, and how many are admitted.

use super::connection_table::{ClientConnection, Phase};
use super::dispatch::request_id;
use super::{server_id, Answer, ConnectionId, ConnectionRequest, PoolId, State};
use crate::rebalance::RebalanceEvent;
use crate::{ClassId, Event, GroupId, Micros, Outcome, TenantId, Time};

/// The Retry-After of rejections during a graceful shutdown: the front takes that long to notice it.
pub(super) const SHUTDOWN_RETRY_AFTER: Micros = Micros::from_millis(400);
/// How long attempts go on to restore a connection that was established before the start.
const RESTORE_TIMEOUT: Micros = Micros::from_secs(30);
/// Key of the replicated map that limits the connections of each pool.
const CONNECTION_LIMIT_KEY: &str = "limit/connections";

/// What the decision module has to know of a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestProfile {
    pub(super) class: ClassId,
    pub(super) tenant: Option<TenantId>,
    pub(super) group: Option<GroupId>,
    pub(super) load: Option<f64>,
}

impl State {
    pub(super) fn on_client_connected(&mut self, now: Time, id: ConnectionId, pool_id: PoolId) {
        let Some(pool) = self.pools.get(pool_id) else { return };
        let handshake_timeout = pool.config.handshake_timeout;
        self.connections.insert(id, ClientConnection::new(pool_id, now));
        self.connections.set_timer(id, Some(now.plus(handshake_timeout)));
        self.admission.add_pending(now, id);
        self.evict_idle_connection(now);
    }

    pub(super) fn on_handshake_timed_out(&mut self, now: Time, id: ConnectionId) {
        if self.connections.get_handshaking(id).is_some() {
            self.answer(now, id, Answer::HandshakeTimedOut);
        }
    }

    pub(super) fn on_connection_requested(
        &mut self,
        now: Time,
        id: ConnectionId,
        request: ConnectionRequest,
    ) {
        let Some(connection) = self.connections.get_handshaking(id) else { return };
        let pool_id = connection.pool;
        self.classify_connection(id, pool_id, &request);
        if let Some(rejection) = self.check_admission(id, pool_id) {
            return self.answer(now, id, rejection);
        }
        let Some(profile) = self.profile_request(id, pool_id, &request) else {
            return self.answer(now, id, Answer::Failed);
        };
        self.admit(now, id, pool_id, &request);
        match &request.established_at {
            Some(server) => self.restore_connection(now, id, pool_id, profile, server),
            None => self.place_connection(now, id, pool_id, profile, request.wait),
        }
    }

    /// Notes a connection's class, by which all that becomes of it is counted.
    fn classify_connection(&mut self, id: ConnectionId, pool_id: PoolId, request: &ConnectionRequest) {
        // Classes that are no longer configured have an empty name, which must not be matched.
        let class = Some(&request.class).filter(|class| !class.is_empty());
        let class = class.and_then(|class| self.pools[pool_id].config.class_id(class));
        if let Some(connection) = self.connections.get_mut(id) {
            connection.class = class;
        }
    }

    /// The rejection of a request for which there is no room, or no time.
    fn check_admission(&self, id: ConnectionId, pool_id: PoolId) -> Option<Answer> {
        // During a graceful shutdown clients still arrive, and are better served elsewhere. Where a successor
        // serves on the same machine, those that came here before are served as usual.
        if self.shutdown.has_begun() && !self.hot_restart.successor_serves() {
            return Some(self.reject_with_retry_after(id, SHUTDOWN_RETRY_AFTER));
        }
        if self.is_at_connection_limit(pool_id) {
            let wait = self.pools[pool_id].config.settings.max_retry_after / 2;
            return Some(self.reject_with_retry_after(id, wait));
        }
        None
    }

    fn is_at_connection_limit(&self, pool_id: PoolId) -> bool {
        let pool = &self.pools[pool_id];
        let replicated = self.replication.map().get(CONNECTION_LIMIT_KEY);
        let limit = replicated.filter(|_| pool.config.uses_replicated_map).and_then(|text| text.parse().ok());
        let limit: usize = limit.unwrap_or(pool.config.max_connections);
        let all: usize = self.pools.iter().map(|pool| pool.admitted.count()).sum();
        pool.admitted.count() >= limit || all >= self.admission.budget().admitted
    }

    /// Looks up the names in a request. None for one that names what is not configured, which servers could only
    /// reject; and for one whose id is that of an open connection, as whoever counts by id would confuse the two.
    fn profile_request(
        &self,
        id: ConnectionId,
        pool_id: PoolId,
        request: &ConnectionRequest,
    ) -> Option<RequestProfile> {
        let pool = &self.pools[pool_id];
        let class = self.connections.get(id).and_then(|connection| connection.class)?;
        // Tenants that are no longer configured have an empty name, which must not be matched.
        let named_tenant = request.tenant.as_deref();
        let tenant =
            named_tenant.filter(|name| !name.is_empty()).and_then(|name| pool.config.tenant_id(name));
        let is_unknown_tenant = named_tenant.is_some() && tenant.is_none() && !pool.config.tenants.is_empty();
        if is_unknown_tenant || pool.admitted.has_id_of(request) {
            return None;
        }
        Some(RequestProfile { class, tenant, group: request.group.map(GroupId), load: request.load })
    }

    fn admit(&mut self, now: Time, id: ConnectionId, pool_id: PoolId, request: &ConnectionRequest) {
        self.admission.remove_pending(id);
        self.evict_idle_connection(now);
        let pool = &mut self.pools[pool_id];
        pool.admitted.add(request);
        let (key, again) = (request.key, request.reconnecting);
        pool.rebalance
            .on_event(now, RebalanceEvent::ConnectionRequested { connection: id, key, reconnecting: again });
        if let Some(connection) = self.connections.get_mut(id) {
            connection.request = request.clone();
        }
        self.connections.set_timer(id, None);
    }

    /// Has the decision module choose a server.
    fn place_connection(
        &mut self,
        now: Time,
        id: ConnectionId,
        pool_id: PoolId,
        profile: RequestProfile,
        wait: Option<Micros>,
    ) {
        let Some(connection) = self.connections.get(id) else { return };
        let handshake_deadline = connection.connected_at.plus(self.pools[pool_id].config.handshake_timeout);
        let deadline = wait.map_or(handshake_deadline, |wait| now.plus(wait));
        self.connections.set_phase(id, Phase::Connecting);
        let RequestProfile { class, tenant, group, load } = profile;
        let request = request_id(id);
        let event = Event::RequestArrived { request, class, tenant, group, load, deadline };
        self.dispatch(now, pool_id, event);
    }

    /// Sets a connection up again at the server where it was established before this process started.
    fn restore_connection(
        &mut self,
        now: Time,
        id: ConnectionId,
        pool_id: PoolId,
        profile: RequestProfile,
        server: &str,
    ) {
        let server = server_id(server);
        let until = now.plus(RESTORE_TIMEOUT);
        self.connections.set_phase(id, Phase::Restoring { until, server });
        let RequestProfile { class, tenant, group, load } = profile;
        let request = request_id(id);
        let event = Event::ConnectionRestored { request, class, tenant, group, load, server };
        self.dispatch(now, pool_id, event);
        self.continue_restoring(now, id, until, server);
    }

    pub(super) fn on_client_disconnected(&mut self, now: Time, id: ConnectionId) {
        let Some(connection) = self.connections.get(id) else { return };
        let pool = connection.pool;
        if connection.phase == Phase::Connecting {
            self.dispatch(now, pool, Event::ClientLeft { request: request_id(id) });
        }
        self.end_connection(now, id, Outcome::Cancelled);
    }
}
