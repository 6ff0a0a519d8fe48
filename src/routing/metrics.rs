//! The metrics that the daemon reports: counters since the start of the process, and gauges.
//!
//! The names on the wire are in `src/protocol/admin.rs`.

use std::collections::BTreeMap;

use crate::rebalance::RebalanceMetrics;
use crate::{Micros, RefusalReason};

/// Numbers of connections of one class by their outcome, counted since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassCounters {
    /// Connections that were established.
    pub succeeded: u64,
    /// Named `declined` on the wire. Connections that were rejected by the balancer, or refused by the
    /// server's own final answer ([`super::AttemptOutcome::VerdictForwarded`]).
    pub rejected: u64,
    /// Named `aborted` on the wire. Connections that the balancer failed.
    pub failed: u64,
}

/// Counters since the process started, and the current values of gauges.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Metrics {
    /// Outcomes of every configured class, by its name.
    pub classes: BTreeMap<String, ClassCounters>,
    /// Counter of attempts whose request was written in full.
    pub forwards: u64,
    /// Gauge of connections that are admitted and not ended, including established ones.
    pub outstanding: u64,
    /// Gauge of listed servers.
    pub discovered: u64,
    /// Gauge of listed servers that are excluded, ejected, or full after a recent fault.
    pub ejected: u64,
    /// Counters of requests that the balancer rejected or failed, by reason.
    pub refusals: BTreeMap<RefusalReason, u64>,
    /// Counter of polls of the endpoint list that failed.
    pub discovery_failures: u64,
    /// Time since discovery last sent or confirmed an endpoint list, in the pool where this time is longest.
    /// `None` if no list was received.
    pub endpoint_list_age: Option<Micros>,
    /// Metrics of rebalancing, by the name of the front, for the pools that enable rebalancing.
    pub rebalance: BTreeMap<String, RebalanceMetrics>,
}
