//! Health checks: which are in flight, and what comes of each. When and where to send one, the decision module
//! decides.

use std::collections::{BTreeMap, BTreeSet};

use super::{Effect, EndpointList, LogEvent, PoolId, State};
use crate::{Event, LoadReport, Micros, Outcome, ServerId, Settings, Time};

/// Connections for probes, in flight and kept open for the next: descriptors are reserved for them.
pub const MAX_PROBES: usize = 16;
/// Without a set-up objective, an answer may take this many times as long as a connect may.
const ANSWER_TIMEOUT_IN_CONNECT_TIMEOUTS: u64 = 4;

/// How a probe ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProbeEnd {
    /// The server answered, with a load report or without.
    Answered(Option<LoadReport>),
    /// It answered with an error, with a load report or without.
    Error(Option<LoadReport>),
    /// It answered that it must not be probed.
    Declined,
    /// There was no connection, or no answer in time.
    NoAnswer,
}

/// One process of a server: a report does not count for the next one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Incarnation {
    server: ServerId,
    started: Option<Time>,
}

/// The probes of one pool.
#[derive(Default)]
pub(super) struct Probes {
    /// Those in flight, with the start of the process that is probed.
    in_flight: BTreeMap<ServerId, Option<Time>>,
    /// Processes that answered that they must not be probed.
    declined: BTreeSet<Incarnation>,
}

impl Probes {
    /// Notes that a process is probed; false if that must not be. One that has not answered the last probe yet is
    /// not probed again: it is busy enough.
    fn begin(&mut self, probed: Incarnation) -> bool {
        let may_begin = self.in_flight.len() < MAX_PROBES
            && !self.in_flight.contains_key(&probed.server)
            && !self.declined.contains(&probed);
        if may_begin {
            self.in_flight.insert(probed.server, probed.started);
        }
        may_begin
    }

    /// Notes that a probe ended, and returns which process was probed.
    fn end(&mut self, server: ServerId) -> Option<Incarnation> {
        let started = self.in_flight.remove(&server)?;
        Some(Incarnation { server, started })
    }

    /// Notes that a process must not be probed, and forgets those that are gone.
    fn decline(&mut self, probed: Incarnation, endpoints: &EndpointList) {
        self.declined.retain(|declined| {
            endpoints.get(declined.server).is_some_and(|endpoint| endpoint.started == declined.started)
        });
        self.declined.insert(probed);
    }
}

impl State {
    /// Probes a server, if it may be sent something new.
    pub(super) fn probe_server(&mut self, pool_id: PoolId, server: ServerId) {
        let pool = &mut self.pools[pool_id];
        let Some(endpoint) = pool.endpoints.get_ready(server) else { return };
        if !pool.probes.begin(Incarnation { server, started: endpoint.started }) {
            return;
        }
        self.effects.push(Effect::ProbeServer {
            pool: pool_id,
            server,
            address: endpoint.address.clone(),
            names: pool.config.load_report_fields.clone(),
            wait: probe_timeout(&pool.config.settings),
        });
    }

    /// A probe ended. What a server reported before it restarted does not count any more.
    pub(super) fn on_probe_completed(&mut self, now: Time, pool_id: PoolId, server: ServerId, end: ProbeEnd) {
        let Some(pool) = self.pools.get_mut(pool_id) else { return };
        let Some(probed) = pool.probes.end(server) else { return };
        let started = pool.endpoints.get_ready(server).map(|endpoint| endpoint.started);
        if started != Some(probed.started) {
            return;
        }
        let (outcome, report) = match end {
            ProbeEnd::Answered(report) => (Outcome::Ok, report),
            ProbeEnd::Error(report) => (Outcome::Error, report),
            ProbeEnd::Declined => (Outcome::Rejected, None),
            ProbeEnd::NoAnswer => (Outcome::TimedOut, None),
        };
        if end == ProbeEnd::Declined {
            self.decline_probes(pool_id, probed);
        }
        self.dispatch(now, pool_id, Event::ProbeCompleted { server, outcome, report });
    }

    fn decline_probes(&mut self, pool_id: PoolId, probed: Incarnation) {
        let pool = &mut self.pools[pool_id];
        pool.probes.decline(probed, &pool.endpoints);
        let name = pool.endpoints.get(probed.server).map_or("", |endpoint| &endpoint.name);
        self.effects.push(Effect::Log(LogEvent::ProbesDeclined { server: name.to_owned() }));
    }
}

/// How long a probe may take: the time to connect, and then for the answer as long as a set-up may take.
fn probe_timeout(settings: &Settings) -> Micros {
    let answer_timeout = match settings.setup_objective() {
        Micros::ZERO => ANSWER_TIMEOUT_IN_CONNECT_TIMEOUTS * settings.connect_timeout,
        objective => objective,
    };
    settings.connect_timeout + answer_timeout
}
