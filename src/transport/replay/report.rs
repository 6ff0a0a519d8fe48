//! The printed report of a flow.

use std::fmt;

use super::super::observation::Observation;

/// The outcome of a flow.
pub(super) struct FlowReport {
    /// Observations of the flow's connection, in order.
    pub(super) observations: Vec<Observation>,
    /// Number of bytes that the front sent; none if it did not close the connection in time.
    pub(super) answered_bytes: Option<usize>,
    /// Whether the front closed the connection before all bytes were sent.
    pub(super) ended_early: bool,
    /// Offset in the flow of the first byte that was not captured; none if no bytes are missing.
    pub(super) gap_after_bytes: Option<usize>,
    /// Whether the start of the flow was not captured.
    pub(super) began_before_capture: bool,
}

impl FlowReport {
    /// Returns whether a server accepted the flow's connection.
    pub(super) fn is_served(&self) -> bool {
        let is_established = |observation| matches!(observation, &Observation::Established { .. });
        self.observations.iter().any(is_established)
    }
}

impl fmt::Display for FlowReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.observations.is_empty() {
            formatter.write_str("no outcome observed")?;
        }
        for (index, observation) in self.observations.iter().enumerate() {
            let separator = if index == 0 { "" } else { ", " };
            write!(formatter, "{separator}{observation}")?;
        }
        match self.answered_bytes {
            Some(bytes) => write!(formatter, "; {bytes} bytes back")?,
            None => formatter.write_str("; not closed by the front in time")?,
        }
        if self.ended_early {
            formatter.write_str("; closed by the front before all bytes were sent")?;
        }
        if let Some(bytes) = self.gap_after_bytes {
            write!(formatter, "; gap in the capture after {bytes} bytes, later bytes not replayed")?;
        }
        if self.began_before_capture {
            formatter.write_str("; start of the flow not captured")?;
        }
        Ok(())
    }
}
