//! Probes: when servers are probed, and how many connections a full server has by the load reports.
//!
//! **What is decided.** When a server is probed for its load, and how many connections of this balancer a
//! full server has.
//!
//! **Inputs.** Established connections; the cost of one probe for each request, as a fraction of the value of
//! all requests; load reports: the utilisation (1 is full) and, if reported, the connections of all
//! balancers; the number of balancers; whether the endpoint list has expired.
//!
//! **Rule.** Each established connection earns credit for (0.004 / that cost) probes, at most four; a
//! rejected connection earns none. At most one probe for each server is saved up. While the settings do not
//! allow probes with load reports, or the endpoint list is expired, no credit is earned. Each whole credit is
//! spent on a probe of the serving server that was probed least recently. The number of connections at a full
//! server is the number of connections at the serving servers that have reported, over the sum of their
//! utilisation times their warmth. It is divided by the number of balancers if reports count the connections
//! of all balancers. There is no estimate if the sum is below 0.1.
//!
//! A report is some time old when it arrives. It certainly includes only the slots that were occupied here
//! when the previous report arrived. A report that equals the previous one may be the same report, and is
//! ignored.
//!
//! The effect of a report on its server's ceiling is decided in `concurrency_limit`, and the effect on
//! servers that are warming up in `slow_start`.

use super::server::Server;
use crate::types::{Settings, Time};

/// Highest cost of all probes, as a share of the value of all requests.
const COST_SHARE: f64 = 0.004;
/// Highest number of probes for each established connection.
const MAX_PROBES_PER_CONNECTION: f64 = 4.0;
/// Lowest sum of reported utilisation from which the size of servers is estimated.
const MIN_TOTAL_UTILISATION: f64 = 0.1;

/// Credit for probes, in probes.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProbeCredit(f64);

impl ProbeCredit {
    /// Adds the credit that an established connection earns. At most one probe for each of the `servers`
    /// servers is saved up.
    pub fn on_established(&mut self, settings: &Settings, servers: usize) {
        let cost = settings.probe_cost.max(COST_SHARE / MAX_PROBES_PER_CONNECTION);
        self.0 = (self.0 + COST_SHARE / cost).min(servers as f64);
    }

    /// Spends the credit for one probe. Returns false and spends nothing if the credit is less.
    pub fn spend(&mut self) -> bool {
        let is_enough = self.0 >= 1.0;
        if is_enough {
            self.0 -= 1.0;
        }
        is_enough
    }
}

/// Estimates this balancer's part of the connections at a full, warm server from the last reports of all
/// servers; none if the reported utilisation is too low. `counts_all_balancers` says whether reports count
/// the connections of all balancers.
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
