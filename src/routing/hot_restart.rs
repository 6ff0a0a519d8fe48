//! A new version in the place of an old one: what is left to it, and what both have to hear of meanwhile.

use super::{server_id, Attempt, ClientConnection};
use super::{
    ConnectionId, Effect, EstablishedConnection, HandoverState, Phase, PoolHandoverState, PoolId, State,
};
use crate::{ClassId, Event, GroupId, Measurement, Outcome, RequestId, TenantId, Time};

/// The other process, as long as there are two.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PeerProcess {
    /// It has asked for what there is to know, and does not serve yet.
    StartingSuccessor,
    /// It serves in this one's place.
    Successor,
    /// It served before this one, which may hold so many descriptors the less for that.
    Predecessor { left: usize },
}

impl State {
    /// Another process asks for what there is to know. Until it serves nothing more is accepted, or what it
    /// knows would be old.
    pub(super) fn export_state(&mut self) {
        self.peer_process = Some(PeerProcess::StartingSuccessor);
        let pool_left = |pool: &super::Pool| PoolHandoverState {
            endpoints: pool
                .listed
                .values()
                .map(|server| (server.clone(), pool.balancer.learned_state(server_id(&server.name))))
                .collect(),
            readmitted: pool.readmitted.iter().map(|(name, &at)| (name.clone(), at)).collect(),
            ids: pool.ids.iter().cloned().collect(),
        };
        let handover_state = HandoverState {
            excluded_by_operator: self.excluded_by_operator.iter().cloned().collect(),
            ever_listed: self.ever_listed.iter().cloned().collect(),
            entries: self.store.entries().map(|(key, entry)| (key.clone(), entry.clone())).collect(),
            pools: self.pools.iter().map(|pool| (pool.config.name.to_owned(), pool_left(pool))).collect(),
            left: self.waiting.len(),
        };
        self.effects.push(Effect::SetAccepting { open: false });
        self.effects.push(Effect::ExportState(Box::new(handover_state)));
    }

    /// It serves: what stands here follows.
    pub(super) fn on_successor_ready(&mut self, now: Time) {
        if self.peer_process != Some(PeerProcess::StartingSuccessor) {
            return;
        }
        self.peer_process = Some(PeerProcess::Successor);
        self.effects.push(Effect::Log("another process serves in this one's place".to_owned()));
        // Danger (cold servers): what may be sent there is the other's to spend.
        (0..self.pools.len()).for_each(|pool| self.refresh(now, pool));
        for id in self.connections.keys().copied().collect::<Vec<_>>() {
            self.transfer_connection(id);
        }
    }

    /// Has a connection follow to the process that serves, if it stands.
    pub(super) fn transfer_connection(&mut self, id: ConnectionId) {
        let Some(connection) =
            self.connections.get(&id).filter(|connection| connection.phase == Phase::Established)
        else {
            return;
        };
        let (Some(PeerProcess::Successor), Some(attempt)) = (self.peer_process, connection.attempt) else {
            return;
        };
        let Some(server) = self.pools[connection.pool].table.any(attempt.server) else { return };
        let (ask, server) = (connection.ask.clone(), server.name.clone());
        let established = EstablishedConnection {
            ask,
            server,
            load: connection.load,
            awaiting_server_since: connection.awaiting_server_since,
        };
        self.effects.push(Effect::TransferConnection { connection: id, pool: connection.pool, established });
    }

    /// Its sockets have gone: nothing of it is left here, and nothing of it ended.
    pub(super) fn on_connection_transferred(&mut self, now: Time, id: ConnectionId) {
        let Some(pool) = self.connections.get(&id).map(|connection| connection.pool) else { return };
        let attempt = self.release(now, id);
        self.waiting.remove(&id);
        if let Some(attempt) = attempt {
            let (request, attempt, outcome) = (RequestId(id.0), attempt.number, Outcome::Cancelled);
            self.dispatch(now, pool, Event::AttemptEnded { request, attempt, outcome, answered: true });
        }
    }

