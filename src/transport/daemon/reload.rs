//! The reload: a new configuration is put in force while the daemon runs.

use std::net::SocketAddr;
use std::rc::Rc;

use tokio::net::TcpListener;

use super::super::error::TransportError;
use super::super::fronts::{irc_factory, platform_factory, ActiveFront};
use super::super::listener::{bound_address, AcceptGate};
use super::super::log_event::{log_event, LogEvent};
use super::running::{open_admin_endpoint, read_configuration, Daemon, IRC_FRONT, PLATFORM_FRONT};
use crate::program::config::{Config, Irc, Platform, StoreConfig};
use crate::routing::{Input, PoolId};

/// A part of a new configuration, with the listener that it needs.
struct Bound<T> {
    part: T,
    listener: Rc<TcpListener>,
}

impl<T> Bound<T> {
    /// Opens the listener, or takes that of the old gate.
    fn bind(
        part: Option<T>,
        address: impl Fn(&T) -> SocketAddr,
        old: &Option<AcceptGate>,
    ) -> Result<Option<Bound<T>>, TransportError> {
        let Some(part) = part else { return Ok(None) };
        let listener = AcceptGate::reuse_listener(old.as_ref(), address(&part))?;
        Ok(Some(Bound { part, listener }))
    }
}

/// The store's configuration without what a reload can change.
fn fixed_store(store: &Option<StoreConfig>) -> Option<StoreConfig> {
    store.clone().map(|store| StoreConfig { peers: Vec::new(), ..store })
}

impl Daemon {
    /// Reads the configuration again and puts it in force at one go. Whatever fails comes before the first
    /// change, or half of a configuration would be in force.
    pub(super) fn reload(&mut self) -> Result<(), TransportError> {
        let Config { platform, irc, mgmt, store, budget, log: _ } = read_configuration(&self.sources)?;
        if fixed_store(&store) != fixed_store(&self.store) {
            return Err(TransportError::StoreChanged);
        }
        let platform = Bound::bind(platform, |platform| platform.listen, &self.platform)?;
        let irc = Bound::bind(irc, |irc| irc.listen, &self.irc)?;
        let mgmt = Bound::bind(mgmt, |address| *address, &self.mgmt)?;

        let platform_pool = platform.iter().map(|platform| platform.part.pool.clone());
        let pools = platform_pool.chain(irc.iter().map(|irc| irc.part.pool.clone())).collect();
        let peers = store.as_ref().map_or(Vec::new(), |store| store.peers.clone());
        self.store = store;
        self.assembly.reducer.feed(Input::ConfigurationChanged { pools, peers, budget });
        self.reload_admin_endpoint(mgmt);
        let irc_pool = usize::from(platform.is_some());
        if let Some(platform) = platform {
            self.reload_platform(0, platform);
        }
        if let Some(irc) = irc {
            self.reload_irc(irc_pool, irc);
        }
        Ok(())
    }

    fn reload_admin_endpoint(&mut self, mgmt: Option<Bound<SocketAddr>>) {
        match mgmt {
            // Admin clients that are connected are not cut off.
            Some(Bound { part: wanted, .. }) if self.mgmt.as_ref().is_some_and(|old| old.is_at(wanted)) => {}
            Some(Bound { part: wanted, listener }) => {
                open_admin_endpoint(&self.assembly, wanted, listener).replace(&mut self.mgmt);
            }
            None => {
                if let Some(old) = self.mgmt.take() {
                    old.close();
                }
            }
        }
    }

    fn reload_platform(&mut self, pool: PoolId, platform: Bound<Platform>) {
        let Bound { part: platform, listener } = platform;
        let address = bound_address(&listener, platform.listen);
        log_event!(LogEvent::PlatformReconfigured { name: &platform.name, address });
        let front = ActiveFront { pool, factory: platform_factory(), listener };
        self.open_front(PLATFORM_FRONT, platform.listen, front).replace(&mut self.platform);
    }

    fn reload_irc(&mut self, pool: PoolId, irc: Bound<Irc>) {
        let Bound { part: mut irc, listener } = irc;
        let address = bound_address(&listener, irc.listen);
        irc.take_port(address);
        log_event!(LogEvent::IrcReconfigured { name: &irc.setup.name, address });
        self.assembly.reducer.feed(Input::EndpointsUpdated {
            pool,
            is_snapshot: true,
            endpoints: irc.endpoints,
        });
        let front = ActiveFront { pool, factory: irc_factory(irc.setup), listener };
        self.open_front(IRC_FRONT, irc.listen, front).replace(&mut self.irc);
    }
}
