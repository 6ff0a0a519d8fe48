//! Reports of slow messages from one server.
//!
//! **Decided:** whether a server's messages have been slow for several seconds, which counts as pressure, or were slow
//! at all recently.
//!
//! **Inputs:** message times that the server reports about once a second while it is slow; the message objective.
//!
//! **Rule:** a message is slow from a third of the objective on. A server is slow for a while when it has sent
//! [`MIN_REPORTS`] such reports within [`REPORT_WINDOW`], the last within [`REPORT_TIMEOUT`]. A report of a fast message
//! clears the earlier ones.

use crate::{Micros, Time};

/// Number of reports that show slowness for a while.
const MIN_REPORTS: usize = 3;
/// Reports older than this are forgotten.
const REPORT_WINDOW: Micros = Micros::from_secs(4);
/// After this time without a report a server, which reports every second while it is slow, has recovered.
const REPORT_TIMEOUT: Micros = Micros::from_millis(2500);
/// Reports that follow one another sooner than this count as one.
const MIN_REPORT_INTERVAL: Micros = Micros::from_millis(500);
/// Divisor of the objective that gives the least time of a slow message.
const SLOW_OBJECTIVE_DIVISOR: u64 = 3;

#[derive(Clone, Copy, Debug)]
struct SlowMessageReport {
    at: Time,
    message_time: Micros,
}

/// The recent reports of slow messages, the latest last.
#[derive(Debug, Default)]
pub(super) struct SlowMessageReports {
    reports: Vec<SlowMessageReport>,
}

impl SlowMessageReports {
    /// Records a report, which may be of a fast message.
    pub(super) fn record(&mut self, now: Time, message_time: Micros, objective: Micros) {
        self.reports.retain(|report| now.since(report.at) <= REPORT_WINDOW);
        let slow_threshold = objective / SLOW_OBJECTIVE_DIVISOR;
        match self.reports.last() {
            _ if message_time < slow_threshold => self.reports.clear(),
            Some(last) if now.since(last.at) < MIN_REPORT_INTERVAL => {}
            _ => self.reports.push(SlowMessageReport { at: now, message_time }),
        }
    }

    /// The last message time of a server that has been slow for a while.
    pub(super) fn sustained_message_time(&self, now: Time) -> Option<Micros> {
        let recent = self.reports.iter().filter(|report| now.since(report.at) <= REPORT_WINDOW);
        let last = self.reports.last()?;
        let sustained = recent.count() >= MIN_REPORTS && now.since(last.at) <= REPORT_TIMEOUT;
        sustained.then_some(last.message_time)
    }

    /// Whether the server reported a slow message recently.
    pub(super) fn any_recent(&self, now: Time) -> bool {
        self.reports.last().is_some_and(|report| now.since(report.at) <= REPORT_WINDOW)
    }
}
