//! The start: what the configuration and the predecessor give is put in place, in the order that both need.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc;

use super::super::commands::WatchCommand;
use super::super::driver::{ActiveFront, Driver, REPLICATION_SOCKET};
use super::super::error::TransportError;
use super::super::files::{Files, OpenedFiles};
use super::super::fronts::{irc_factory, platform_factory, Fronts};
use super::super::hot_restart::{self, ReceivedState};
use super::super::listener::{bind_shared_datagrams, bound_address, listen, AcceptGate};
use super::super::log_event::{log_event, LogEvent};
use super::super::{discovery_watch, excluded_servers, probes};
use super::running::{Daemon, IRC_FRONT, PLATFORM_FRONT};
use crate::program::config::{Config, Irc, Platform, Sources, StoreConfig};
use crate::routing::{Input, PoolId};

/// A front that is configured, with its pool.
struct PooledFront<T> {
    pool: PoolId,
    config: T,
}

impl<T> PooledFront<T> {
    fn zip(pool: Option<PoolId>, config: Option<T>) -> Option<PooledFront<T>> {
        Some(PooledFront { pool: pool?, config: config? })
    }
}

/// A daemon that starts: the admin endpoint is open, and the fronts are not yet.
pub(super) struct Start {
    daemon: Daemon,
    platform: Option<PooledFront<Platform>>,
    irc: Option<PooledFront<Irc>>,
    /// Where the predecessor is asked, and this process will be.
    pub(super) hot_restart_socket: PathBuf,
}

impl Start {
    /// Sets up the pools and opens the admin endpoint, which reports from the start that this process is not
    /// ready.
    pub(super) fn begin(sources: Sources, config: Config) -> Result<Start, TransportError> {
        let admin_listener = config.mgmt.map(listen).transpose()?;
        let Fronts { driver, exit, platform, irc } = Fronts::set_up(&config);
        let admin_endpoint = config.mgmt.zip(admin_listener);
        let mgmt = admin_endpoint
            .map(|(wanted, listener)| AcceptGate::open_admin_endpoint(&driver, wanted, listener));
        let hot_restart_socket = hot_restart::socket_path(&config);
        Ok(Start {
            daemon: Daemon { driver, exit, sources, store: config.store, platform: None, irc: None, mgmt },
            platform: PooledFront::zip(platform, config.platform),
            irc: PooledFront::zip(irc, config.irc),
            hot_restart_socket,
        })
    }

    pub(super) fn driver(&self) -> &Rc<Driver> {
        &self.daemon.driver
    }

    /// Goes on with what the predecessor exported, if it did, and begins to serve.
    pub(super) async fn finish(
        mut self,
        mut received: Option<ReceivedState>,
    ) -> Result<Daemon, TransportError> {
        let driver = self.driver().clone();
        if let Some(store) = &self.daemon.store {
            start_store(&driver, store, received.as_mut()).await?;
        }
        driver.set_hot_restart_socket(self.hot_restart_socket.clone());
        driver.feed(self.restored_state(received.as_mut()));
        if let Some(PooledFront { pool, config: platform }) = self.platform.take() {
            let gate = start_platform(&driver, pool, &platform, received.as_mut())?;
            self.daemon.platform = Some(gate);
        }
        if let Some(PooledFront { pool, config: irc }) = self.irc.take() {
            self.daemon.irc = Some(start_irc(&driver, pool, irc, received.as_mut())?);
        }
        driver.feed(Input::Listening);
        if let Some(received) = received {
            tokio::task::spawn_local(hot_restart::run_as_successor(driver.clone(), received));
        }
        hot_restart::offer_state(driver.clone(), &self.hot_restart_socket);
        tokio::task::spawn_local(driver.run_timer());
        Ok(self.daemon)
    }

    fn restored_state(&self, received: Option<&mut ReceivedState>) -> Input {
        match received {
            Some(received) => Input::ImportState(Box::new(std::mem::take(&mut received.state))),
            None => Input::StateRestored {
                entries: Vec::new(),
                excluded_by_operator: excluded_servers::load_excluded(&self.hot_restart_socket),
            },
        }
    }
}

