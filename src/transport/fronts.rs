//! The reducer with the pools of the fronts that feed it.

use std::rc::Rc;

use tokio::sync::mpsc::UnboundedReceiver;

use super::driver::{ConnectionFactory, Driver};
use crate::program::config::Config;
use crate::protocol::{irc, platform};
use crate::routing::{Input, PoolId, ReplicationConfig, State};

/// Makes connections of the platform's protocol.
pub(super) fn platform_factory() -> ConnectionFactory {
    Rc::new(|| Box::<platform::Connection>::default())
}

/// Makes connections of IRC.
pub(super) fn irc_factory(config: irc::IrcConfig) -> ConnectionFactory {
    let config = Rc::new(config);
    Rc::new(move || Box::new(irc::Connection::new(config.clone())))
}

/// A driver, and the pools of the fronts that are configured.
pub(super) struct Fronts {
    /// The driver with the reducer.
    pub driver: Rc<Driver>,
    /// Reports that the process can exit.
    pub exit: UnboundedReceiver<()>,
    /// Pool of the platform's front.
    pub platform: Option<PoolId>,
    /// Pool of the IRC front.
    pub irc: Option<PoolId>,
}

impl Fronts {
    /// Sets up the pools, and feeds the reducer the endpoints that the configuration holds; nothing listens
    /// yet.
    pub(super) fn set_up(config: &Config) -> Fronts {
        let Config { platform, irc, store, budget, .. } = config;
        let mut replication = ReplicationConfig::default();
        if let Some(store) = store {
            replication.node = store.node.clone();
            replication.peers = store.peers.clone();
        }
        let platform_pool = platform.iter().map(|platform| platform.pool.clone());
        let pools = platform_pool.chain(irc.iter().map(|irc| irc.pool.clone())).collect();
        let (driver, exit) = Driver::new(|now| State::new(pools, replication, *budget, now));
        let mut fronts = Fronts { driver, exit, platform: None, irc: None };
        let mut pool = 0;
        if let Some(platform) = platform {
            let endpoints = platform.known.endpoints.clone();
            fronts.driver.feed(Input::CachedEndpoints { pool, endpoints });
            fronts.platform = Some(pool);
            pool += 1;
        }
        if let Some(irc) = irc {
            let endpoints = irc.endpoints.clone();
            fronts.driver.feed(Input::EndpointsUpdated { pool, is_snapshot: true, endpoints });
            fronts.irc = Some(pool);
        }
        fronts
    }
}
