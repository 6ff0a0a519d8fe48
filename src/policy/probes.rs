//! Probes: how many are sent, and what their load reports show of the size of servers.
//!
//! **What is decided.** When a server is asked for its load, and how many connections of this balancer a full
//! server holds.
//!
//! **Inputs.** Established connections; the cost of one probe for each request, as a fraction of the value of
//! all requests; load reports: the utilisation (1 is full) and, if reported, the connections of all
//! balancers.
//!
//! **Rule.** Each established connection earns credit for (0.004 / that cost) probes, at most four; a
//! rejected one earns none. A whole credit sends a probe to the serving server that was probed least
//! recently. The size of a server is what is established at all servers that have reported, over the sum of
//! their utilisation times their warmth.
//!
//! A report is some time old: it surely contains only what was occupied here when the previous report came.
//! One that equals the previous report may be the same, and is ignored.
//!
//! What a report changes at its server is decided in `concurrency_limit`, and in `slow_start` for those that
//! warm up.

use super::server::Server;
use crate::types::{Settings, Time};

/// The share of the value of all requests that probes may cost.
const COST_SHARE: f64 = 0.004;
/// The most probes for each established connection.
const MAX_PROBES_PER_CONNECTION: f64 = 4.0;
/// A lower sum of reported utilisation shows nothing of the size of servers.
const MIN_TOTAL_UTILISATION: f64 = 0.1;

/// Credit for probes, in probes.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProbeCredit(f64);

impl ProbeCredit {
    /// A connection was established; there are `servers` servers, for which credit may be saved up.
    pub fn on_established(&mut self, settings: &Settings, servers: usize) {
        let cost = settings.probe_cost.max(COST_SHARE / MAX_PROBES_PER_CONNECTION);
        self.0 = (self.0 + COST_SHARE / cost).min(servers as f64);
    }

    /// Spends the credit for one probe; false if there is not enough.
    pub fn spend(&mut self) -> bool {
        let is_enough = self.0 >= 1.0;
        if is_enough {
            self.0 -= 1.0;
        }
        is_enough
    }
}

/// This balancer's part of the connections at a full, warm server, by the last reports of all; none where
/// these are too low to show it. `counts_all_balancers` tells whether reports count the connections of all
/// balancers.
pub fn connections_at_capacity<'a>(
    serving: impl Iterator<Item = &'a Server> + Clone,
    counts_all_balancers: bool,
    settings: &Settings,
    now: Time,
) -> Option<f64> {
    let reported = serving.filter_map(|server| Some((server, server.load_reports.last_report()?)));
    let established = |server: &Server| server.connections.established_count() as f64;
    let connections: f64 = reported
        .clone()
        .map(|(server, report)| report.connections.unwrap_or_else(|| established(server)))
        .sum();
    let utilisation: f64 =
        reported.map(|(server, report)| report.utilisation * server.slow_start.warmth(settings, now)).sum();
    let balancers = if counts_all_balancers { settings.balancers.max(1) } else { 1 };
    let is_meaningful = utilisation >= MIN_TOTAL_UTILISATION;
    is_meaningful.then_some(connections / utilisation / f64::from(balancers))
}
