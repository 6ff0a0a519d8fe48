//! The state that a process hands over to its successor in a hot restart.
//!
//! These types are independent of their encoding, which is in `src/protocol/hot_restart/`.

use std::collections::BTreeMap;

use super::store::Entry;
use super::{ConnectionRequest, Endpoint};
use crate::{LearnedState, Time};

/// An established connection on its way to the successor.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EstablishedConnection {
    /// What the client requested.
    pub request: ConnectionRequest,
    /// Name of its server.
    pub server: String,
    /// The load in its server's last report.
    pub load: Option<f64>,
    /// When the earliest line without an answer of the server was forwarded.
    pub awaiting_server_since: Option<Time>,
}

/// What a process exports to its successor.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HandoverState {
    /// Names of servers that an operator excluded without a replicated map.
    pub excluded_by_operator: Vec<String>,
    /// Names of all servers that were ever listed.
    pub ever_listed: Vec<String>,
    /// Entries of the replicated map, by key.
    pub entries: Vec<(String, Entry)>,
    /// The state of each pool, by the pool's name.
    pub pools: BTreeMap<String, PoolHandoverState>,
    /// Descriptors that the exporting process goes on using for a while.
    pub open_descriptors: usize,
}

/// What a process exports of one pool.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PoolHandoverState {
    /// The servers as listed, with what was learned of them.
    pub endpoints: Vec<ExportedEndpoint>,
    /// Servers that were excluded and have been readmitted recently.
    pub readmitted: Vec<Readmission>,
    /// Ids of requests whose connections are open at the exporting process.
    pub ids: Vec<String>,
}

/// A listed server with what the exporting process learned of it.
#[derive(Clone, Debug, PartialEq)]
pub struct ExportedEndpoint {
    /// The server as listed.
    pub endpoint: Endpoint,
    /// What was learned, unless the balancer does not know the server.
    pub learned: Option<LearnedState>,
}

/// A server that an operator has readmitted.
#[derive(Clone, Debug, PartialEq)]
pub struct Readmission {
    /// Name of the server.
    pub server: String,
    /// When it was readmitted.
    pub at: Time,
}
