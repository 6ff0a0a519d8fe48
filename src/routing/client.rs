//! Requests of clients: from a new connection's handshake to the admission of its request.
//!
//! A connection is in [`Phase::Handshaking`] until its request has arrived, for at most the pool's handshake
//! timeout. It ends earlier when its descriptor is needed for others ([`super::pending_connections`]), or at
//! the latest exit of a shutdown. These checks follow in order, and the first that fails ends the connection:
//!
//! 1. Graceful shutdown: the request is rejected with a Retry-After, unless a successor of a hot restart
//!    serves.
//! 2. Connection limits: the pool's (from the replicated map where it holds one, or else from the
//!    configuration) and that of all fronts. At either, the request is rejected with half the longest
//!    Retry-After.
//! 3. Names: a class that is not configured, a tenant that is not where any are, and an id that an open
//!    connection has, fail the request, without a log line; without a configured class also without a metric.
//!    A rejection would invite a retry, which could not succeed.
//!
//! An admitted request goes to the pool's balancer, which chooses a server, rejects or fails it
//! (`src/policy/`). A request of a connection that was established before this process started returns to its
//! server instead ([`Phase::Restoring`]).
//!
//! The state of a connection is in the connection table; this module owns none.

use super::connection_table::{ClientConnection, Phase};
use super::dispatch::request_id;
use super::{server_id, Answer, ConnectionId, ConnectionRequest, PoolId, State};
use crate::rebalance::RebalanceEvent;
use crate::{ClassId, Event, GroupId, Micros, Outcome, TenantId, Time};

/// The Retry-After of rejections during a graceful shutdown. By then new clients are sent to other balancers.
pub(super) const SHUTDOWN_RETRY_AFTER: Micros = Micros::from_millis(400);
/// For how long attempts are made to restore a connection that was established before the start.
const RESTORE_TIMEOUT: Micros = Micros::from_secs(30);
/// Key of the replicated map whose value limits the connections of each pool.
const CONNECTION_LIMIT_KEY: &str = "limit/connections";

/// What the balancer needs to know of a request to place it.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestProfile {
    pub(super) class: ClassId,
    pub(super) tenant: Option<TenantId>,
    pub(super) group: Option<GroupId>,
    pub(super) load: Option<f64>,
}

impl State {
    /// Adds an accepted connection, whose request has to arrive within the pool's handshake timeout.
    pub(super) fn on_client_connected(&mut self, now: Time, id: ConnectionId, pool_id: PoolId) {
        let Some(pool) = self.pools.get(pool_id) else { return };
        let handshake_timeout = pool.config.handshake_timeout;
        self.connections.insert(id, ClientConnection::new(pool_id, now));
        self.connections.set_timer(id, Some(now.plus(handshake_timeout)));
        self.admission.add_pending(now, id);
        self.evict_idle_connection(now);
    }

    /// Answers a client whose request did not arrive in time. Feeding this input is the driver's part of
    /// [`super::Effect::CheckHandshake`]: all that the client has sent was read before.
    pub(super) fn on_handshake_timed_out(&mut self, now: Time, id: ConnectionId) {
        if self.connections.get_handshaking(id).is_some() {
            self.answer(now, id, Answer::HandshakeTimedOut);
        }
    }

