//! Gossip messages: one observation, and the groups of some connections.

use super::group_sample::GroupSample;
use crate::{Micros, ServerId};

/// What a balancer observed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Observation {
    /// A message at this server takes so long.
    SlowServer(ServerId, Micros),
    /// This server dropped an established connection.
    Dropped(ServerId),
    /// Set-ups are slow or fail at all servers.
    SlowSetUps,
}

/// What an observation concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Subject {
    /// Set-ups at all servers.
    SetUps,
    /// One server.
    Server(ServerId),
}

impl Observation {
    /// The observed server, if the observation concerns a single one.
    pub fn server(self) -> Option<ServerId> {
        match self {
            Observation::SlowServer(server, _) | Observation::Dropped(server) => Some(server),
            Observation::SlowSetUps => None,
        }
    }

    pub(super) fn subject(self) -> Subject {
        self.server().map_or(Subject::SetUps, Subject::Server)
    }
}

/// One gossip message.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GossipMessage {
    /// What was observed.
    pub observation: Observation,
    /// Groups of some connections that are established at the sender.
    pub groups: GroupSample,
}
