//! State of the lease on the endpoint list (`policy::endpoint_lease`), as a hot restart transfers it.

use super::Time;

/// Whether the list may lack changes that discovery listed after its last answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListContinuity {
    /// Each change since the last answer would have arrived, unless discovery is down.
    Continuous,
    /// The watch became silent. It may have missed changes, unless an outage explains the silence.
    Silent,
    /// Discovery ran after the last answer and did not send its changes.
    Interrupted,
}

/// State of a lease on the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointLeaseState {
    /// Time at which the list expires.
    pub expires_at: Time,
    /// Whether the list may lack changes.
    pub continuity: ListContinuity,
}
