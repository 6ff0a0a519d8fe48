//! The printed report of a flow.

use std::fmt;

use super::super::observation::Observation;

/// The outcome of a flow.
pub(super) struct FlowReport {
    pub(super) observations: Vec<Observation>,
    /// Bytes that the front sent, if it closed the connection in time.
    pub(super) answered_bytes: Option<usize>,
    /// Whether the front closed the connection before all was sent.
    pub(super) cut: bool,
    /// Where the capture has a gap, in bytes.
    pub(super) gap: Option<usize>,
    /// Whether the flow's start was not captured.
    pub(super) headless: bool,
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
        if self.cut {
            formatter.write_str("; ended before all was sent")?;
        }
        if let Some(gap) = self.gap {
            write!(formatter, "; gap in the capture after {gap} bytes, the rest left out")?;
        }
        if self.headless {
            formatter.write_str("; its begin was not captured")?;
        }
        Ok(())
    }
}
