//! What a process hands over to its successor in a hot restart.

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
    /// When the first line went to the server that has not been answered since.
    pub awaiting_server_since: Option<Time>,
}

/// What a process exports to its successor.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HandoverState {
    /// Names of servers that an operator excluded, where no replicated map holds that.
    pub excluded_by_operator: Vec<String>,
    /// Names of all servers that were ever listed.
    pub ever_listed: Vec<String>,
    /// Entries of the replicated map, by key.
    pub entries: Vec<(String, Entry)>,
    /// Of each pool, by its name.
    pub pools: BTreeMap<String, PoolHandoverState>,
    /// Descriptors that the exporting process goes on using for a while.
    pub left: usize,
}

/// What a process exports of one pool.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PoolHandoverState {
    /// The servers as listed, with what was learned of them.
    pub endpoints: Vec<(Endpoint, Option<LearnedState>)>,
    /// Servers that were excluded, and when they were readmitted.
    pub readmitted: Vec<(String, Time)>,
    /// Ids of requests whose connections are open at the exporting process.
    pub ids: Vec<String>,
}
