//! Time of the last probe of one server, and its last load report.
//!
//! A report is some time old when it arrives. It certainly includes only the slots that were occupied when
//! the previous report arrived.

use crate::types::{LoadReport, Time};

/// Time of the last probe of one server, and its last load report.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReports {
    last_probe: Option<Time>,
    last_report: Option<LoadReport>,
    /// Slots that were occupied when the last report arrived.
    occupied_at_last_report: f64,
}

impl LoadReports {
    /// Returns the time of the last probe; none if the server was never probed.
    pub fn last_probe(&self) -> Option<Time> {
        self.last_probe
    }

    /// Returns the last load report; none if no report has arrived.
    pub fn last_report(&self) -> Option<LoadReport> {
        self.last_report
    }

    /// Records that a probe is sent now.
    pub fn on_probe_sent(&mut self, now: Time) {
        self.last_probe = Some(now);
    }

    /// Records a report that arrives while `occupied` slots are occupied. Returns the occupied slots that the
    /// report certainly includes; none if the report equals the previous one.
    pub fn record(&mut self, report: LoadReport, occupied: f64) -> Option<f64> {
        if self.last_report == Some(report) {
            return None;
        }
        self.last_report = Some(report);
        let occupied_at_last_report = std::mem::replace(&mut self.occupied_at_last_report, occupied);
        Some(occupied_at_last_report.min(occupied))
    }
}
