//! What servers report of their load: a connection's load, or the time that a message takes. Both may come in the
//! same form, so they are distinguished by value.

use std::collections::BTreeMap;

use super::PoolConfig;
use crate::bookkeeping::RunningMean;
use crate::{Micros, ServerId, Time};

/// A value under this share of the mean load is no load: the least load seen among 5,000 of them, of an idle
/// connection, was 1/52 of the mean.
const MIN_LOAD_SHARE: f64 = 1.0 / 64.0;
/// A slow server reports its message time every second: a value within this factor of the last one...
const REPEATED_REPORT_FACTOR: f64 = 2.5;
/// ...and within this time of it is the next report.
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
    /// Whether a reported value is a message time in milliseconds, and not a load. Taken for a load, it would make
    /// the most loaded server look idle, and that one would be sent more.
    pub(super) fn is_message_time(
        &self,
        now: Time,
        server: ServerId,
        value: f64,
        config: &PoolConfig,
    ) -> bool {
        let is_below_any_load = value < self.mean_load.mean() * MIN_LOAD_SHARE;
        let is_possible = is_below_any_load || self.is_repeated(now, server, value) || !config.reports_load;
        config.reports_message_time && is_possible
    }

    fn is_repeated(&self, now: Time, server: ServerId, value: f64) -> bool {
        let last = self.message_times.get(&server);
        last.filter(|last| now.since(last.at) <= REPEATED_REPORT_TIMEOUT).is_some_and(|last| {
            let shortest = last.message_time_ms / REPEATED_REPORT_FACTOR;
            let longest = last.message_time_ms * REPEATED_REPORT_FACTOR;
            (shortest..longest).contains(&value)
        })
    }

    pub(super) fn add_message_time(&mut self, now: Time, server: ServerId, message_time_ms: f64) {
        self.message_times.insert(server, MessageTimeReport { at: now, message_time_ms });
    }

    pub(super) fn add_load(&mut self, load: f64) {
        self.mean_load.add(load);
    }
}
