//! The reload: replaces the configuration while the daemon runs.

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

/// A part of a new configuration, with its listener.
struct Bound<T> {
    part: T,
    listener: Rc<TcpListener>,
}

impl<T> Bound<T> {
    /// Opens the listener, or reuses that of the old gate.
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
    /// Reads the configuration again and applies it as a whole: all that can fail is done before the first
    /// change.
    pub(super) fn reload(&mut self) -> Result<(), TransportError> {
        let Config { platform, irc, mgmt, store, budget, log: _ } = read_configuration(&self.sources)?;
        if fixed_store(&store) != fixed_store(&self.store) {
            return Err(TransportError::StoreChanged);
        }
        let platform = Bound::bind(platform, |platform| platform.listen, &self.platform_gate)?;
        let irc = Bound::bind(irc, |irc| irc.listen, &self.irc_gate)?;
        let admin_endpoint = Bound::bind(mgmt, |address| *address, &self.admin_gate)?;

        let platform_pool = platform.iter().map(|platform| platform.part.pool.clone());
        let pools = platform_pool.chain(irc.iter().map(|irc| irc.part.pool.clone())).collect();
        let peers = store.as_ref().map_or(Vec::new(), |store| store.peers.clone());
        self.store = store;
        self.assembly.reducer.feed(Input::ConfigurationChanged { pools, peers, budget });
        self.reload_admin_endpoint(admin_endpoint);
        let irc_pool = usize::from(platform.is_some());
        if let Some(platform) = platform {
            self.reload_platform(0, platform);
        }
        if let Some(irc) = irc {
            self.reload_irc(irc_pool, irc);
        }
        Ok(())
    }

    fn reload_admin_endpoint(&mut self, admin_endpoint: Option<Bound<SocketAddr>>) {
        match admin_endpoint {
            // The gate is kept, so that connected admin clients are not disconnected.
            Some(Bound { part: configured, .. })
                if self.admin_gate.as_ref().is_some_and(|old| old.is_at(configured)) => {}
            Some(Bound { part: configured, listener }) => {
                open_admin_endpoint(&self.assembly, configured, listener).replace(&mut self.admin_gate);
            }
            None => {
                if let Some(old) = self.admin_gate.take() {
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
        self.open_front(PLATFORM_FRONT, platform.listen, front).replace(&mut self.platform_gate);
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
        self.open_front(IRC_FRONT, irc.listen, front).replace(&mut self.irc_gate);
    }
}
