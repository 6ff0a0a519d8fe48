//! The endpoint list: the servers in use, and their numbers in the decision module.

use std::collections::BTreeMap;

use crate::{CellId, EndpointEntry, EndpointState, ServerId, Time, ZoneId};

/// A server's state in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lifecycle {
    /// It takes new connections.
    Ready,
    /// It keeps its connections and takes no new ones.
    Draining,
    /// It is not there any more.
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
    /// Its capacity relative to the others.
    pub weight: f64,
    /// When its process started, if not long ago.
    pub started: Option<Time>,
}

/// The servers of the list in effect, by their numbers.
#[derive(Default)]
pub(super) struct EndpointList {
    endpoints: BTreeMap<ServerId, Endpoint>,
}

impl EndpointList {
    /// The server, if it takes new connections.
    pub(super) fn get_ready(&self, server: ServerId) -> Option<&Endpoint> {
        self.get(server).filter(|endpoint| endpoint.lifecycle == Lifecycle::Ready)
    }

    /// The server, if it is listed.
    pub(super) fn get(&self, server: ServerId) -> Option<&Endpoint> {
        self.endpoints.get(&server)
    }

    /// All that are listed, in the order of their numbers.
    pub(super) fn ids(&self) -> impl Iterator<Item = ServerId> + '_ {
        self.endpoints.keys().copied()
    }

    /// Puts another list in place, and returns it for the decision module. `zones` are the names in the order of
    /// the module's zones.
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
        // A zone that is not configured gets a number that none has.
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

/// Parses a server's entry in the replicated map: its address, followed by its zone and weight if given.
pub fn stored_endpoint(name: &str, text: &str) -> Option<Endpoint> {
    let mut fields = text.split_ascii_whitespace();
    let address = fields.next()?.parse::<std::net::SocketAddr>().ok()?.to_string();
    let zone = fields.next().unwrap_or("").to_owned();
    let weight = fields.next().unwrap_or("1").parse().ok()?;
    let (name, lifecycle) = (name.to_owned(), Lifecycle::Ready);
    Some(Endpoint { name, address, zone, cell: 0, lifecycle, weight, started: None })
}

const FNV_OFFSET_BASIS: u32 = 0x811c_9dc5;
const FNV_PRIME: u32 = 0x0100_0193;
/// Length of the hexadecimal number at the end of a server's name.
const SERVER_NUMBER_DIGITS: usize = 8;

/// A server's number: the one at the end of its name (`s-5be2a07c`), or a hash of a name without one. It has to be
/// the same at every balancer for groups to be placed alike.
pub fn server_id(name: &str) -> ServerId {
    let last_part = name.rsplit('-').next().filter(|part| part.len() == SERVER_NUMBER_DIGITS);
    let number = last_part.and_then(|part| u32::from_str_radix(part, 16).ok());
    ServerId(number.unwrap_or_else(|| fnv1a_hash(name)))
}

fn fnv1a_hash(text: &str) -> u32 {
    text.bytes().fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(FNV_PRIME))
}
