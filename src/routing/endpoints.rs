//! The endpoint list in effect at a pool, and the numbers that identify servers in the balancer.
//!
//! Endpoint lists, logs and admin calls identify a server by its name. The balancer and gossip identify it by
//! a number: the hexadecimal number at the end of the name, or a hash of the name if the name does not end in
//! one. All balancers must derive the same number from a name, because they choose the servers of a group by
//! number and gossip carries only the number.
//!
//! [`EndpointList`] owns the list in effect, ordered by number. [`super::endpoint_updates`] derives that
//! list.

use std::collections::BTreeMap;

use super::fnv;
use crate::{CellId, EndpointEntry, EndpointState, ServerId, Time, ZoneId};

/// State of a server in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lifecycle {
    /// Accepts new connections.
    Ready,
    /// Keeps its connections and accepts no new ones.
    Draining,
    /// No longer exists.
    Gone,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Name of the server, identical at every balancer.
    pub name: String,
    /// Address at which this balancer reaches the server.
    pub address: String,
    /// Name of the server's zone; empty if the list names none.
    pub zone: String,
    /// Number of the server's cell ([`CellId`]); 0 if the list names none.
    pub cell: u32,
    /// State of the server in the list.
    pub lifecycle: Lifecycle,
    /// Capacity relative to the other servers; 1 for a server of the usual size.
    pub weight: f64,
    /// Time at which the server's process started, if known.
    pub started_at: Option<Time>,
}

/// The endpoint list in effect, ordered by server number.
#[derive(Default)]
pub(super) struct EndpointList {
    endpoints: BTreeMap<ServerId, Endpoint>,
}

impl EndpointList {
    /// Returns the server, if it is listed and accepts new connections.
    pub(super) fn get_if_ready(&self, server: ServerId) -> Option<&Endpoint> {
        self.get(server).filter(|endpoint| endpoint.lifecycle == Lifecycle::Ready)
    }

    /// Returns the server, if it is listed.
    pub(super) fn get(&self, server: ServerId) -> Option<&Endpoint> {
        self.endpoints.get(&server)
    }

    /// Returns the numbers of all listed servers in ascending order.
    pub(super) fn server_ids(&self) -> impl Iterator<Item = ServerId> + '_ {
        self.endpoints.keys().copied()
    }

    /// Replaces the list, and returns the new one as entries for the balancer. `zones` are the configured
    /// names, in the order of their [`ZoneId`]s.
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
        // A zone that is not configured gets a number that no configured zone has.
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
            started_at: self.started_at,
            weight: self.weight,
        }
    }
}

/// Parses a server's entry in the replicated map: the address, optionally followed by the zone and the
/// weight, separated by spaces. Returns `None` if the address or the weight cannot be parsed.
pub fn parse_replicated_endpoint(name: &str, text: &str) -> Option<Endpoint> {
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
        started_at: None,
    })
}

/// Number of digits of the hexadecimal number at the end of a server's name.
const SERVER_NUMBER_DIGITS: usize = 8;

/// Returns a server's number: the hexadecimal number after the last hyphen of its name (`s-5be2a07c`), or a
/// hash of the name if it does not end in such a number. Every balancer derives the same number.
pub fn server_id(name: &str) -> ServerId {
    let last_part = name.rsplit('-').next().filter(|part| part.len() == SERVER_NUMBER_DIGITS);
    let number = last_part.and_then(|part| u32::from_str_radix(part, 16).ok());
    ServerId(number.unwrap_or_else(|| fnv::hash_32(name.as_bytes())))
}
