//! Probes: which are out, and what comes of each. When and where one goes is the module's to decide.

use std::collections::{BTreeMap, BTreeSet};

use super::{Effect, LogEvent, PoolId, State};
use crate::{Event, LoadReport, Micros, Outcome, ServerId, Time};

/// So many connections for probes, out and kept for the next: descriptors are set aside for them.
pub const MOST_PROBES: usize = 16;
/// Where no set-up objective is told, an answer is worth waiting for so many times as long as a connect may take.
const ANSWER_WAITS: Micros = 4;

/// How a probe ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProbeEnd {
    /// The server answered, with a report that holds its load or without.
    Answered(Option<LoadReport>),
    /// It answered with an error; a report may have come along all the same.
    Error(Option<LoadReport>),
    /// It is not to be probed.
    Unwanted,
    /// Nothing that is an answer came in time, or no connection.
    Nothing,
}

/// The probes of one pool.
#[derive(Default)]
pub(super) struct Probes {
    /// Those that are out, each with the start of the process that was asked.
    out: BTreeMap<ServerId, Option<Time>>,
    /// Servers that said they are not to be probed, in the life that said so.
    unwanted: BTreeSet<(ServerId, Option<Time>)>,
}

impl State {
    /// Has a server probed. Danger (drains): only one that may be sent something new. One that has not answered the
    /// last probe yet is not asked again: it has enough to do.
    pub(super) fn probe(&mut self, pool_id: PoolId, server: ServerId) {
        let pool = &mut self.pools[pool_id];
        let Some(listed) = pool.table.ready(server) else { return };
        let Probes { out, unwanted } = &mut pool.probes;
        if out.len() >= MOST_PROBES
            || out.contains_key(&server)
            || unwanted.contains(&(server, listed.started))
        {
            return;
        }
        out.insert(server, listed.started);
        let settings = &pool.config.settings;
        let answer = Some(settings.setup_objective()).filter(|&aim| aim > 0);
        let wait = settings.connect_timeout + answer.unwrap_or(ANSWER_WAITS * settings.connect_timeout);
        let names = pool.config.reports.clone();
        self.effects.push(Effect::ProbeServer {
            pool: pool_id,
            server,
            address: listed.address.clone(),
            names,
            wait,
        });
    }

    /// A probe is over. Danger: what a server told of itself before it started again holds no more.
    pub(super) fn on_probe_completed(&mut self, now: Time, pool_id: PoolId, server: ServerId, end: ProbeEnd) {
        let Some(pool) = self.pools.get_mut(pool_id) else { return };
        let Some(asked) = pool.probes.out.remove(&server) else { return };
        let life = pool.table.ready(server).map(|server| server.started);
        let (outcome, report) = match end {
            ProbeEnd::Answered(report) => (Outcome::Ok, report),
            ProbeEnd::Error(report) => (Outcome::Error, report),
            ProbeEnd::Unwanted => (Outcome::Rejected, None),
            ProbeEnd::Nothing => (Outcome::TimedOut, None),
        };
        if life != Some(asked) {
            return;
        }
        if end == ProbeEnd::Unwanted {
            let table = &pool.table;
            pool.probes
                .unwanted
                .retain(|(server, life)| table.any(*server).is_some_and(|h| h.started == *life));
            pool.probes.unwanted.insert((server, asked));
            let name = table.any(server).map_or("", |server| &server.name).to_owned();
            self.effects.push(Effect::Log(LogEvent::ProbesDeclined { server: name }));
        }
        self.dispatch(now, pool_id, Event::ProbeCompleted { server, outcome, report });
    }
}
