//! The probes of one server, and what its last load report contains.
//!
//! A report is some time old. It surely contains only what was occupied when the report before it came.

use crate::types::{LoadReport, Time};

/// The probes of one server, and its last load report.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReports {
    last_probe: Option<Time>,
    last_report: Option<LoadReport>,
    /// Slots occupied when that report came.
    occupied_at_last_report: f64,
}

impl LoadReports {
    /// When the server was last probed.
    pub fn last_probe(&self) -> Option<Time> {
        self.last_probe
    }

    /// The last load report, if any came.
    pub fn last_report(&self) -> Option<LoadReport> {
        self.last_report
    }

    /// A probe is sent.
    pub fn on_probe_sent(&mut self, now: Time) {
        self.last_probe = Some(now);
    }

    /// A report came while `occupied` slots are occupied. Returns the slots that the report can already
    /// contain; none if it equals the last one.
    pub fn record(&mut self, report: LoadReport, occupied: f64) -> Option<f64> {
        if self.last_report == Some(report) {
            return None;
        }
        self.last_report = Some(report);
        let occupied_at_last_report = std::mem::replace(&mut self.occupied_at_last_report, occupied);
        Some(occupied_at_last_report.min(occupied))
    }
}
