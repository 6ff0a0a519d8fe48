//! Load reports of servers: a connection's load, or the time that a message takes at the server.
//!
//! Both may arrive in the same form, as one number, so they are distinguished by value. A message time that
//! counted as a load would make the slowest server look idle, and it would receive more connections.
//!
//! Owns, for each pool, the mean of all loads (in the settings' unit) and each server's last message time (in
//! milliseconds). Rule, where servers report message times at all: a value is a message time if
//!
//! - servers do not report loads; or
//! - it is below [`MIN_LOAD_SHARE`] of the mean load, which the load of no connection is; or
//! - it resembles the server's last message time. A slow server repeats its report every second, so a value
//!   within [`REPEATED_REPORT_FACTOR`] of the last one and [`REPEATED_REPORT_TIMEOUT`] after it is the next
//!   report.

use std::collections::BTreeMap;

use super::PoolConfig;
use crate::bookkeeping::RunningMean;
use crate::{Micros, ServerId, Time};

/// A value below this share of the mean load is no load. That of an idle connection is still above it.
const MIN_LOAD_SHARE: f64 = 1.0 / 64.0;
/// The largest ratio between two message times in a row of one server.
const REPEATED_REPORT_FACTOR: f64 = 2.5;
/// The longest time between two reports in a row of one server.
const REPEATED_REPORT_TIMEOUT: Micros = Micros::from_millis(1_300);

/// A server's report of how long a message takes there.
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
    /// Whether a reported value is a message time in milliseconds, and not a load.
    pub(super) fn is_message_time(
        &self,
        now: Time,
        server: ServerId,
        value: f64,
        config: &PoolConfig,
    ) -> bool {
        let is_below_any_load = value < self.mean_load.mean() * MIN_LOAD_SHARE;
        let is_likely =
            is_below_any_load || self.resembles_last_report(now, server, value) || !config.reports_load;
        config.reports_message_time && is_likely
    }

    fn resembles_last_report(&self, now: Time, server: ServerId, value: f64) -> bool {
        let last = self.message_times.get(&server);
        last.filter(|last| now.since(last.at) <= REPEATED_REPORT_TIMEOUT).is_some_and(|last| {
            let shortest = last.message_time_ms / REPEATED_REPORT_FACTOR;
            let longest = last.message_time_ms * REPEATED_REPORT_FACTOR;
            (shortest..longest).contains(&value)
        })
    }

    /// Records a server's message time.
    pub(super) fn add_message_time(&mut self, now: Time, server: ServerId, message_time_ms: f64) {
        self.message_times.insert(server, MessageTimeReport { at: now, message_time_ms });
    }

    /// Records the load of a connection.
    pub(super) fn add_load(&mut self, load: f64) {
        self.mean_load.add(load);
    }
}
