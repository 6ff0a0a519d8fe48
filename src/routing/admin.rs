//! What operators ask for, and the figures that they are told.

use super::{
    AdminCall, AdminClientId, AdminResponse, ClassCounters, ConnectionId, Effect, Metrics, PeerProcess, State,
};
use crate::{Micros, Time};

/// The other process has so long to take in an operator's word: the answer is due within 1 s.
const SHARE_WAIT: Micros = 500_000;

impl State {
    pub(super) fn on_admin_request(&mut self, now: Time, admin_client: AdminClientId, call: AdminCall) {
        let reply = match call {
            AdminCall::Ready => {
                self.readiness().map_or_else(|why| AdminResponse::No(why.to_owned()), |()| AdminResponse::Yes)
            }
            AdminCall::Telemetry => AdminResponse::Metrics(self.metrics(now)),
            AdminCall::Exclude(server) => return self.exclude_or_include(now, admin_client, server, true),
            AdminCall::Include(server) => return self.exclude_or_include(now, admin_client, server, false),
        };
        self.effects.push(Effect::AdminReply { admin_client, reply });
    }

    /// Takes a server out by hand, or back into use. Where another process serves beside this one, it has to hear
    /// of that before the answer.
    fn exclude_or_include(&mut self, now: Time, admin_client: AdminClientId, server: String, out: bool) {
        let known =
            self.ever_listed.contains(&server) || self.pools.iter().any(|pool| pool.out.contains(&server));
        let reply = match () {
            () if !self.listening => AdminResponse::No("not ready yet".to_owned()),
            () if !known => AdminResponse::No(format!("no host {server} was ever listed")),
            () if !self.set_exclusion(now, &server, out) => AdminResponse::No("the store is full".to_owned()),
            () if self.peer_process.is_some() => {
                self.pending_acknowledgements.insert(admin_client, now.plus(SHARE_WAIT));
                return self.effects.push(Effect::ShareExclusion { admin_client, server, out });
            }
            () => AdminResponse::Yes,
        };
        self.effects.push(Effect::AdminReply { admin_client, reply });
    }

    /// Whether it could be noted.
    pub(super) fn set_exclusion(&mut self, now: Time, server: &str, out: bool) -> bool {
        let key = format!("life/{server}");
        if self.store.is_on() {
            return out == self.store.get(&key).is_some() || self.write(now, &key, out.then_some("draining"));
        }
        let changed = if out {
            self.excluded_by_operator.insert(server.to_owned())
        } else {
            self.excluded_by_operator.remove(server)
        };
        if changed {
            let does = if out { "is out by hand" } else { "is in use again" };
            self.effects.push(Effect::Log(format!("{server} {does}")));
            self.effects.push(Effect::PersistExclusions(self.excluded_by_operator.iter().cloned().collect()));
            (0..self.pools.len()).for_each(|pool| self.refresh(now, pool));
        }
        true
    }

    /// The other process has heard of it, or will not.
    pub(super) fn on_exclusion_acknowledged(&mut self, admin_client: AdminClientId) {
        if self.pending_acknowledgements.remove(&admin_client).is_some() {
            self.effects.push(Effect::AdminReply { admin_client, reply: AdminResponse::Yes });
        }
    }

    /// Whether this process can serve.
    pub fn serves(&self) -> bool {
        self.readiness().is_ok()
    }

    /// Whether this process can serve, or why not.
    fn readiness(&self) -> Result<(), &'static str> {
        // Danger: with discovery down nobody would ever be ready, though the list from before the start may do.
        let listed = |pool: &super::Pool| pool.told || !pool.listed.is_empty();
        match () {
            () if self.shutdown_window.is_some() => Err("leaving"),
            () if self.peer_process == Some(PeerProcess::Successor) => {
                Err("another process serves in its place")
            }
            () if !self.listening => Err("not listening yet"),
            () if !self.pools.iter().all(listed) => Err("no routing table yet"),
            () => Ok(()),
        }
    }

    /// Counts an outcome in its connection's class, if it has told one that is configured.
    pub(super) fn count(&mut self, id: ConnectionId, add: impl FnOnce(&mut ClassCounters)) {
        let Some((pool, class)) = self.connections.get(&id).and_then(|a| Some((a.pool, a.class?))) else {
            return;
        };
        self.pools[pool].counts.get_mut(class.0 as usize).map(add);
    }

    /// The figures, as they are now.
    fn metrics(&self, now: Time) -> Metrics {
        let mut metrics = Metrics { forwards: self.forwards, ..Metrics::default() };
        for pool in &self.pools {
            // One that is no longer configured is there by no name.
            let named = pool.config.classes.iter().zip(&pool.counts).filter(|(class, _)| !class.is_empty());
            for (class, counts) in named {
                let all = metrics.classes.entry(class.clone()).or_default();
                all.succeeded += counts.succeeded;
                all.declined += counts.declined;
                all.aborted += counts.aborted;
            }
            metrics.outstanding += pool.held as u64;
            metrics.discovered += pool.table.ids().count() as u64;
            let by_hand =
                |server| pool.table.any(server).is_some_and(|server| pool.out.contains(&server.name));
            let avoided =
                pool.table.ids().filter(|&server| by_hand(server) || pool.balancer.is_avoided(now, server));
            metrics.ejected += avoided.count() as u64;
            if pool.config.rebalance.enabled {
                metrics.rebalance.insert(pool.config.name.to_owned(), pool.rebalance.metrics());
            }
        }
        metrics
    }
}
