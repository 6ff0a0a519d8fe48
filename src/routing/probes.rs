//! Health checks (probes): requests to a server for its load report.
//!
//! The balancer decides when to probe which server, and what a result changes (`src/policy/`). Owns, for each pool, the
//! probes in flight and the server processes that decline probes. Rule: a probe is sent only
//!
//! - to a server that is ready, so that draining ones get nothing new;
//! - to a server without a probe in flight, since one that has not answered yet is busy;
//! - while fewer than [`MAX_PROBES`] are in flight, for which descriptors are reserved;
//! - to a process that has not declined probes.
//!
//! A server's process is identified by its start. A result of a process that has been replaced is dropped.

use std::collections::{BTreeMap, BTreeSet};

use super::{Effect, EndpointList, LogEvent, PoolId, State};
use crate::{Event, LoadReport, Micros, Outcome, ServerId, Settings, Time};

/// The largest number of connections for probes, whether a probe is in flight or they are idle. Descriptors are reserved
/// for them.
pub const MAX_PROBES: usize = 16;
/// The timeout for an answer where no set-up objective is configured, as a multiple of the connect timeout.
const ANSWER_TIMEOUT_IN_CONNECT_TIMEOUTS: u64 = 4;

/// How a probe ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProbeEnd {
    /// The server answered, possibly with a load report.
    Answered(Option<LoadReport>),
    /// The server answered with an error, possibly with a load report.
    Error(Option<LoadReport>),
    /// The server answered that it must not be probed.
    Declined,
    /// The server could not be reached, or did not answer in time.
    NoAnswer,
}

/// One process of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Incarnation {
    server: ServerId,
    started: Option<Time>,
}

/// The probes of one pool.
#[derive(Default)]
pub(super) struct Probes {
    /// The probes in flight: for each server, the start of the process that is probed.
    in_flight: BTreeMap<ServerId, Option<Time>>,
    /// Processes that answered that they must not be probed.
    declined: BTreeSet<Incarnation>,
}

impl Probes {
    /// Records a probe of a process. Returns false if that must not be probed now.
    fn try_start(&mut self, probed: Incarnation) -> bool {
        let may_start = self.in_flight.len() < MAX_PROBES
            && !self.in_flight.contains_key(&probed.server)
            && !self.declined.contains(&probed);
        if may_start {
            self.in_flight.insert(probed.server, probed.started);
        }
        may_start
    }

    /// Records the end of a server's probe, and returns which process was probed.
    fn finish(&mut self, server: ServerId) -> Option<Incarnation> {
        let started = self.in_flight.remove(&server)?;
        Some(Incarnation { server, started })
    }

    /// Records that a process declines probes, and drops the records of processes that are replaced or not listed.
    fn record_declined(&mut self, probed: Incarnation, endpoints: &EndpointList) {
        self.declined.retain(|declined| {
            endpoints.get(declined.server).is_some_and(|endpoint| endpoint.started == declined.started)
        });
        self.declined.insert(probed);
    }
}

impl State {
    /// Sends a probe to a server, if it may be probed now.
    pub(super) fn start_probe(&mut self, pool_id: PoolId, server: ServerId) {
        let pool = &mut self.pools[pool_id];
        let Some(endpoint) = pool.endpoints.get_ready(server) else { return };
        if !pool.probes.try_start(Incarnation { server, started: endpoint.started }) {
            return;
        }
        self.effects.push(Effect::ProbeServer {
            pool: pool_id,
            server,
            address: endpoint.address.clone(),
            names: pool.config.load_report_fields.clone(),
            timeout: probe_timeout(&pool.config.settings),
        });
    }

    /// Reports a probe's result to the balancer, if the probed process still serves.
    pub(super) fn on_probe_completed(&mut self, now: Time, pool_id: PoolId, server: ServerId, end: ProbeEnd) {
        let Some(pool) = self.pools.get_mut(pool_id) else { return };
        let Some(probed) = pool.probes.finish(server) else { return };
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
            self.on_probes_declined(pool_id, probed);
        }
        self.dispatch(now, pool_id, Event::ProbeCompleted { server, outcome, report });
    }

    fn on_probes_declined(&mut self, pool_id: PoolId, probed: Incarnation) {
        let pool = &mut self.pools[pool_id];
        pool.probes.record_declined(probed, &pool.endpoints);
        let name = pool.endpoints.get(probed.server).map_or("", |endpoint| &endpoint.name);
        self.effects.push(Effect::Log(LogEvent::ProbesDeclined { server: name.to_owned() }));
    }
}

/// The timeout of a probe: the connect timeout, plus the set-up objective for the answer.
fn probe_timeout(settings: &Settings) -> Micros {
    let answer_timeout = match settings.setup_objective() {
        Micros::ZERO => ANSWER_TIMEOUT_IN_CONNECT_TIMEOUTS * settings.connect_timeout,
        objective => objective,
    };
    settings.connect_timeout + answer_timeout
}
