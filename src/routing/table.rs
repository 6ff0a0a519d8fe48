//! The routing table: the issuer hosts that discovery lists, and their numbers in the module.

use std::collections::BTreeMap;

use crate::{CellId, Listed, ServerId, Standing, Time, ZoneId};

/// Where an issuer host is in its life, as listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lifecycle {
    /// It takes what is new.
    Ready,
    /// It finishes what it has.
    Draining,
    /// It is no more.
    Gone,
}

/// One entry of the routing table.
#[derive(Clone, Debug, PartialEq)]
pub struct IssuerHost {
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

/// The issuer hosts known, by their numbers.
#[derive(Default)]
pub struct RoutingTable {
    hosts: BTreeMap<ServerId, IssuerHost>,
}

impl RoutingTable {
    /// The host, if new legs may go there.
    pub fn ready(&self, host: ServerId) -> Option<&IssuerHost> {
        self.any(host).filter(|host| host.lifecycle == Lifecycle::Ready)
    }

    /// The host, if it is listed at all.
    pub fn any(&self, host: ServerId) -> Option<&IssuerHost> {
        self.hosts.get(&host)
    }

    /// Takes in news, and returns them in the module's terms.
    pub fn follow(&mut self, whole: bool, hosts: Vec<IssuerHost>, zones: &[String]) -> Vec<Listed> {
        if whole {
            self.hosts.clear();
        }
        let mut listed = Vec::with_capacity(hosts.len());
        for host in hosts {
            let server = host_number(&host.name);
            let zone = zones.iter().position(|zone| *zone == host.zone).unwrap_or(usize::MAX);
            listed.push(Listed {
                server,
                zone: ZoneId(zone as u16),
                cell: CellId(host.cell),
                standing: match host.lifecycle {
                    Lifecycle::Ready => Standing::Serving,
                    Lifecycle::Draining => Standing::Draining,
                    Lifecycle::Gone => Standing::Gone,
                },
                started: host.started,
                weight: host.weight,
            });
            match host.lifecycle {
                Lifecycle::Gone => drop(self.hosts.remove(&server)),
                _ => drop(self.hosts.insert(server, host)),
            }
        }
        listed
    }
}

/// A host's number: the one in its name (`s-5be2a07c`), or a hash of a name that holds none. The same at
/// every balancer, which the module needs to place groups alike.
pub fn host_number(name: &str) -> ServerId {
    let hex = name.rsplit('-').next().filter(|hex| hex.len() == 8);
    let number = hex.and_then(|hex| u32::from_str_radix(hex, 16).ok());
    let hash = || name.bytes().fold(0x811c_9dc5, |h: u32, b| (h ^ u32::from(b)).wrapping_mul(0x0100_0193));
    ServerId(number.unwrap_or_else(hash))
}
