//! Requests of clients, from the new connection to the admission of its request.
//!
//! A connection is in [`Phase::AwaitingRequest`] until its request has arrived, for at most the pool's
//! request timeout. It is closed earlier when its descriptor is needed for other connections
//! ([`super::pending_connections`]), or when the process exits ([`super::shutdown`]). When the request
//! arrives, it passes these checks in order. The first one that fails ends the connection:
//!
//! 1. Graceful shutdown: the request is rejected with a Retry-After, unless a successor of a hot restart
//!    serves.
//! 2. Connection limits: the limit of the pool and the limit of all fronts together. The pool's limit is the
//!    one in the replicated map if there is one, and otherwise the configured one. At either limit, the
//!    request is rejected with half of the longest Retry-After.
//! 3. Names: the request fails if its class is not configured, if tenants are configured and its tenant is
//!    not among them, if an open connection has the same id, or if a forwarded request whose client has left had
//!    it. The failure is not logged. It is counted in the metrics only if the class is configured. The request
//!    is not rejected, because a rejection invites a retry, and the retry could not succeed.
//!
//! An admitted request is passed to the pool's balancer, which chooses a server for it, rejects it or fails
//! it (`src/policy/`). If the request belongs to a connection that was established before this process
//! started, it is sent to the server of that connection instead ([`Phase::Restoring`]).
//!
//! The state of a connection is in the connection table; this module owns no state.

use super::connection_table::{ClientConnection, Phase};
use super::dispatch::request_id;
use super::{server_id, Answer, ConnectionId, ConnectionRequest, PoolId, State};
use crate::rebalance::RebalanceEvent;
use crate::{ClassId, Event, GroupId, Micros, Outcome, TenantId, Time};

/// The Retry-After of rejections during a graceful shutdown. A client that retries after this time is
/// directed to another balancer.
pub(super) const SHUTDOWN_RETRY_AFTER: Micros = Micros::from_millis(400);
/// Time for which attempts are made to restore a connection that was established before this process started.
const RESTORE_TIMEOUT: Micros = Micros::from_secs(30);
/// Key of the replicated map whose value is the limit of connections of each pool that uses the map.
const CONNECTION_LIMIT_KEY: &str = "limit/connections";

/// The properties of a request by which the balancer chooses a server.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestProfile {
    pub(super) class: ClassId,
    pub(super) tenant: Option<TenantId>,
    pub(super) group: Option<GroupId>,
    pub(super) load: Option<f64>,
}

impl State {
    /// Adds an accepted connection, and sets its timer to the end of the pool's request timeout.
    pub(super) fn on_client_connected(&mut self, now: Time, id: ConnectionId, pool_id: PoolId) {
        let Some(pool) = self.pools.get(pool_id.0) else { return };
        let request_timeout = pool.config.request_timeout;
        self.connections.insert(id, ClientConnection::new(pool_id, now));
        self.connections.set_timer(id, Some(now.plus(request_timeout)));
        self.admission.add_pending(now, id);
        self.evict_pending_connections(now);
    }

    /// Answers a client whose request did not arrive in time. The driver feeds this input after
    /// [`super::Effect::CheckRequestArrival`], once it has read all bytes that the client sent.
    pub(super) fn on_request_timed_out(&mut self, now: Time, id: ConnectionId) {
        if self.connections.get_awaiting_request(id).is_some() {
            self.answer_and_remove(now, id, Answer::RequestTimedOut);
        }
    }

    /// Admits a request, or answers it at once.
    pub(super) fn on_connection_requested(
        &mut self,
        now: Time,
        id: ConnectionId,
        request: ConnectionRequest,
    ) {
        let Some(connection) = self.connections.get_awaiting_request(id) else { return };
        let pool_id = connection.pool;
        self.classify_connection(id, pool_id, &request);
        if let Some(rejection) = self.check_admission(id, pool_id) {
            return self.answer_and_remove(now, id, rejection);
        }
        let Some(profile) = self.profile_request(now, id, pool_id, &request) else {
            return self.answer_and_remove(now, id, Answer::Failed);
        };
        self.admit(now, id, pool_id, &request);
        match &request.established_server {
            Some(server) => self.restore_connection(now, id, pool_id, profile, server),
            None => self.place_connection(now, id, pool_id, profile, request.timeout),
        }
    }

    /// Records a connection's class. The outcome of the connection is counted for this class.
    fn classify_connection(&mut self, id: ConnectionId, pool_id: PoolId, request: &ConnectionRequest) {
        // A class that is no longer configured has an empty name, which must not be matched.
        let name = Some(&request.class).filter(|name| !name.is_empty());
        let class = name.and_then(|name| self.pools[pool_id.0].config.class_id(name));
        self.connections.record_class(id, class);
    }

