//! The probes in flight of one pool, and the server processes that refuse probes.
//!
//! Rule: at most [`MAX_PROBES`] probes are in flight, at most one for each server. None is sent to a process
//! that has refused probes. A server's process is identified by its start time.

use std::collections::{BTreeMap, BTreeSet};

use super::endpoints::EndpointList;
use crate::{ServerId, Time};

/// The largest number of probes in flight in one pool. The driver keeps a connection open after its probe
/// only while fewer probe connections than this number are in use or idle. Descriptors are reserved for this
/// number of connections.
pub const MAX_PROBES: usize = 16;

/// One incarnation of a server: its process, which a restart replaces by another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Incarnation {
    pub(super) server: ServerId,
    pub(super) started: Option<Time>,
}

/// The probes of one pool.
#[derive(Default)]
pub(super) struct ProbeRecords {
    /// The probes in flight: for each server, the start time of the probed process.
    in_flight: BTreeMap<ServerId, Option<Time>>,
    /// Processes that answered that they must not be probed.
    processes_refusing_probes: BTreeSet<Incarnation>,
}

impl ProbeRecords {
    /// Records a probe of a process as in flight. Returns false if the process must not be probed now.
    pub(super) fn try_start(&mut self, probed: Incarnation) -> bool {
        let may_start = self.in_flight.len() < MAX_PROBES
            && !self.in_flight.contains_key(&probed.server)
            && !self.processes_refusing_probes.contains(&probed);
        if may_start {
            self.in_flight.insert(probed.server, probed.started);
        }
        may_start
    }

    /// Records the end of a server's probe, and returns the probed process.
    pub(super) fn finish(&mut self, server: ServerId) -> Option<Incarnation> {
        let started = self.in_flight.remove(&server)?;
        Some(Incarnation { server, started })
    }

    /// Records that a process refuses probes, and removes the records of processes that were replaced or are
    /// not listed any more.
    pub(super) fn record_refusal(&mut self, probed: Incarnation, endpoints: &EndpointList) {
        self.processes_refusing_probes.retain(|process| {
            endpoints.get(process.server).is_some_and(|endpoint| endpoint.started_at == process.started)
        });
        self.processes_refusing_probes.insert(probed);
    }
}
