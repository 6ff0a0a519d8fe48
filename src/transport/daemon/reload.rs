//! Replaces the configuration while the daemon runs.

use std::net::SocketAddr;
use std::rc::Rc;

use tokio::net::TcpListener;

use super::super::error::TransportError;
use super::super::fronts::{irc_factory, platform_factory, ActiveFront};
use super::super::listener::{bound_address, Acceptor};
use super::super::log_event::{log_event, LogEvent};
use super::running::{open_admin_endpoint, read_configuration, Daemon, IRC_FRONT, PLATFORM_FRONT};
use crate::program::config::{Config, IrcFrontConfig, PlatformConfig, StoreConfig};
use crate::routing::{Input, PoolId};

/// New configuration of a front or of the admin endpoint, with its listener.
struct Bound<T> {
    config: T,
    listener: Rc<TcpListener>,
}

impl<T> Bound<T> {
    /// Opens a listener, or reuses the listener of the old acceptor if its address is unchanged.
    fn bind(
        config: Option<T>,
        address: impl Fn(&T) -> SocketAddr,
        old: &Option<Acceptor>,
    ) -> Result<Option<Bound<T>>, TransportError> {
        let Some(config) = config else { return Ok(None) };
        let listener = Acceptor::reuse_listener(old.as_ref(), address(&config))?;
        Ok(Some(Bound { config, listener }))
    }
}

/// Returns the store's configuration without the peers, which are the only part that a reload can change.
fn without_peers(store: &Option<StoreConfig>) -> Option<StoreConfig> {
    store.clone().map(|store| StoreConfig { peers: Vec::new(), ..store })
}

impl Daemon {
    /// Reads the configuration again and applies it. Every step that can fail is done before the first
    /// change, so that a reload is applied in full or not at all.
    pub(super) fn reload(&mut self) -> Result<(), TransportError> {
        let Config { platform, irc, admin_address, store, resource_limits, log: _ } =
            read_configuration(&self.sources)?;
        if without_peers(&store) != without_peers(&self.store) {
            return Err(TransportError::StoreChanged);
        }
        let platform = Bound::bind(platform, |platform| platform.listen, &self.platform_acceptor)?;
        let irc = Bound::bind(irc, |irc| irc.listen, &self.irc_acceptor)?;
        let admin_endpoint = Bound::bind(admin_address, |address| *address, &self.admin_acceptor)?;

        let platform_pool = platform.iter().map(|platform| platform.config.pool.clone());
        let pools = platform_pool.chain(irc.iter().map(|irc| irc.config.pool.clone())).collect();
        let other_replicas = store.as_ref().map_or(Vec::new(), |store| store.peers.clone());
        self.store = store;
        self.assembly.reducer.feed(Input::ConfigurationChanged { pools, other_replicas, resource_limits });
        self.reload_admin_endpoint(admin_endpoint);
        let irc_pool = PoolId(usize::from(platform.is_some()));
        if let Some(platform) = platform {
            self.reload_platform(PoolId(0), platform);
        }
        if let Some(irc) = irc {
            self.reload_irc(irc_pool, irc);
        }
        Ok(())
    }

    fn reload_admin_endpoint(&mut self, admin_endpoint: Option<Bound<SocketAddr>>) {
        match admin_endpoint {
            // The acceptor is kept, so that connected admin clients are not disconnected.
            Some(Bound { config: configured, .. })
                if self.admin_acceptor.as_ref().is_some_and(|old| old.is_at(configured)) => {}
            Some(Bound { config: configured, listener }) => {
                open_admin_endpoint(&self.assembly, configured, listener).replace(&mut self.admin_acceptor);
            }
            None => {
                if let Some(old) = self.admin_acceptor.take() {
                    old.close();
                }
            }
        }
    }

    fn reload_platform(&mut self, pool: PoolId, platform: Bound<PlatformConfig>) {
        let Bound { config: platform, listener } = platform;
        let address = bound_address(&listener, platform.listen);
        log_event!(LogEvent::PlatformReconfigured { name: &platform.name, address });
        let front = ActiveFront { pool, factory: platform_factory(), listener };
        self.open_front(PLATFORM_FRONT, platform.listen, front).replace(&mut self.platform_acceptor);
    }

    fn reload_irc(&mut self, pool: PoolId, irc: Bound<IrcFrontConfig>) {
        let Bound { config: mut irc, listener } = irc;
        let address = bound_address(&listener, irc.listen);
        irc.advertise_bound_port(address);
        log_event!(LogEvent::IrcReconfigured { name: &irc.protocol.name, address });
        self.assembly.reducer.feed(Input::EndpointsUpdated {
            pool,
            is_snapshot: true,
            endpoints: irc.endpoints,
        });
        let front = ActiveFront { pool, factory: irc_factory(irc.protocol), listener };
        self.open_front(IRC_FRONT, irc.listen, front).replace(&mut self.irc_acceptor);
    }
}
