//! Load reports of servers: a connection's load, or the time that a message takes at the server. They differ
//! from [`crate::LoadReport`], the utilisation of a server in the answer to a probe.
//!
//! Both may arrive in the same form, as one number. They are therefore distinguished by their values. If a
//! message time were treated as a load, the slowest server would look idle and receive more connections.
//!
//! The module owns, for each pool, the mean of all loads (in microseconds of work per second) and the last
//! message time of each server (in milliseconds). Rule, where servers report message times: a value is a
//! message time if
//!
//! - servers do not report loads; or
//! - the value is below [`MIN_LOAD_SHARE`] of the mean load, since the load of no connection is that small;
//!   or
//! - the value resembles the server's last message time. A slow server repeats its report every second. A
//!   value that differs from the last one by a factor of at most [`REPEATED_REPORT_FACTOR`] and arrives
//!   within [`REPEATED_REPORT_TIMEOUT`] after it is therefore treated as the next report.

use std::collections::BTreeMap;

use super::PoolConfig;
use crate::bookkeeping::RunningMean;
use crate::{Micros, ServerId, Time};

/// The share of the mean load below which a value is not a load. The load of an idle connection is above it.
const MIN_LOAD_SHARE: f64 = 1.0 / 64.0;
/// The largest ratio between two consecutive message times of one server.
const REPEATED_REPORT_FACTOR: f64 = 2.5;
/// The longest time between two consecutive reports of one server.
const REPEATED_REPORT_TIMEOUT: Micros = Micros::from_millis(1_300);

/// A server's report of its message time.
#[derive(Clone, Copy, Debug)]
struct MessageTimeReport {
    at: Time,
    message_time_ms: f64,
}

/// The reports of one pool's servers.
#[derive(Default)]
pub(super) struct LoadReports {
    mean_load: RunningMean,
    /// The last message time that each server reported.
    message_times: BTreeMap<ServerId, MessageTimeReport>,
}

impl LoadReports {
    /// Returns whether a reported value is a message time in milliseconds, and not a load.
    pub(super) fn is_message_time(
        &self,
        now: Time,
        server: ServerId,
        value: f64,
        config: &PoolConfig,
    ) -> bool {
        let is_below_any_load = value < self.mean_load.mean() * MIN_LOAD_SHARE;
        let is_not_a_load =
            is_below_any_load || self.resembles_last_report(now, server, value) || !config.reports_load;
        config.reports_message_time && is_not_a_load
    }

    fn resembles_last_report(&self, now: Time, server: ServerId, value: f64) -> bool {
        let last = self.message_times.get(&server);
        last.filter(|last| now.since(last.at) <= REPEATED_REPORT_TIMEOUT).is_some_and(|last| {
            let shortest = last.message_time_ms / REPEATED_REPORT_FACTOR;
            let longest = last.message_time_ms * REPEATED_REPORT_FACTOR;
            (shortest..longest).contains(&value)
        })
    }

    /// Records the message time that a server reported.
    pub(super) fn add_message_time(&mut self, now: Time, server: ServerId, message_time_ms: f64) {
        self.message_times.insert(server, MessageTimeReport { at: now, message_time_ms });
    }

    /// Adds the load of a connection to the mean load.
    pub(super) fn add_load(&mut self, load: f64) {
        self.mean_load.add(load);
    }
}
