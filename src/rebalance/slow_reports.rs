//! Reports of slow messages from one server.

use crate::{Micros, Time};

/// So many of the last seconds a server has to have been slow.
const MIN_STREAK: usize = 3;
/// Reports older than this are forgotten.
const STREAK_WINDOW: Micros = Micros::from_secs(4);
/// A server that is slow reports it every second; after so long without a report it is not.
const REPORT_TIMEOUT: Micros = Micros::from_millis(2500);
/// Reports that come sooner after one another count once.
const MIN_REPORT_INTERVAL: Micros = Micros::from_millis(500);
/// A message is slow from this part of the objective on.
const SLOW_OBJECTIVE_DIVISOR: u64 = 3;

#[derive(Clone, Copy, Debug)]
struct SlowReport {
    at: Time,
    message_time: Micros,
}

/// The seconds in which a server was slow, the latest last.
#[derive(Debug, Default)]
pub(super) struct SlowReports {
    reports: Vec<SlowReport>,
}

impl SlowReports {
    /// Takes in a report; one of a fast message clears the streak.
    pub(super) fn record(&mut self, now: Time, message_time: Micros, objective: Micros) {
        self.reports.retain(|report| now.since(report.at) <= STREAK_WINDOW);
        let threshold = objective / SLOW_OBJECTIVE_DIVISOR;
        match self.reports.last() {
            _ if message_time < threshold => self.reports.clear(),
            Some(last) if now.since(last.at) < MIN_REPORT_INTERVAL => {}
            _ => self.reports.push(SlowReport { at: now, message_time }),
        }
    }

    /// The last message time of a server that has been slow for a while.
    pub(super) fn sustained_message_time(&self, now: Time) -> Option<Micros> {
        let recent = self.reports.iter().filter(|report| now.since(report.at) <= STREAK_WINDOW);
        let last = self.reports.last()?;
        let sustained = recent.count() >= MIN_STREAK && now.since(last.at) <= REPORT_TIMEOUT;
        sustained.then_some(last.message_time)
    }

    /// Whether a recent report was of a slow message, for however short a while.
    pub(super) fn any_recent(&self, now: Time) -> bool {
        self.reports.last().is_some_and(|report| now.since(report.at) <= STREAK_WINDOW)
    }
}
