//! The printed report of a flow.

use std::fmt;

use super::super::observation::Observation;

/// The outcome of a flow.
pub(super) struct FlowReport {
    pub(super) observations: Vec<Observation>,
    /// Bytes that the front sent, if it closed the connection in time.
    pub(super) answered_bytes: Option<usize>,
    /// Whether the front closed the connection before all was sent.
    pub(super) ended_early: bool,
    /// Offset of the capture's gap, in bytes, if it has one.
    pub(super) gap_after_bytes: Option<usize>,
    /// Whether the flow's start was not captured.
    pub(super) began_before_capture: bool,
}

impl FlowReport {
    /// Whether a server accepted it.
    pub(super) fn is_served(&self) -> bool {
        let is_established = |observation| matches!(observation, &Observation::Established { .. });
        self.observations.iter().any(is_established)
    }
}

impl fmt::Display for FlowReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.observations.is_empty() {
            formatter.write_str("never asked")?;
        }
        for (index, observation) in self.observations.iter().enumerate() {
            let separator = if index == 0 { "" } else { ", " };
            write!(formatter, "{separator}{observation}")?;
        }
        match self.answered_bytes {
            Some(bytes) => write!(formatter, "; {bytes} bytes back")?,
            None => formatter.write_str("; not ended by the front")?,
        }
        if self.ended_early {
            formatter.write_str("; ended before all was sent")?;
        }
        if let Some(bytes) = self.gap_after_bytes {
            write!(formatter, "; gap in the capture after {bytes} bytes, the rest left out")?;
        }
        if self.began_before_capture {
            formatter.write_str("; its begin was not captured")?;
        }
        Ok(())
    }
}
