//! The endpoint list: the servers that discovery lists, and their numbers in the module.

use std::collections::BTreeMap;

use crate::{CellId, EndpointEntry, EndpointState, ServerId, Time, ZoneId};

/// Where a server is in its life, as listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lifecycle {
    /// It takes what is new.
    Ready,
    /// It finishes what it has.
    Draining,
    /// It is no more.
    Gone,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Its name, the same at every balancer.
    pub name: String,
    /// Where this balancer reaches it.
    pub address: String,
    /// Name of its zone.
    pub zone: String,
    /// Its cell.
    pub cell: u32,
    /// Where it is in its life.
    pub lifecycle: Lifecycle,
    /// Its size against the others'.
    pub weight: f64,
    /// When it last started, if not long ago.
    pub started: Option<Time>,
}

/// The servers known, by their numbers.
#[derive(Default)]
pub struct EndpointList {
    endpoints: BTreeMap<ServerId, Endpoint>,
}

impl EndpointList {
    /// The server, if new attempts may go there.
    pub fn ready(&self, endpoint: ServerId) -> Option<&Endpoint> {
        self.any(endpoint).filter(|endpoint| endpoint.lifecycle == Lifecycle::Ready)
    }

    /// The server, if it is listed at all.
    pub fn any(&self, endpoint: ServerId) -> Option<&Endpoint> {
        self.endpoints.get(&endpoint)
    }

    /// All that are listed.
    pub fn ids(&self) -> impl Iterator<Item = ServerId> + '_ {
        self.endpoints.keys().copied()
    }

    /// Takes in all servers, and returns them in the module's terms.
    pub fn follow(
        &mut self,
        endpoints: impl Iterator<Item = Endpoint>,
        zones: &[String],
    ) -> Vec<EndpointEntry> {
        self.endpoints = endpoints.map(|endpoint| (server_id(&endpoint.name), endpoint)).collect();
        let listed = |(&server, endpoint): (&ServerId, &Endpoint)| EndpointEntry {
            server,
            zone: ZoneId(zones.iter().position(|z| *z == endpoint.zone).unwrap_or(usize::MAX) as u16),
            cell: CellId(endpoint.cell),
            state: match endpoint.lifecycle {
                Lifecycle::Ready => EndpointState::Serving,
                Lifecycle::Draining => EndpointState::Draining,
                Lifecycle::Gone => EndpointState::Gone,
            },
            started: endpoint.started,
            weight: endpoint.weight,
        };
        self.endpoints.iter().map(listed).collect()
    }
}

/// A server as the store holds it: its address, and then its zone and weight where they are told.
pub fn stored_endpoint(name: &str, text: &str) -> Option<Endpoint> {
    let mut words = text.split_ascii_whitespace();
    let address = words.next()?.parse::<std::net::SocketAddr>().ok()?.to_string();
    let (zone, weight) = (words.next().unwrap_or("").to_owned(), words.next().unwrap_or("1"));
    let weight = weight.parse().ok()?;
    let (name, lifecycle) = (name.to_owned(), Lifecycle::Ready);
    Some(Endpoint { name, address, zone, cell: 0, lifecycle, weight, started: None })
}

/// A server's number: the one in its name (`s-5be2a07c`), or a hash of a name that holds none. The same at
/// every balancer, which the module needs to place groups alike.
pub fn server_id(name: &str) -> ServerId {
    let hex = name.rsplit('-').next().filter(|hex| hex.len() == 8);
    let number = hex.and_then(|hex| u32::from_str_radix(hex, 16).ok());
    let hash = || name.bytes().fold(0x811c_9dc5, |h: u32, b| (h ^ u32::from(b)).wrapping_mul(0x0100_0193));
    ServerId(number.unwrap_or_else(hash))
}
