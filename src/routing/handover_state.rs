//! State that a process hands over to its successor in a hot restart.
//!
//! These types are independent of their encoding, which is defined in `src/protocol/hot_restart/`.

use std::collections::BTreeMap;

use super::store::KeyedEntry;
use super::{ConnectionRequest, Endpoint};
use crate::{EndpointLeaseState, LearnedState, Time};

/// State of an established connection that is transferred to the successor.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TransferredConnection {
    /// The client's request for the connection.
    pub request: ConnectionRequest,
    /// Name of the server at which the connection is established.
    pub server: String,
    /// Load in the server's last report for the connection, in microseconds of work a second; `None` without
    /// a report.
    pub reported_load: Option<f64>,
    /// Time at which the earliest unanswered line was forwarded to the server; `None` if no line awaits an
    /// answer.
    pub awaiting_server_since: Option<Time>,
}

/// State that a process exports to its successor.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HandoverState {
    /// Names of servers that an operator excluded without a replicated map.
    pub excluded_by_operator: Vec<String>,
    /// Names of all servers that were ever listed.
    pub known_server_names: Vec<String>,
    /// Entries of the replicated map.
    pub entries: Vec<KeyedEntry>,
    /// State of each pool, by the name of the pool.
    pub pools: BTreeMap<String, PoolHandoverState>,
    /// Number of descriptors that pending connections of the exporting process use at the time of the export.
    /// The exporting process keeps them open for a limited time.
    pub pending_descriptors: usize,
}

/// State of one pool that a process exports to its successor.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PoolHandoverState {
    /// Lease on the pool's endpoint list, or `None` if the list does not expire or the exporting process is of
    /// a version that does not export the lease.
    pub endpoint_lease: Option<EndpointLeaseState>,
    /// Servers of the pool's endpoint list as received, with the state learned about each.
    pub endpoints: Vec<ExportedEndpoint>,
    /// Servers that were readmitted within the slow-start duration.
    pub readmitted: Vec<Readmission>,
    /// Client-chosen ids of the requests whose connections are open at the exporting process.
    pub request_ids: Vec<String>,
}

/// A listed server, with the state that the exporting process has learned about it.
#[derive(Clone, Debug, PartialEq)]
pub struct ExportedEndpoint {
    /// The server's entry in the endpoint list as received.
    pub endpoint: Endpoint,
    /// Learned state, or `None` if the balancer does not know the server.
    pub learned_state: Option<LearnedState>,
}

/// A server that an operator has readmitted.
#[derive(Clone, Debug, PartialEq)]
pub struct Readmission {
    /// Name of the server.
    pub server: String,
    /// Time of the readmission.
    pub readmitted_at: Time,
}
