//! The client: who connects, who asks, and how many may.

use super::{
    server_id, Answer, ClientConnection, ConnectionId, ConnectionRequest, Effect, PeerProcess, Phase, PoolId,
    State,
};
use crate::rebalance::RebalanceEvent;
use crate::{ClassId, Event, GroupId, Micros, Outcome, RequestId, TenantId, Time};

/// How long a balancer that leaves asks refused clients to stay away: the front needs that to notice.
pub(super) const LEAVING_WAIT: Micros = 400_000;
/// A connection that stood before the start is tried this long.
const ADOPT_FOR: Micros = 30_000_000;
/// Where connections without an attempt are as many as they may be, one that has been there so long makes room.
/// A client that means to ask does so at once; its line has to arrive.
const ROOM_AFTER: Micros = 100_000;

impl State {
    pub(super) fn on_client_connected(&mut self, now: Time, id: ConnectionId, pool: PoolId) {
        let Some(entered) = self.pools.get(pool) else { return };
        let greeting = entered.config.greeting;
        let connection = ClientConnection {
            pool,
            class: None,
            ask: ConnectionRequest::default(),
            load: None,
            phase: Phase::Handshaking,
            attempts: 0,
            attempt: None,
            due: None,
            connected_at: now,
            migrate_at: None,
            awaiting_server_since: None,
        };
        self.connections.insert(id, connection);
        self.set_due(id, Some(now.plus(greeting)));
        self.waiting.insert(id, now);
        self.make_room(now);
    }

    /// Danger: hundreds that connect and say nothing, or do not go when they are answered, would use up the
    /// descriptors. The oldest makes room; where all are too fresh to judge, the fronts stop accepting.
    pub(super) fn make_room(&mut self, now: Time) {
        let full = |state: &State| state.waiting.len() + state.borrowed_descriptors() >= state.budget.waiting;
        let mut room_at = None;
        while let Some((&id, &since)) = self.waiting.iter().min_by_key(|(_, at)| **at).filter(|_| full(self))
        {
            if now.since(since) < ROOM_AFTER {
                room_at = Some(since.plus(ROOM_AFTER));
                break;
            }
            self.release(now, id);
            self.waiting.remove(&id);
            self.effects.push(Effect::AbortConnection { connection: id });
        }
        if room_at.is_some() != self.shut.is_some() {
            self.effects.push(Effect::SetAccepting { open: room_at.is_none() && !self.yields_accepting() });
        }
        self.shut = room_at;
    }

    pub(super) fn on_connection_requested(&mut self, now: Time, id: ConnectionId, ask: ConnectionRequest) {
        let Some(connection) = self.connections.get(&id).filter(|a| a.phase == Phase::Handshaking) else {
            return;
        };
        let (pool_id, connected_at) = (connection.pool, connection.connected_at);
        let greeting = self.pools[pool_id].config.greeting;
        let index = |names: &[String], name: &str| names.iter().position(|n| !name.is_empty() && n == name);
        let class = index(&self.pools[pool_id].config.classes, &ask.class).map(|n| ClassId(n as u16));
        self.connections.entry(id).and_modify(|connection| connection.class = class);
        if self.shutdown_window.is_some() && self.peer_process != Some(PeerProcess::Successor) {
            // What still arrives at a balancer that leaves is answered, and told to come again. Where another
            // process has taken its place, servers are served by that one just the same.
            return self.answer(now, id, self.reject_with_retry_after(id, LEAVING_WAIT));
        }
        let held: usize = self.pools.iter().map(|pool| pool.held).sum();
        let pool = &self.pools[pool_id];
        let limit = self.store.get("limit/connections").filter(|_| pool.config.from_store);
        let limit = limit.and_then(|text| text.parse().ok()).unwrap_or(pool.config.most_held);
        if pool.held >= limit || held >= self.budget.held {
            let wait = pool.config.settings.max_retry_after / 2;
            return self.answer(now, id, self.reject_with_retry_after(id, wait));
        }
        let tenants = &pool.config.tenants;
        let tenant = ask.tenant.as_deref().map(|name| index(tenants, name).map(|n| TenantId(n as u16)));
        // Danger: what names nothing that is configured is no request; servers could only turn it away. And
        // two that pass for one would have their answers mixed up by whoever counts them.
        let taken =
            ask.id.as_ref().is_some_and(|id| pool.ids.contains(id) || pool.held_by_predecessor.contains(id));
        let (Some(class), false) = (class, taken || tenant == Some(None) && !tenants.is_empty()) else {
            return self.answer(now, id, Answer::Failed);
        };
        let tenant = tenant.flatten();
        self.waiting.remove(&id);
        self.make_room(now);
        let pool = &mut self.pools[pool_id];
        pool.held += 1;
        pool.ids.extend(ask.id.clone());
        self.connections.entry(id).and_modify(|connection| connection.ask = ask.clone());
        let arrived =
            RebalanceEvent::ConnectionRequested { connection: id, key: ask.key, reconnecting: ask.again };
        pool.rebalance.on_event(now, arrived);
        let (group, load, request) = (ask.group.map(GroupId), ask.load, RequestId(id.0));
        self.set_due(id, None);
        let Some(name) = ask.established_at else {
            self.phase(id, Phase::Connecting);
            let deadline = ask.wait.map_or(connected_at.plus(greeting), |wait| now.plus(wait));
            let event = Event::RequestArrived { request, class, tenant, group, load, deadline };
            return self.dispatch(now, pool_id, event);
        };
        let server = server_id(&name);
        self.phase(id, Phase::Restoring(now.plus(ADOPT_FOR), server));
        self.dispatch(
            now,
            pool_id,
            Event::ConnectionRestored { request, class, tenant, group, load, server },
        );
        self.adopt_again(now, id, now.plus(ADOPT_FOR), server);
    }

    pub(super) fn on_client_disconnected(&mut self, now: Time, id: ConnectionId) {
        let Some(connection) = self.connections.get(&id) else { return };
        let (pool, phase) = (connection.pool, connection.phase);
        if phase == Phase::Connecting {
            self.dispatch(now, pool, Event::ClientLeft { request: RequestId(id.0) });
        }
        self.end(now, id, Outcome::Cancelled);
    }
}
