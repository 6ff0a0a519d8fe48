//! A new version in the place of an old one: what is left to it, and what both have to hear of meanwhile.

use super::{host_number, Attempt, ClientConnection};
use super::{ConnectionId, Effect, Legacy, Phase, PoolId, PoolLegacy, Standing, State};
use crate::{ClassId, Event, GroupId, Measurement, Outcome, RequestId, TenantId, Time};

/// The other process, as long as there are two.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Partner {
    /// It has asked for what there is to know, and does not serve yet.
    Heir,
    /// It serves in this one's place.
    Successor,
    /// It served before this one, which may hold so many descriptors the less for that.
    Predecessor { left: usize },
}

impl State {
    /// Another process asks for what there is to know. Until it serves nothing more is accepted, or what it
    /// knows would be old.
    pub(super) fn bequeath(&mut self) {
        self.partner = Some(Partner::Heir);
        let pool_left = |pool: &super::Pool| PoolLegacy {
            hosts: pool
                .listed
                .values()
                .map(|host| (host.clone(), pool.balancer.learned_state(host_number(&host.name))))
                .collect(),
            returned: pool.returned.iter().map(|(name, &at)| (name.clone(), at)).collect(),
            ids: pool.ids.iter().cloned().collect(),
        };
        let legacy = Legacy {
            bans: self.bans.iter().cloned().collect(),
            ever_listed: self.ever_listed.iter().cloned().collect(),
            entries: self.store.entries().map(|(key, entry)| (key.clone(), entry.clone())).collect(),
            pools: self.pools.iter().map(|pool| (pool.setup.name.to_owned(), pool_left(pool))).collect(),
            left: self.waiting.len(),
        };
        self.effects.push(Effect::SetAccepting { open: false });
        self.effects.push(Effect::ExportState(Box::new(legacy)));
    }

    /// It serves: what stands here follows.
    pub(super) fn succeeded(&mut self, now: Time) {
        if self.partner != Some(Partner::Heir) {
            return;
        }
        self.partner = Some(Partner::Successor);
        self.effects.push(Effect::Log("another process serves in this one's place".to_owned()));
        // Danger (cold hosts): what may be sent there is the other's to spend.
        (0..self.pools.len()).for_each(|pool| self.refresh(now, pool));
        for id in self.connections.keys().copied().collect::<Vec<_>>() {
            self.pass(id);
        }
    }

    /// Has a connection follow to the process that serves, if it stands.
    pub(super) fn pass(&mut self, id: ConnectionId) {
        let Some(connection) =
            self.connections.get(&id).filter(|connection| connection.phase == Phase::Standing)
        else {
            return;
        };
        let (Some(Partner::Successor), Some(attempt)) = (self.partner, connection.attempt) else { return };
        let Some(host) = self.pools[connection.pool].table.any(attempt.host) else { return };
        let (ask, host) = (connection.ask.clone(), host.name.clone());
        let standing = Standing { ask, host, load: connection.load, asked: connection.asked };
        self.effects.push(Effect::TransferConnection { connection: id, pool: connection.pool, standing });
    }

    /// Its sockets have gone: nothing of it is left here, and nothing of it ended.
    pub(super) fn passed(&mut self, now: Time, id: ConnectionId) {
        let Some(pool) = self.connections.get(&id).map(|connection| connection.pool) else { return };
        let attempt = self.forget(now, id);
        self.waiting.remove(&id);
        if let Some(attempt) = attempt {
            let (request, attempt, outcome) = (RequestId(id.0), attempt.number, Outcome::Cancelled);
            self.tell(now, pool, Event::AttemptEnded { request, attempt, outcome, answered: true });
        }
    }

