//! The metrics that the balancer reports: counters since the start of the process, and gauges.
//!
//! The names on the wire are in `src/protocol/admin.rs`.

use std::collections::BTreeMap;

use crate::rebalance::RebalanceMetrics;
use crate::{Micros, RefusalReason};

/// Outcomes of the connections of one class, counted since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassCounters {
    /// Established.
    pub succeeded: u64,
    /// Rejected.
    pub declined: u64,
    /// Failed.
    pub aborted: u64,
}

/// Counts since the process started, and gauges as they are now.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Metrics {
    /// Outcomes of every configured class, by its name.
    pub classes: BTreeMap<String, ClassCounters>,
    /// Attempts written in full.
    pub forwards: u64,
    /// Connections admitted and not yet ended, established ones included.
    pub outstanding: u64,
    /// Servers listed.
    pub discovered: u64,
    /// Listed servers that are excluded or ejected now.
    pub ejected: u64,
    /// Requests that were rejected or failed without a server, by reason.
    pub refusals: BTreeMap<RefusalReason, u64>,
    /// Polls of the endpoint list that failed.
    pub discovery_failures: u64,
    /// The time since discovery last sent an endpoint list or confirmed it, of the pool where that is
    /// longest; `None` where no list was received.
    pub endpoint_list_age: Option<Micros>,
    /// Metrics of rebalancing, by the name of the front, where it is on.
    pub rebalance: BTreeMap<String, RebalanceMetrics>,
}
