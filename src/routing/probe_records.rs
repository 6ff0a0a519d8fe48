//! The probes in flight of one pool, and the server processes that decline probes.
//!
//! Rule: at most [`MAX_PROBES`] probes are in flight, one for each server, and none is sent to a process that
//! has declined probes. A server's process is identified by its start.

use std::collections::{BTreeMap, BTreeSet};

use super::endpoints::EndpointList;
use crate::{ServerId, Time};

/// The largest number of connections for probes in one pool, whether a probe is in flight or they are idle.
/// Descriptors are reserved for them.
pub const MAX_PROBES: usize = 16;

/// One process of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Incarnation {
    pub(super) server: ServerId,
    pub(super) started: Option<Time>,
}

/// The probes of one pool.
#[derive(Default)]
pub(super) struct ProbeRecords {
    /// The probes in flight: for each server, the start of the process that is probed.
    in_flight: BTreeMap<ServerId, Option<Time>>,
    /// Processes that answered that they must not be probed.
    declined: BTreeSet<Incarnation>,
}

impl ProbeRecords {
    /// Records a probe of a process. Returns false if that must not be probed now.
    pub(super) fn try_start(&mut self, probed: Incarnation) -> bool {
        let may_start = self.in_flight.len() < MAX_PROBES
            && !self.in_flight.contains_key(&probed.server)
            && !self.declined.contains(&probed);
        if may_start {
            self.in_flight.insert(probed.server, probed.started);
        }
        may_start
    }

    /// Records the end of a server's probe, and returns which process was probed.
    pub(super) fn finish(&mut self, server: ServerId) -> Option<Incarnation> {
        let started = self.in_flight.remove(&server)?;
        Some(Incarnation { server, started })
    }

    /// Records that a process declines probes, and drops the records of processes that are replaced or not
    /// listed.
    pub(super) fn record_declined(&mut self, probed: Incarnation, endpoints: &EndpointList) {
        self.declined.retain(|declined| {
            endpoints.get(declined.server).is_some_and(|endpoint| endpoint.started == declined.started)
        });
        self.declined.insert(probed);
    }
}
