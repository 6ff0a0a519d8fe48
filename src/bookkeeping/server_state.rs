//! What the balancer keeps of a server: its listing, what is held there, and what was learned of it.

use std::collections::BTreeMap;

use super::{Attempt, HeldConnections};
use crate::types::{EndpointEntry, EndpointState, LearnedState, LoadReport, ServerId, Time};

/// One server as this balancer sees it.
#[derive(Debug, Default)]
pub struct Server {
    /// Its latest entry in the endpoint list.
    pub entry: EndpointEntry,
    /// When its process started, or when it was first listed if the listed start lies ahead.
    pub started_at: Option<Time>,
    /// The number of its process: what an earlier one held is not released from a later one.
    pub incarnation: u64,
    /// The connections held there and their slots.
    pub held: HeldConnections,
    /// Its ceiling, its health and what else was learned.
    pub learned: LearnedState,
    /// Its last valid load report.
    pub last_report: Option<LoadReport>,
    /// Slots held there when that report came.
    pub held_at_last_report: f64,
    /// Microseconds between sends if it were warm, as of its last send.
    pub slow_start_interval: f64,
    /// When it was last probed.
    pub last_probe: Option<Time>,
}

impl Server {
    /// Whether its process runs and takes new connections.
    pub fn is_serving(&self) -> bool {
        self.entry.state == EndpointState::Serving
    }

    /// An attempt that is sent to it now.
    pub fn new_attempt(&self, number: u32, sent_at: Time) -> Attempt {
        let (endpoint, incarnation) = (self.entry, self.incarnation);
        Attempt { number, endpoint, incarnation, sent_at, filled_last_slot: false, established: false }
    }
}

/// The server of an attempt, if the process that it was sent to still runs.
pub fn server_of<'a>(
    attempt: &Attempt,
    servers: &'a mut BTreeMap<ServerId, Server>,
) -> Option<&'a mut Server> {
    servers.get_mut(&attempt.endpoint.server).filter(|s| s.incarnation == attempt.incarnation)
}
