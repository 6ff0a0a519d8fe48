//! Reports of slow messages by one server.
//!
//! **Decided:** whether a server's messages have been slow for several seconds, which is a condition of
//! pressure; and whether the server has reported any slow message recently.
//!
//! **Inputs:** message times, which the server reports about once per second while it is slow; the message
//! objective.
//!
//! **Rule:** a message is slow if it takes at least a third of the objective. If no objective is set,
//! the objective is 0 and each reported message counts as slow. A server's slowness is
//! sustained if the server sent [`MIN_REPORTS`] reports of slow messages within [`REPORT_WINDOW`], the last
//! one within [`REPORT_TIMEOUT`]. A report of a fast message clears the earlier reports.

use crate::{Micros, Time};

/// Number of reports that show sustained slowness.
const MIN_REPORTS: usize = 3;
/// Age above which reports are removed.
const REPORT_WINDOW: Micros = Micros::from_secs(4);
/// Time without a report after which a server counts as recovered. A slow server reports every second.
const REPORT_TIMEOUT: Micros = Micros::from_millis(2500);
/// Smallest time between two reports. Reports in quicker succession count as one.
const MIN_REPORT_INTERVAL: Micros = Micros::from_millis(500);
/// Divisor of the objective that yields the smallest time of a slow message.
const SLOW_OBJECTIVE_DIVISOR: u64 = 3;

#[derive(Clone, Copy, Debug)]
struct SlowMessageReport {
    at: Time,
    message_time: Micros,
}

/// Recent reports of slow messages, in the order of arrival.
#[derive(Debug, Default)]
pub(super) struct SlowMessageReports {
    reports: Vec<SlowMessageReport>,
}

impl SlowMessageReports {
    /// Records a report of a slow or fast message.
    pub(super) fn record(&mut self, now: Time, message_time: Micros, objective: Micros) {
        self.reports.retain(|report| now.since(report.at) <= REPORT_WINDOW);
        let slow_threshold = objective / SLOW_OBJECTIVE_DIVISOR;
        match self.reports.last() {
            _ if message_time < slow_threshold => self.reports.clear(),
            Some(last) if now.since(last.at) < MIN_REPORT_INTERVAL => {}
            _ => self.reports.push(SlowMessageReport { at: now, message_time }),
        }
    }

    /// Returns the last message time if the slowness of the server is sustained.
    pub(super) fn sustained_message_time(&self, now: Time) -> Option<Micros> {
        let recent = self.reports.iter().filter(|report| now.since(report.at) <= REPORT_WINDOW);
        let last = self.reports.last()?;
        let sustained = recent.count() >= MIN_REPORTS && now.since(last.at) <= REPORT_TIMEOUT;
        sustained.then_some(last.message_time)
    }

    /// Returns whether the server reported a slow message recently.
    pub(super) fn any_recent(&self, now: Time) -> bool {
        self.reports.last().is_some_and(|report| now.since(report.at) <= REPORT_WINDOW)
    }
}