    /// Takes in what the process before knew.
    pub(super) fn inherit(&mut self, now: Time, legacy: Legacy) {
        self.partner = Some(Partner::Predecessor { left: legacy.left });
        self.bans.extend(legacy.bans);
        self.ever_listed.extend(legacy.ever_listed);
        for (key, entry) in legacy.entries {
            self.store.take(&key, entry);
        }
        self.effects.push(Effect::PersistExclusions(self.bans.iter().cloned().collect()));
        for id in 0..self.pools.len() {
            let pool = &mut self.pools[id];
            let Some(left) = legacy.pools.get(pool.setup.name) else { continue };
            pool.returned.extend(left.returned.iter().cloned());
            pool.elsewhere.extend(left.ids.iter().cloned());
            if pool.setup.discovery.is_some() && !left.hosts.is_empty() {
                let named = left.hosts.iter().map(|(host, _)| (host.name.clone(), host.clone()));
                pool.listed = named.collect();
            }
            self.refresh(now, id);
            for (host, known) in &left.hosts {
                let server = host_number(&host.name);
                known.iter().for_each(|&known| self.pools[id].balancer.restore_learned_state(server, known));
            }
        }
    }

    /// A connection goes on here that stood at the process before.
    pub(super) fn adopted(&mut self, now: Time, id: ConnectionId, pool_id: PoolId, standing: Standing) {
        let Some(pool) = self.pools.get_mut(pool_id) else { return };
        let Standing { ask, host, load, asked } = standing;
        let host = host_number(&host);
        let index = |names: &[String], name: &str| names.iter().position(|n| n == name);
        let class = index(&pool.setup.classes, &ask.class).map(|n| ClassId(n as u16));
        let tenant = ask.tenant.as_deref().and_then(|name| index(&pool.setup.tenants, name));
        let (tenant, group, hint) = (tenant.map(|n| TenantId(n as u16)), ask.group.map(GroupId), ask.load);
        pool.held += 1;
        if let Some(id) = &ask.id {
            pool.elsewhere.remove(id);
            pool.ids.insert(id.clone());
        }
        let attempt =
            Some(Attempt { number: 0, host, written: true, since: now, until: now, write_by: None });
        let connection = ClientConnection {
            pool: pool_id,
            class,
            ask,
            load: None,
            phase: Phase::Standing,
            attempts: 1,
            attempt,
            due: None,
            met: now,
            move_at: None,
            asked,
        };
        self.connections.insert(id, connection);
        self.at.entry((pool_id, host)).or_default().insert(id);
        let (request, server) = (RequestId(id.0), host);
        let class = class.unwrap_or_default();
        let known = self.pools[pool_id].table.any(host).is_some();
        self.tell(
            now,
            pool_id,
            Event::ConnectionRestored { request, class, tenant, group, load: hint, server },
        );
        if let Some(load) = load {
            self.connections.entry(id).and_modify(|connection| connection.load = Some(load));
            let pool = &mut self.pools[pool_id];
            pool.loads = (pool.loads.0 + load, pool.loads.1 + 1.0);
            self.tell(
                now,
                pool_id,
                Event::ConnectionMeasured { request, measurement: Measurement::Load(load) },
            );
        }
        self.watch_over(now, id);
        self.stood(now, id, None);
        // What holds for its host's other clients holds for it.
        if !known || self.pools[pool_id].table.ready(host).is_none() {
            self.refresh(now, pool_id);
        }
    }

    /// The other process is gone, whatever became of it.
    pub(super) fn partner_lost(&mut self, now: Time) {
        let partner = self.partner.take();
        for caller in self.shared.keys().copied().collect::<Vec<_>>() {
            self.share_taken(caller);
        }
        match partner {
            Some(Partner::Heir | Partner::Successor) => {
                self.effects
                    .push(Effect::Log("the process that was to take this one's place is gone".to_owned()));
                self.effects.push(Effect::SetAccepting { open: self.shut.is_none() });
                (0..self.pools.len()).for_each(|pool| self.refresh(now, pool));
            }
            // What it had open is open nowhere any more, and its descriptors are free.
            Some(Partner::Predecessor { .. }) => {
                self.pools.iter_mut().for_each(|pool| pool.elsewhere.clear());
                self.make_room(now);
            }
            None => {}
        }
    }

    /// Whether another process is to accept what comes.
    pub(super) fn stepped_back(&self) -> bool {
        matches!(self.partner, Some(Partner::Heir | Partner::Successor))
    }

    /// Descriptors of this one's that the other process holds meanwhile.
    pub(super) fn lent(&self) -> usize {
        match self.partner {
            // Danger: where it holds as many as may wait here, nobody could come in.
            Some(Partner::Predecessor { left }) => left.min(self.budget.waiting * 3 / 4),
            _ => 0,
        }
    }
}
