//! Gossip messages. A message contains one observation and the groups of some connections.

use super::group_sample::GroupSample;
use crate::{Micros, ServerId};

/// Observation of a balancer about one server or about all servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Observation {
    /// Messages at this server are slow and take this time.
    SlowServer(ServerId, Micros),
    /// This server dropped an established connection.
    Dropped(ServerId),
    /// A connection setup was slow, or failures at two servers were correlated. Either is taken as a sign of
    /// a cause that all servers share.
    SlowSetups,
}

/// Subject of an observation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Subject {
    /// Connection setups at all servers.
    Setups,
    /// One server.
    Server(ServerId),
}

impl Observation {
    /// Returns the observed server, or `None` if the observation concerns all servers.
    pub fn server(self) -> Option<ServerId> {
        match self {
            Observation::SlowServer(server, _) | Observation::Dropped(server) => Some(server),
            Observation::SlowSetups => None,
        }
    }

    pub(super) fn subject(self) -> Subject {
        self.server().map_or(Subject::Setups, Subject::Server)
    }
}

/// One gossip message.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GossipMessage {
    /// Observation of the sender.
    pub observation: Observation,
    /// Groups of some connections that are established at the sender.
    pub groups: GroupSample,
}
