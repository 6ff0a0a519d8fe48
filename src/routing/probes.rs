//! Health checks (probes): requests to a server for its load report.
//!
//! The balancer decides which server to probe, when, and how a result changes its state (`src/policy/`). The
//! probes in flight and the processes that refuse probes are recorded in [`super::probe_records`]. Rule: a
//! probe is sent only
//!
//! - to a server that is ready, because a draining server must not receive new requests;
//! - to a server without a probe in flight, because a server that has not answered yet is busy;
//! - while fewer than [`super::MAX_PROBES`] are in flight in its pool, for which descriptors are reserved;
//! - to a process that has not refused probes.
//!
//! A server's process is identified by its start time. The result of a probe is ignored if the probed process
//! was replaced meanwhile.

use super::probe_records::Incarnation;
use super::{Effect, LogEvent, PoolId, ProbeOutcome, State};
use crate::{Event, Micros, Outcome, ServerId, Settings, Time};

/// The timeout for the answer to a probe if no setup objective is configured, as a multiple of the connect
/// timeout.
const ANSWER_TIMEOUT_IN_CONNECT_TIMEOUTS: u64 = 4;

impl State {
    /// Sends a probe to a server, if it may be probed now.
    pub(super) fn start_probe(&mut self, pool_id: PoolId, server: ServerId) {
        let pool = &mut self.pools[pool_id.0];
        let Some(endpoint) = pool.endpoints.get_if_ready(server) else { return };
        if !pool.probes.try_start(Incarnation { server, started: endpoint.started_at }) {
            return;
        }
        self.effects.push(Effect::ProbeServer {
            pool: pool_id,
            server,
            address: endpoint.address.clone(),
            load_report_fields: pool.config.load_report_fields.clone(),
            timeout: probe_timeout(&pool.config.settings),
        });
    }

    /// Reports a probe's result to the balancer, if the probed process is still listed as ready.
    pub(super) fn on_probe_completed(
        &mut self,
        now: Time,
        pool_id: PoolId,
        server: ServerId,
        probe_outcome: ProbeOutcome,
    ) {
        let Some(pool) = self.pools.get_mut(pool_id.0) else { return };
        let Some(probed) = pool.probes.finish(server) else { return };
        let current_start = pool.endpoints.get_if_ready(server).map(|endpoint| endpoint.started_at);
        if current_start != Some(probed.started) {
            return;
        }
        let (outcome, report) = match probe_outcome {
            ProbeOutcome::Answered(report) => (Outcome::Ok, report),
            ProbeOutcome::Error(report) => (Outcome::Error, report),
            ProbeOutcome::ProbingRefused => (Outcome::Rejected, None),
            ProbeOutcome::NoAnswer => (Outcome::TimedOut, None),
        };
        if probe_outcome == ProbeOutcome::ProbingRefused {
            self.on_probes_refused(pool_id, probed);
        }
        self.dispatch(now, pool_id, Event::ProbeCompleted { server, outcome, report });
    }

    fn on_probes_refused(&mut self, pool_id: PoolId, probed: Incarnation) {
        let pool = &mut self.pools[pool_id.0];
        pool.probes.record_refusal(probed, &pool.endpoints);
        let name = pool.endpoints.get(probed.server).map_or("", |endpoint| &endpoint.name);
        self.effects.push(Effect::Log(LogEvent::ProbesRefused { server: name.to_owned() }));
    }
}

/// Returns the timeout of a probe: the connect timeout, plus the setup objective for the answer.
fn probe_timeout(settings: &Settings) -> Micros {
    let answer_timeout = match settings.setup_objective() {
        Micros::ZERO => ANSWER_TIMEOUT_IN_CONNECT_TIMEOUTS * settings.connect_timeout,
        objective => objective,
    };
    settings.connect_timeout + answer_timeout
}
