//! What operators ask for, and the figures that they are told.

use super::{Call, CallerId, ConnectionId, Counts, Effect, Figures, Partner, Reply, State};
use crate::{Micros, Time};

/// The other process has so long to take in an operator's word: the answer is due within 1 s.
const SHARE_WAIT: Micros = 500_000;

impl State {
    pub(super) fn call(&mut self, now: Time, caller: CallerId, call: Call) {
        let reply = match call {
            Call::Ready => self.readiness().map_or_else(|why| Reply::No(why.to_owned()), |()| Reply::Yes),
            Call::Telemetry => Reply::Figures(self.figures(now)),
            Call::Exclude(host) => return self.ban(now, caller, host, true),
            Call::Include(host) => return self.ban(now, caller, host, false),
        };
        self.effects.push(Effect::AdminReply { caller, reply });
    }

    /// Takes a host out by hand, or back into use. Where another process serves beside this one, it has to hear
    /// of that before the answer.
    fn ban(&mut self, now: Time, caller: CallerId, host: String, out: bool) {
        let known =
            self.ever_listed.contains(&host) || self.pools.iter().any(|pool| pool.out.contains(&host));
        let reply = match () {
            () if !self.listening => Reply::No("not ready yet".to_owned()),
            () if !known => Reply::No(format!("no host {host} was ever listed")),
            () if !self.set_ban(now, &host, out) => Reply::No("the store is full".to_owned()),
            () if self.partner.is_some() => {
                self.shared.insert(caller, now.plus(SHARE_WAIT));
                return self.effects.push(Effect::ShareExclusion { caller, host, out });
            }
            () => Reply::Yes,
        };
        self.effects.push(Effect::AdminReply { caller, reply });
    }

    /// Whether it could be noted.
    pub(super) fn set_ban(&mut self, now: Time, host: &str, out: bool) -> bool {
        let key = format!("life/{host}");
        if self.store.is_on() {
            return out == self.store.get(&key).is_some() || self.write(now, &key, out.then_some("draining"));
        }
        let changed = if out { self.bans.insert(host.to_owned()) } else { self.bans.remove(host) };
        if changed {
            let does = if out { "is out by hand" } else { "is in use again" };
            self.effects.push(Effect::Log(format!("{host} {does}")));
            self.effects.push(Effect::PersistExclusions(self.bans.iter().cloned().collect()));
            (0..self.pools.len()).for_each(|pool| self.refresh(now, pool));
        }
        true
    }

    /// The other process has heard of it, or will not.
    pub(super) fn share_taken(&mut self, caller: CallerId) {
        if self.shared.remove(&caller).is_some() {
            self.effects.push(Effect::AdminReply { caller, reply: Reply::Yes });
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
            () if self.leaving.is_some() => Err("leaving"),
            () if self.partner == Some(Partner::Successor) => Err("another process serves in its place"),
            () if !self.listening => Err("not listening yet"),
            () if !self.pools.iter().all(listed) => Err("no routing table yet"),
            () => Ok(()),
        }
    }

    /// Counts an outcome in its connection's class, if it has told one that is configured.
    pub(super) fn count(&mut self, id: ConnectionId, add: impl FnOnce(&mut Counts)) {
        let Some((pool, class)) = self.connections.get(&id).and_then(|a| Some((a.pool, a.class?))) else {
            return;
        };
        self.pools[pool].counts.get_mut(class.0 as usize).map(add);
    }

    /// The figures, as they are now.
    fn figures(&self, now: Time) -> Figures {
        let mut figures = Figures { forwards: self.forwards, ..Figures::default() };
        for pool in &self.pools {
            // One that is no longer configured is there by no name.
            let named = pool.setup.classes.iter().zip(&pool.counts).filter(|(class, _)| !class.is_empty());
            for (class, counts) in named {
                let all = figures.classes.entry(class.clone()).or_default();
                all.succeeded += counts.succeeded;
                all.declined += counts.declined;
                all.aborted += counts.aborted;
            }
            figures.outstanding += pool.held as u64;
            figures.discovered += pool.table.hosts().count() as u64;
            let by_hand = |host| pool.table.any(host).is_some_and(|host| pool.out.contains(&host.name));
            let avoided =
                pool.table.hosts().filter(|&host| by_hand(host) || pool.balancer.is_avoided(now, host));
            figures.ejected += avoided.count() as u64;
            if pool.setup.rebalance.on {
                figures.rebalance.insert(pool.setup.name.to_owned(), pool.rebalance.figures());
            }
        }
        figures
    }
}