    /// Admits a request, or answers it at once.
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
            None => self.place_connection(now, id, pool_id, profile, request.timeout),
        }
    }

    /// Records a connection's class, by which its outcome is counted.
    fn classify_connection(&mut self, id: ConnectionId, pool_id: PoolId, request: &ConnectionRequest) {
        // A class that is no longer configured has an empty name, which must not be matched.
        let name = Some(&request.class).filter(|name| !name.is_empty());
        let class = name.and_then(|name| self.pools[pool_id].config.class_id(name));
        self.connections.record_class(id, class);
    }

    /// The rejection of a request during a shutdown, or at a connection limit.
    fn check_admission(&self, id: ConnectionId, pool_id: PoolId) -> Option<Answer> {
        // Clients that arrive during a graceful shutdown are served sooner by another balancer. Where a
        // successor serves on this machine, no new ones arrive, and those that connected before are served
        // here.
        if self.shutdown.has_begun() && !self.hot_restart.successor_serves() {
            return Some(self.reject_with_retry_after(id, SHUTDOWN_RETRY_AFTER));
        }
        if self.is_at_connection_limit(pool_id) {
            let retry_after = self.pools[pool_id].config.settings.max_retry_after / 2;
            return Some(self.reject_with_retry_after(id, retry_after));
        }
        None
    }

    fn is_at_connection_limit(&self, pool_id: PoolId) -> bool {
        let pool = &self.pools[pool_id];
        let replicated_limit = self.replication.map().get(CONNECTION_LIMIT_KEY);
        let usable_limit = replicated_limit.filter(|_| pool.config.uses_replicated_map);
        let parsed_limit = usable_limit.and_then(|text| text.parse().ok());
        let limit: usize = parsed_limit.unwrap_or(pool.config.max_connections);
        let admitted_in_all_pools: usize = self.pools.iter().map(|pool| pool.admitted.count()).sum();
        pool.admitted.count() >= limit || admitted_in_all_pools >= self.admission.budget().admitted
    }

    /// Looks up the names in a request. Returns `None` for a class or tenant that is not configured, which
    /// servers would reject, and for an id that an open connection has, because clients and servers tell
    /// connections apart by their ids.
    fn profile_request(
        &self,
        id: ConnectionId,
        pool_id: PoolId,
        request: &ConnectionRequest,
    ) -> Option<RequestProfile> {
        let pool = &self.pools[pool_id];
        let class = self.connections.get(id).and_then(|connection| connection.class)?;
        let named_tenant = request.tenant.as_deref();
        // A tenant that is no longer configured has an empty name, which must not be matched.
        let tenant =
            named_tenant.filter(|name| !name.is_empty()).and_then(|name| pool.config.tenant_id(name));
        let is_unknown_tenant = named_tenant.is_some() && tenant.is_none() && !pool.config.tenants.is_empty();
        if is_unknown_tenant || pool.admitted.has_id_of(request) {
            return None;
        }
        Some(RequestProfile { class, tenant, group: request.group.map(GroupId), load: request.load })
    }

    /// Counts a request among the admitted ones and stops the handshake timer.
    fn admit(&mut self, now: Time, id: ConnectionId, pool_id: PoolId, request: &ConnectionRequest) {
        self.admission.remove_pending(id);
        self.evict_idle_connection(now);
        let pool = &mut self.pools[pool_id];
        pool.admitted.add(request);
        let ConnectionRequest { key, reconnecting, .. } = *request;
        pool.rebalance
            .on_event(now, RebalanceEvent::ConnectionRequested { connection: id, key, reconnecting });
        self.connections.record_admission(id, request);
    }

    /// Has the balancer choose a server. The client waits for its answer for `timeout`, or, without one,
    /// until the end of its handshake timeout.
    fn place_connection(
        &mut self,
        now: Time,
        id: ConnectionId,
        pool_id: PoolId,
        profile: RequestProfile,
        timeout: Option<Micros>,
    ) {
        let Some(connection) = self.connections.get(id) else { return };
        let handshake_deadline = connection.connected_at.plus(self.pools[pool_id].config.handshake_timeout);
        let deadline = timeout.map_or(handshake_deadline, |timeout| now.plus(timeout));
        self.connections.set_phase(id, Phase::Connecting);
        let RequestProfile { class, tenant, group, load } = profile;
        let request = request_id(id);
        let event = Event::RequestArrived { request, class, tenant, group, load, deadline };
        self.dispatch(now, pool_id, event);
    }

    /// Restores a connection at the server where it was established before this process started.
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
        let event = Event::ConnectionRestored { request, class, tenant, group, load, server };
        self.dispatch(now, pool_id, event);
        self.continue_restoring(now, id, deadline, server);
    }

    /// Ends a connection whose client has closed it. No answer is owed any more.
    pub(super) fn on_client_disconnected(&mut self, now: Time, id: ConnectionId) {
        let Some(connection) = self.connections.get(id) else { return };
        let pool = connection.pool;
        if connection.phase == Phase::Connecting {
            self.dispatch(now, pool, Event::ClientLeft { request: request_id(id) });
        }
        self.end_connection(now, id, Outcome::Cancelled);
    }
}
