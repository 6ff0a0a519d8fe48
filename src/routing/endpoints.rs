//! The endpoint list in effect at a pool, and the numbers by which the balancer knows servers.
//!
//! Servers have names in endpoint lists, logs and admin calls, and numbers in the balancer and in gossip. The number is
//! the hexadecimal number at the end of the name, or else a hash of the name. All balancers must derive the same number
//! from a name: from it they choose the same servers for a group, and gossip carries only the number.
//!
//! [`EndpointList`] owns the list in effect, ordered by number. How that list is derived is in
//! [`super::endpoint_updates`].

use std::collections::BTreeMap;

use super::fnv;
use crate::{CellId, EndpointEntry, EndpointState, ServerId, Time, ZoneId};

/// A server's state in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lifecycle {
    /// Accepts new connections.
    Ready,
    /// Keeps its connections and accepts no new ones.
    Draining,
    /// Does not exist any more.
    Gone,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Its name, the same at every balancer.
    pub name: String,
    /// The address at which this balancer reaches it.
    pub address: String,
    /// Name of its zone.
    pub zone: String,
    /// Its cell.
    pub cell: u32,
    /// Its state.
    pub lifecycle: Lifecycle,
    /// Its capacity relative to that of the other servers; 1 for the usual one.
    pub weight: f64,
    /// When its process started, if known.
    pub started: Option<Time>,
}

/// The list in effect, by server number.
#[derive(Default)]
pub(super) struct EndpointList {
    endpoints: BTreeMap<ServerId, Endpoint>,
}

impl EndpointList {
    /// The server, if it is listed and accepts new connections.
    pub(super) fn get_ready(&self, server: ServerId) -> Option<&Endpoint> {
        self.get(server).filter(|endpoint| endpoint.lifecycle == Lifecycle::Ready)
    }

    /// The server, if it is listed.
    pub(super) fn get(&self, server: ServerId) -> Option<&Endpoint> {
        self.endpoints.get(&server)
    }

    /// The numbers of all listed servers, ascending.
    pub(super) fn ids(&self) -> impl Iterator<Item = ServerId> + '_ {
        self.endpoints.keys().copied()
    }

    /// Replaces the list, and returns it in the balancer's terms. `zones` are the configured names, in the order of
    /// their [`ZoneId`]s.
    pub(super) fn replace(
        &mut self,
        endpoints: impl Iterator<Item = Endpoint>,
        zones: &[String],
    ) -> Vec<EndpointEntry> {
        self.endpoints = endpoints.map(|endpoint| (server_id(&endpoint.name), endpoint)).collect();
        self.endpoints.iter().map(|(&server, endpoint)| endpoint.to_entry(server, zones)).collect()
    }
}

impl Endpoint {
    fn to_entry(&self, server: ServerId, zones: &[String]) -> EndpointEntry {
        // A zone that is not configured gets a number that no configured one has.
        let zone = zones.iter().position(|zone| *zone == self.zone).unwrap_or(usize::MAX);
        EndpointEntry {
            server,
            zone: ZoneId(zone as u16),
            cell: CellId(self.cell),
            state: match self.lifecycle {
                Lifecycle::Ready => EndpointState::Serving,
                Lifecycle::Draining => EndpointState::Draining,
                Lifecycle::Gone => EndpointState::Gone,
            },
            started: self.started,
            weight: self.weight,
        }
    }
}

/// Parses a server's entry in the replicated map: its address, then its zone and its weight if given, with spaces in
/// between. Returns `None` where the address or the weight cannot be parsed.
pub fn stored_endpoint(name: &str, text: &str) -> Option<Endpoint> {
    let mut fields = text.split_ascii_whitespace();
    let address = fields.next()?.parse::<std::net::SocketAddr>().ok()?.to_string();
    let zone = fields.next().unwrap_or("").to_owned();
    let weight = fields.next().unwrap_or("1").parse().ok()?;
    Some(Endpoint {
        name: name.to_owned(),
        address,
        zone,
        cell: 0,
        lifecycle: Lifecycle::Ready,
        weight,
        started: None,
    })
}

/// Length of the hexadecimal number at the end of a server's name.
const SERVER_NUMBER_DIGITS: usize = 8;

/// A server's number: the one at the end of its name (`s-5be2a07c`), or the hash of a name without one. It is the same
/// at every balancer.
pub fn server_id(name: &str) -> ServerId {
    let last_part = name.rsplit('-').next().filter(|part| part.len() == SERVER_NUMBER_DIGITS);
    let number = last_part.and_then(|part| u32::from_str_radix(part, 16).ok());
    ServerId(number.unwrap_or_else(|| fnv::hash_32(name.as_bytes())))
}