/// Restores the replicated map from its files, and begins to replicate.
async fn start_store(
    driver: &Rc<Driver>,
    store: &StoreConfig,
    received: Option<&mut ReceivedState>,
) -> Result<(), TransportError> {
    // Only now, after a predecessor has exported its state, does nobody else write to the files.
    if let Some(folder) = &store.data {
        let OpenedFiles { files, entries } = Files::open(folder)?;
        driver.set_files(files);
        driver.feed(Input::StateRestored { entries, excluded_by_operator: Vec::new() });
    }
    let inherited = received.and_then(|received| received.take_socket(REPLICATION_SOCKET));
    let socket = match inherited {
        Some(socket) => UdpSocket::from_std(std::net::UdpSocket::from(socket)),
        None => UdpSocket::bind(store.listen).await,
    };
    let address = store.listen;
    let socket = socket.map_err(|source| TransportError::Listen { address, source })?;
    let address = socket.local_addr().unwrap_or(address);
    log_event!(LogEvent::ReplicationOpen { node: &store.node, address });
    driver.start_replication(socket);
    Ok(())
}

/// Starts the platform's front, with the watch, the probes and the gossip of its pool.
fn start_platform(
    driver: &Rc<Driver>,
    pool: PoolId,
    platform: &Platform,
    received: Option<&mut ReceivedState>,
) -> Result<AcceptGate, TransportError> {
    if let Some(discovery) = platform.pool.discovery {
        let (probes, commands) = mpsc::unbounded_channel();
        driver.set_probes(probes);
        tokio::task::spawn_local(probes::run_probes(driver.clone(), commands));
        let (watches, commands) = mpsc::unbounded_channel();
        driver.set_watches(watches);
        tokio::task::spawn_local(discovery_watch::run_watches(driver.clone(), commands));
        let generation = Some(platform.known.generation);
        driver.send_watch_command(WatchCommand::Start { pool, discovery, generation });
    }
    if let Some(peers) = &platform.peers {
        match bind_shared_datagrams(peers.listen) {
            Ok(socket) => driver.start_gossip(pool, socket, peers),
            // Gossip is a help; without it each balancer learns by itself.
            Err(error) => log_event!(LogEvent::GossipUnavailable { error: &error }),
        }
    }
    let listener = inherit_listener(received, PLATFORM_FRONT, platform.listen)?;
    let address = bound_address(&listener, platform.listen);
    log_event!(LogEvent::PlatformListening { name: &platform.name, address });
    let front = ActiveFront { pool, factory: platform_factory(), listener };
    Ok(AcceptGate::open_front(driver, PLATFORM_FRONT, platform.listen, front))
}

fn start_irc(
    driver: &Rc<Driver>,
    pool: PoolId,
    mut irc: Irc,
    received: Option<&mut ReceivedState>,
) -> Result<AcceptGate, TransportError> {
    let listener = inherit_listener(received, IRC_FRONT, irc.listen)?;
    irc.take_port(bound_address(&listener, irc.listen));
    let address = bound_address(&listener, irc.listen);
    log_event!(LogEvent::IrcListening { name: &irc.setup.name, address });
    let front = ActiveFront { pool, factory: irc_factory(irc.setup), listener };
    Ok(AcceptGate::open_front(driver, IRC_FRONT, irc.listen, front))
}

/// The listener that the predecessor exported for a front, if it is at the configured address, or else a new
/// one.
fn inherit_listener(
    received: Option<&mut ReceivedState>,
    name: &str,
    wanted: SocketAddr,
) -> Result<Rc<TcpListener>, TransportError> {
    let socket = received.and_then(|received| received.take_socket(name));
    let inherited = socket.and_then(|socket| TcpListener::from_std(std::net::TcpListener::from(socket)).ok());
    let is_wanted =
        |at: SocketAddr| at.ip() == wanted.ip() && (wanted.port() == 0 || at.port() == wanted.port());
    match inherited.filter(|listener| listener.local_addr().is_ok_and(is_wanted)) {
        Some(listener) => Ok(Rc::new(listener)),
        None => listen(wanted),
    }
}
