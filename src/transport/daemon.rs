//! The daemon: its start, its reloads, and its end.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::mpsc;

use super::commands::WatchCommand;
use super::driver::{ActiveFront, Driver, REPLICATION_SOCKET};
use super::error::TransportError;
use super::files::{Files, OpenedFiles};
use super::fronts::{irc_factory, platform_factory, Fronts};
use super::hot_restart::{self, ReceivedState};
use super::listener::{bind_shared_datagrams, bound_address, listen, AcceptGate};
use super::log_event::{log_event, LogEvent};
use super::record::Recorder;
use super::{discovery_watch, excluded_servers, probes};
use crate::program::config::{Config, Irc, Platform, Sources, StoreConfig};
use crate::routing::{Input, PoolId};

/// Names of the fronts, under which a successor is given their listeners.
const PLATFORM_FRONT: &str = "platform";
const IRC_FRONT: &str = "irc";

/// Runs the daemon until its shutdown is complete. The fronts' traffic may be recorded, to a file of at most so many
/// bytes.
///
/// # Errors
///
/// When the daemon cannot start.
pub fn serve(sources: Sources, record: Option<(&Path, usize)>) -> Result<(), TransportError> {
    let recorder = record.map(|(path, max_bytes)| Recorder::create(path, max_bytes)).transpose()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(TransportError::RuntimeStart)?;
    tokio::task::LocalSet::new().block_on(&runtime, run(sources, recorder))
}

fn read_configuration(sources: &Sources) -> Result<Config, TransportError> {
    sources.read().map_err(|error| TransportError::Configuration(error.into()))
}

/// The signals that the daemon handles. One that nobody handles would end the process.
struct Signals {
    hangup: Signal,
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    fn install() -> Result<Signals, TransportError> {
        let install = |kind| signal(kind).map_err(TransportError::SignalHandler);
        Ok(Signals {
            hangup: install(SignalKind::hangup())?,
            terminate: install(SignalKind::terminate())?,
            interrupt: install(SignalKind::interrupt())?,
        })
    }
}

async fn run(sources: Sources, recorder: Option<Recorder>) -> Result<(), TransportError> {
    let mut signals = Signals::install()?;
    let config = read_configuration(&sources)?;
    crate::program::log::start(&config.log);
    let start = Start::begin(sources, config)?;
    let received = hot_restart::import_state(&start.hot_restart_socket).await;
    start.driver().set_recorder(recorder);
    let (mut daemon, mut exit) = start.finish(received).await?;
    loop {
        tokio::select! {
            _ = signals.hangup.recv() => {
                if let Err(error) = daemon.reload() {
                    log_event!(LogEvent::ReloadFailed { error: &error });
                }
            }
            _ = signals.terminate.recv() => daemon.driver.feed(Input::ShutdownRequested),
            _ = signals.interrupt.recv() => daemon.driver.feed(Input::ShutdownRequested),
            _ = exit.recv() => break,
        }
    }
    daemon.wait_for_last_answers().await;
    log_event!(LogEvent::ShutDown);
    Ok(())
}

/// A daemon that starts: the admin endpoint is open, and the fronts are not yet.
struct Start {
    daemon: Daemon,
    exit: mpsc::UnboundedReceiver<()>,
    platform: Option<(PoolId, Platform)>,
    irc: Option<(PoolId, Irc)>,
    hot_restart_socket: PathBuf,
}

impl Start {
    /// Sets up the pools and opens the admin endpoint, which reports from the start that this process is not ready.
    fn begin(sources: Sources, config: Config) -> Result<Start, TransportError> {
        let admin_listener = config.mgmt.map(listen).transpose()?;
        let Fronts { driver, exit, platform, irc } = Fronts::set_up(&config);
        let admin_endpoint = config.mgmt.zip(admin_listener);
        let mgmt = admin_endpoint
            .map(|(wanted, listener)| AcceptGate::open_admin_endpoint(&driver, wanted, listener));
        let hot_restart_socket = hot_restart::socket_path(&config);
        Ok(Start {
            daemon: Daemon { driver, sources, store: config.store, platform: None, irc: None, mgmt },
            exit,
            platform: platform.zip(config.platform),
            irc: irc.zip(config.irc),
            hot_restart_socket,
        })
    }

    fn driver(&self) -> &Rc<Driver> {
        &self.daemon.driver
    }

    /// Goes on with what the predecessor exported, if it did, and begins to serve.
    async fn finish(
        mut self,
        mut received: Option<ReceivedState>,
    ) -> Result<(Daemon, mpsc::UnboundedReceiver<()>), TransportError> {
        let driver = self.driver().clone();
        if let Some(store) = &self.daemon.store {
            start_store(&driver, store, received.as_mut()).await?;
        }
        driver.set_hot_restart_socket(self.hot_restart_socket.clone());
        driver.feed(self.restored_state(received.as_mut()));
        if let Some((pool, platform)) = self.platform.take() {
            let gate = start_platform(&driver, pool, &platform, received.as_mut())?;
            self.daemon.platform = Some(gate);
        }
        if let Some((pool, irc)) = self.irc.take() {
            self.daemon.irc = Some(start_irc(&driver, pool, irc, received.as_mut())?);
        }
        driver.feed(Input::Listening);
        if let Some(received) = received {
            tokio::task::spawn_local(hot_restart::run_as_successor(driver.clone(), received));
        }
        hot_restart::offer_state(driver.clone(), &self.hot_restart_socket);
        tokio::task::spawn_local(driver.run_timer());
        Ok((self.daemon, self.exit))
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

/// The listener that the predecessor exported for a front, if it is at the configured address, or else a new one.
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

/// The daemon, with what a reload can change.
struct Daemon {
    driver: Rc<Driver>,
    sources: Sources,
    store: Option<StoreConfig>,
    platform: Option<AcceptGate>,
    irc: Option<AcceptGate>,
    mgmt: Option<AcceptGate>,
}

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
    /// Reads the configuration again and puts it in force at one go. Whatever fails comes before the first change, or
    /// half of a configuration would be in force.
    fn reload(&mut self) -> Result<(), TransportError> {
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
        self.driver.feed(Input::ConfigurationChanged { pools, peers, budget });
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
                let gate = AcceptGate::open_admin_endpoint(&self.driver, wanted, listener);
                gate.replace(&self.driver, &mut self.mgmt);
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
        AcceptGate::open_front(&self.driver, PLATFORM_FRONT, platform.listen, front)
            .replace(&self.driver, &mut self.platform);
    }

    fn reload_irc(&mut self, pool: PoolId, irc: Bound<Irc>) {
        let Bound { part: mut irc, listener } = irc;
        let address = bound_address(&listener, irc.listen);
        irc.take_port(address);
        log_event!(LogEvent::IrcReconfigured { name: &irc.setup.name, address });
        self.driver.feed(Input::EndpointsUpdated { pool, whole: true, endpoints: irc.endpoints });
        let front = ActiveFront { pool, factory: irc_factory(irc.setup), listener };
        AcceptGate::open_front(&self.driver, IRC_FRONT, irc.listen, front)
            .replace(&self.driver, &mut self.irc);
    }

    /// Waits until the last answers are written, those to connections that are still queued included.
    async fn wait_for_last_answers(&self) {
        let accept_queued = || {
            for gate in [&self.platform, &self.irc].into_iter().flatten() {
                gate.accept_queued(&self.driver);
            }
        };
        self.driver.wait_for_connections(accept_queued).await;
    }
}
