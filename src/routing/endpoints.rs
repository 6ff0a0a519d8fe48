//! The endpoint list: the servers that discovery lists, and their numbers in the module.

use std::collections::BTreeMap;

use crate::{CellId, EndpointEntry, EndpointState, ServerId, Time, ZoneId};

/// Where an server is in its life, as listed.
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
    hosts: BTreeMap<ServerId, Endpoint>,
}

impl EndpointList {
    /// The host, if new attempts may go there.
    pub fn ready(&self, host: ServerId) -> Option<&Endpoint> {
        self.any(host).filter(|host| host.lifecycle == Lifecycle::Ready)
    }

    /// The host, if it is listed at all.
    pub fn any(&self, host: ServerId) -> Option<&Endpoint> {
        self.hosts.get(&host)
    }

    /// All that are listed.
    pub fn hosts(&self) -> impl Iterator<Item = ServerId> + '_ {
        self.hosts.keys().copied()
    }

    /// Takes in all hosts, and returns them in the module's terms.
    pub fn follow(&mut self, hosts: impl Iterator<Item = Endpoint>, zones: &[String]) -> Vec<EndpointEntry> {
        self.hosts = hosts.map(|host| (host_number(&host.name), host)).collect();
        let listed = |(&server, host): (&ServerId, &Endpoint)| EndpointEntry {
            server,
            zone: ZoneId(zones.iter().position(|z| *z == host.zone).unwrap_or(usize::MAX) as u16),
            cell: CellId(host.cell),
            state: match host.lifecycle {
                Lifecycle::Ready => EndpointState::Serving,
                Lifecycle::Draining => EndpointState::Draining,
                Lifecycle::Gone => EndpointState::Gone,
            },
            started: host.started,
            weight: host.weight,
        };
        self.hosts.iter().map(listed).collect()
    }
}

/// A host as the store holds it: its address, and then its zone and weight where they are told.
pub fn stored_host(name: &str, text: &str) -> Option<Endpoint> {
    let mut words = text.split_ascii_whitespace();
    let address = words.next()?.parse::<std::net::SocketAddr>().ok()?.to_string();
    let (zone, weight) = (words.next().unwrap_or("").to_owned(), words.next().unwrap_or("1"));
    let weight = weight.parse().ok()?;
    let (name, lifecycle) = (name.to_owned(), Lifecycle::Ready);
    Some(Endpoint { name, address, zone, cell: 0, lifecycle, weight, started: None })
}

/// A host's number: the one in its name (`s-5be2a07c`), or a hash of a name that holds none. The same at
/// every balancer, which the module needs to place groups alike.
pub fn host_number(name: &str) -> ServerId {
    let hex = name.rsplit('-').next().filter(|hex| hex.len() == 8);
    let number = hex.and_then(|hex| u32::from_str_radix(hex, 16).ok());
    let hash = || name.bytes().fold(0x811c_9dc5, |h: u32, b| (h ^ u32::from(b)).wrapping_mul(0x0100_0193));
    ServerId(number.unwrap_or_else(hash))
}