    /// Takes in what the process before knew.
    pub(super) fn import_state(&mut self, now: Time, handover_state: HandoverState) {
        self.peer_process = Some(PeerProcess::Predecessor { left: handover_state.left });
        self.excluded_by_operator.extend(handover_state.excluded_by_operator);
        self.ever_listed.extend(handover_state.ever_listed);
        for (key, entry) in handover_state.entries {
            self.store.merge_entry(&key, entry);
        }
        self.effects.push(Effect::PersistExclusions(self.excluded_by_operator.iter().cloned().collect()));
        for id in 0..self.pools.len() {
            let pool = &mut self.pools[id];
            let Some(left) = handover_state.pools.get(pool.config.name) else { continue };
            pool.readmitted.extend(left.readmitted.iter().cloned());
            pool.held_by_predecessor.extend(left.ids.iter().cloned());
            if pool.config.discovery.is_some() && !left.endpoints.is_empty() {
                let named = left.endpoints.iter().map(|(server, _)| (server.name.clone(), server.clone()));
                pool.listed = named.collect();
            }
            self.refresh(now, id);
            for (server, known) in &left.endpoints {
                let server = server_id(&server.name);
                known.iter().for_each(|&known| self.pools[id].balancer.restore_learned_state(server, known));
            }
        }
    }

    /// A connection goes on here that stood at the process before.
    pub(super) fn on_connection_received(
        &mut self,
        now: Time,
        id: ConnectionId,
        pool_id: PoolId,
        established: EstablishedConnection,
    ) {
        let Some(pool) = self.pools.get_mut(pool_id) else { return };
        let EstablishedConnection { ask, server, load, awaiting_server_since } = established;
        let server = server_id(&server);
        let index = |names: &[String], name: &str| names.iter().position(|n| n == name);
        let class = index(&pool.config.classes, &ask.class).map(|n| ClassId(n as u16));
        let tenant = ask.tenant.as_deref().and_then(|name| index(&pool.config.tenants, name));
        let (tenant, group, hint) = (tenant.map(|n| TenantId(n as u16)), ask.group.map(GroupId), ask.load);
        pool.held += 1;
        if let Some(id) = &ask.id {
            pool.held_by_predecessor.remove(id);
            pool.ids.insert(id.clone());
        }
        let attempt =
            Some(Attempt { number: 0, server, written: true, since: now, until: now, write_by: None });
        let connection = ClientConnection {
            pool: pool_id,
            class,
            ask,
            load: None,
            phase: Phase::Established,
            attempts: 1,
            attempt,
            due: None,
            connected_at: now,
            migrate_at: None,
            awaiting_server_since,
        };
        self.connections.insert(id, connection);
        self.at.entry((pool_id, server)).or_default().insert(id);
        let (request, server) = (RequestId(id.0), server);
        let class = class.unwrap_or_default();
        let known = self.pools[pool_id].table.any(server).is_some();
        self.dispatch(
            now,
            pool_id,
            Event::ConnectionRestored { request, class, tenant, group, load: hint, server },
        );
        if let Some(load) = load {
            self.connections.entry(id).and_modify(|connection| connection.load = Some(load));
            let pool = &mut self.pools[pool_id];
            pool.loads = (pool.loads.0 + load, pool.loads.1 + 1.0);
            self.dispatch(
                now,
                pool_id,
                Event::ConnectionMeasured { request, measurement: Measurement::Load(load) },
            );
        }
        self.schedule_established_timer(now, id);
        self.on_established(now, id, None);
        // What holds for its server's other clients holds for it.
        if !known || self.pools[pool_id].table.ready(server).is_none() {
            self.refresh(now, pool_id);
        }
    }

    /// The other process is gone, whatever became of it.
    pub(super) fn on_peer_process_lost(&mut self, now: Time) {
        let peer_process = self.peer_process.take();
        for admin_client in self.pending_acknowledgements.keys().copied().collect::<Vec<_>>() {
            self.on_exclusion_acknowledged(admin_client);
        }
        match peer_process {
            Some(PeerProcess::StartingSuccessor | PeerProcess::Successor) => {
                self.effects
                    .push(Effect::Log("the process that was to take this one's place is gone".to_owned()));
                self.effects.push(Effect::SetAccepting { open: self.shut.is_none() });
                (0..self.pools.len()).for_each(|pool| self.refresh(now, pool));
            }
            // What it had open is open nowhere any more, and its descriptors are free.
            Some(PeerProcess::Predecessor { .. }) => {
                self.pools.iter_mut().for_each(|pool| pool.held_by_predecessor.clear());
                self.make_room(now);
            }
            None => {}
        }
    }

    /// Whether another process is to accept what comes.
    pub(super) fn yields_accepting(&self) -> bool {
        matches!(self.peer_process, Some(PeerProcess::StartingSuccessor | PeerProcess::Successor))
    }

    /// Descriptors of this one's that the other process holds meanwhile.
    pub(super) fn borrowed_descriptors(&self) -> usize {
        match self.peer_process {
            // Danger: where it holds as many as may wait here, nobody could come in.
            Some(PeerProcess::Predecessor { left }) => left.min(self.budget.waiting * 3 / 4),
            _ => 0,
        }
    }
}