    /// Returns the rejection of a request during a shutdown or at a connection limit, or `None` if the
    /// request may be admitted.
    fn check_admission(&self, id: ConnectionId, pool_id: PoolId) -> Option<Answer> {
        // Another balancer serves a client that arrives during a graceful shutdown sooner than this one.
        // While a successor serves on this machine, no new clients arrive, and the clients that connected
        // before are served here.
        if self.shutdown.has_begun() && !self.hot_restart.successor_serves() {
            return Some(self.rejection_with_retry_after(id, SHUTDOWN_RETRY_AFTER));
        }
        if self.is_at_connection_limit(pool_id) {
            let retry_after = self.pools[pool_id.0].config.settings.max_retry_after / 2;
            return Some(self.rejection_with_retry_after(id, retry_after));
        }
        None
    }

    fn is_at_connection_limit(&self, pool_id: PoolId) -> bool {
        let pool = &self.pools[pool_id.0];
        let replicated_limit = self.replication.map().get(CONNECTION_LIMIT_KEY);
        let applicable_limit = replicated_limit.filter(|_| pool.config.uses_replicated_map);
        let parsed_limit = applicable_limit.and_then(|text| text.parse().ok());
        let limit: usize = parsed_limit.unwrap_or(pool.config.max_connections);
        let admitted_in_all_pools: usize = self.pools.iter().map(|pool| pool.admitted.count()).sum();
        pool.admitted.count() >= limit
            || admitted_in_all_pools >= self.admission.resource_limits().max_admitted_connections
    }

    /// Looks up the names in a request. Returns `None` if the class or the tenant is not configured, because
    /// servers would reject the request. Also returns `None` if an open connection has the same id, because
    /// clients and servers distinguish connections by their ids, or if a server may have run a request with
    /// this id for a client that has left.
    fn profile_request(
        &mut self,
        now: Time,
        id: ConnectionId,
        pool_id: PoolId,
        request: &ConnectionRequest,
    ) -> Option<RequestProfile> {
        let pool = &mut self.pools[pool_id.0];
        let class = self.connections.get(id).and_then(|connection| connection.class)?;
        let named_tenant = request.tenant.as_deref();
        // A tenant that is no longer configured has an empty name, which must not be matched.
        let tenant =
            named_tenant.filter(|name| !name.is_empty()).and_then(|name| pool.config.tenant_id(name));
        let is_unknown_tenant = named_tenant.is_some() && tenant.is_none() && !pool.config.tenants.is_empty();
        if is_unknown_tenant || pool.admitted.has_id_of(now, request) {
            return None;
        }
        Some(RequestProfile { class, tenant, group: request.group.map(GroupId), load: request.load })
    }

    /// Counts a request among the admitted ones and stops the request timer.
    fn admit(&mut self, now: Time, id: ConnectionId, pool_id: PoolId, request: &ConnectionRequest) {
        self.admission.remove_pending(id);
        self.evict_pending_connections(now);
        self.share_request_id(pool_id, request);
        let pool = &mut self.pools[pool_id.0];
        pool.admitted.add(request);
        let ConnectionRequest { key, reconnecting, .. } = *request;
        pool.rebalancer.on_event(
            now,
            RebalanceEvent::ConnectionRequested { connection: id, key, reports_reconnection: reconnecting },
        );
        self.connections.record_admission(id, request);
    }

    /// Requests a server from the balancer. The client waits for its answer for `timeout`. If it gave none,
    /// it waits until the end of its request timeout.
    fn place_connection(
        &mut self,
        now: Time,
        id: ConnectionId,
        pool_id: PoolId,
        profile: RequestProfile,
        timeout: Option<Micros>,
    ) {
        let Some(connection) = self.connections.get(id) else { return };
        let request_deadline = connection.connected_at.plus(self.pools[pool_id.0].config.request_timeout);
        let deadline = timeout.map_or(request_deadline, |timeout| now.plus(timeout));
        self.connections.set_phase(id, Phase::Connecting);
        let RequestProfile { class, tenant, group, load } = profile;
        let request = request_id(id);
        let event = Event::RequestArrived { request, class, tenant, group, load, deadline };
        self.dispatch(now, pool_id, event);
    }

    /// Begins to restore a connection at the server where it was established before this process started.
    fn restore_connection(
        &mut self,
        now: Time,
        id: ConnectionId,
        pool_id: PoolId,
        profile: RequestProfile,
        server: &str,
    ) {
        let server = server_id(server);
        let deadline = now.plus(RESTORE_TIMEOUT);
        self.connections.set_phase(id, Phase::Restoring { deadline, server });
        let RequestProfile { class, tenant, group, load } = profile;
        let request = request_id(id);
        let event = Event::EstablishedConnectionAdded { request, class, tenant, group, load, server };
        self.dispatch(now, pool_id, event);
        self.continue_restoring(now, id, deadline, server);
    }

    /// Ends a connection that its client has closed, without an answer.
    pub(super) fn on_client_disconnected(&mut self, now: Time, id: ConnectionId) {
        let Some(connection) = self.connections.get(id) else { return };
        let pool = connection.pool;
        if connection.may_have_run_unanswered() {
            self.pools[pool.0].admitted.record_unanswered(now, &connection.request);
        }
        if connection.phase == Phase::Connecting {
            self.dispatch(now, pool, Event::ClientLeft { request: request_id(id) });
        }
        self.end_connection(now, id, Outcome::Cancelled);
    }
}
