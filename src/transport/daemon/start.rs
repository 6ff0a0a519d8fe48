//! Starts the daemon from its configuration and the state that a predecessor exported.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use tokio::net::{TcpListener, UdpSocket};

use super::super::assembly::Assembly;
use super::super::commands::WatchCommand;
use super::super::datagrams::{GossipSocket, ReplicationSocket};
use super::super::error::TransportError;
use super::super::files::{Files, OpenedFiles, SharedFiles};
use super::super::fronts::{irc_factory, platform_factory, ActiveFront, ActiveFronts};
use super::super::hot_restart::{self, ExportedState, HotRestartContext, ReceivedState, REPLICATION_SOCKET};
use super::super::listener::{bind_shared_datagrams, bound_address, listen, Acceptor};
use super::super::log_event::{log_event, LogEvent};
use super::super::record::Recorder;
use super::super::{discovery_watch, excluded_servers, probes};
use super::running::{open_admin_endpoint, Daemon, IRC_FRONT, PLATFORM_FRONT};
use crate::program::config::{Config, IrcFrontConfig, PeerAddresses, PlatformConfig, Sources, StoreConfig};
use crate::routing::store::AddressedReplicaMessage;
use crate::routing::store::KeyedEntry;
use crate::routing::{Input, PoolId};

/// Configuration of a front, with the front's pool.
struct PooledFront<T> {
    pool: PoolId,
    config: T,
}

impl<T> PooledFront<T> {
    fn zip(pool: Option<PoolId>, config: Option<T>) -> Option<PooledFront<T>> {
        Some(PooledFront { pool: pool?, config: config? })
    }
}

/// A daemon that is starting. The admin endpoint is open, and the fronts are still closed.
pub(super) struct Start {
    daemon: Daemon,
    platform: Option<PooledFront<PlatformConfig>>,
    irc: Option<PooledFront<IrcFrontConfig>>,
    /// Path of the socket on which a process exports its state: first the predecessor, later this process.
    pub(super) hot_restart_socket: PathBuf,
}

impl Start {
    /// Sets up the pools and opens the admin endpoint. Until the start is finished, the admin endpoint
    /// reports that this process is not ready.
    pub(super) fn begin(sources: Sources, config: Config) -> Result<Start, TransportError> {
        let admin_listener = config.admin_address.map(listen).transpose()?;
        let assembly = Assembly::new(&config);
        let admin_endpoint = config.admin_address.zip(admin_listener);
        let admin_acceptor =
            admin_endpoint.map(|(configured, listener)| open_admin_endpoint(&assembly, configured, listener));
        let hot_restart_socket = hot_restart::socket_path(&config);
        let platform = PooledFront::zip(assembly.platform, config.platform);
        let irc = PooledFront::zip(assembly.irc, config.irc);
        let fronts = ActiveFronts::default();
        let store = config.store;
        let daemon = Daemon {
            assembly,
            fronts,
            sources,
            store,
            platform_acceptor: None,
            irc_acceptor: None,
            admin_acceptor,
        };
        Ok(Start { daemon, platform, irc, hot_restart_socket })
    }

    /// Records the fronts' traffic, if there is a recorder.
    pub(super) fn set_recorder(&self, recorder: Option<Recorder>) {
        self.daemon.assembly.recorder.set_recorder(recorder);
    }

    /// Imports the state that the predecessor exported, if there is one, and starts to serve.
    pub(super) async fn finish(
        mut self,
        mut received: Option<ReceivedState>,
    ) -> Result<Daemon, TransportError> {
        let reducer = self.daemon.assembly.reducer.clone();
        let store = match &self.daemon.store {
            Some(store) => Some(start_store(&self.daemon.assembly, store, received.as_mut()).await?),
            None => None,
        };
        self.persist_exclusions();
        reducer.feed(self.stored_state(received.as_mut()));
        if let Some(PooledFront { pool, config: platform }) = self.platform.take() {
            let acceptor = start_platform(&self.daemon, pool, &platform, received.as_mut())?;
            self.daemon.platform_acceptor = Some(acceptor);
        }
        if let Some(PooledFront { pool, config: irc }) = self.irc.take() {
            self.daemon.irc_acceptor = Some(start_irc(&self.daemon, pool, irc, received.as_mut())?);
        }
        reducer.feed(Input::Listening);
        let context = self.hot_restart_context(store);
        if let Some(received) = received {
            hot_restart::join_predecessor(context.clone(), received);
        }
        hot_restart::offer_state(context, &self.hot_restart_socket);
        tokio::task::spawn_local(reducer.run_timer());
        Ok(self.daemon)
    }

    fn stored_state(&self, received: Option<&mut ReceivedState>) -> Input {
        match received {
            Some(received) => Input::ImportState(Box::new(std::mem::take(&mut received.state))),
            None => Input::StoredStateRead {
                entries: Vec::new(),
                excluded_by_operator: excluded_servers::load_excluded(&self.hot_restart_socket),
            },
        }
    }

    /// Registers the consumer that writes the operators' exclusions to their file.
    fn persist_exclusions(&self) {
        let hot_restart_socket = self.hot_restart_socket.clone();
        let persist = move |excluded: Vec<String>| {
            excluded_servers::persist_excluded(&hot_restart_socket, &excluded);
        };
        self.daemon.assembly.effects.exclusions.register(persist);
    }

    /// Returns the context of hot restarts, and registers it as the consumer of the reducer's exported state.
    fn hot_restart_context(&self, store: Option<OpenStore>) -> HotRestartContext {
        let effects = &self.daemon.assembly.effects;
        let (files, replication) = match store {
            Some(store) => (store.files, Some(store.replication)),
            None => (None, None),
        };
        let exported_state = ExportedState::default();
        let (exported, open_files) = (exported_state.clone(), files.clone());
        effects.exported_state.register(move |state| {
            exported.set(state);
            // The successor appends to the same files. Appends by two processes would corrupt them.
            if let Some(files) = &open_files {
                files.close();
            }
        });
        HotRestartContext {
            connections: self.daemon.assembly.connection_context(),
            fronts: self.daemon.fronts.clone(),
            peer_process: effects.peer_process.clone(),
            exported_state,
            files,
            replication,
        }
    }
}

/// The files and the socket of the replicated map.
struct OpenStore {
    /// None if the map is kept only in memory.
    files: Option<SharedFiles>,
    replication: ReplicationSocket,
}

/// Restores the replicated map from its files, and starts to replicate it.
async fn start_store(
    assembly: &Assembly,
    store: &StoreConfig,
    received: Option<&mut ReceivedState>,
) -> Result<OpenStore, TransportError> {
    // The files must not be opened before the predecessor has exported its state: until then it writes to
    // them.
    let files = store.directory.as_deref().map(|folder| open_files(assembly, folder)).transpose()?;
    let inherited = received.and_then(|received| received.take_socket(REPLICATION_SOCKET));
    let socket = match inherited {
        Some(socket) => UdpSocket::from_std(std::net::UdpSocket::from(socket)),
        None => UdpSocket::bind(store.listen).await,
    };
    let address = store.listen;
    let socket = socket.map_err(|source| TransportError::Listen { address, source })?;
    let address = socket.local_addr().unwrap_or(address);
    log_event!(LogEvent::ReplicationOpen { node: &store.node, address });
    let replication = ReplicationSocket::new(socket);
    start_replication(assembly, &replication);
    Ok(OpenStore { files, replication })
}

/// Opens the files of the replicated map, feeds their entries to the reducer, and registers the consumer that
/// persists new entries.
fn open_files(assembly: &Assembly, folder: &Path) -> Result<SharedFiles, TransportError> {
    let OpenedFiles { files, entries } = Files::open(folder)?;
    let files = SharedFiles::new(files);
    let persisting = files.clone();
    assembly.effects.entries.register(move |KeyedEntry { key, entry }| persisting.persist(&key, &entry));
    assembly.reducer.feed(Input::StoredStateRead { entries, excluded_by_operator: Vec::new() });
    Ok(files)
}

/// Starts to exchange replica messages on a socket.
fn start_replication(assembly: &Assembly, socket: &ReplicationSocket) {
    let sending = socket.clone();
    assembly
        .effects
        .replica_messages
        .register(move |AddressedReplicaMessage { to, message }| sending.send(to, &message));
    let receiving = socket.clone().receive(assembly.reducer.clone(), assembly.effects.accepting.clone());
    tokio::task::spawn_local(receiving);
}

/// Starts to exchange gossip for a pool on a socket.
fn start_gossip(assembly: &Assembly, pool: PoolId, socket: UdpSocket, peers: &PeerAddresses) {
    let socket = GossipSocket::new(socket, peers.shared);
    let sending = socket.clone();
    assembly.effects.gossip.register(move |message| sending.broadcast(message));
    tokio::task::spawn_local(socket.receive(assembly.reducer.clone(), pool, peers.allowed_senders.clone()));
}

/// Starts the tasks that probe servers and watch endpoint lists, and the watch on a pool's endpoint list. If
/// this process has a list of discovery, `generation` is the generation of that list.
fn start_discovery(assembly: &Assembly, pool: PoolId, discovery: SocketAddr, generation: Option<u64>) {
    let Assembly { reducer, effects, .. } = assembly;
    let commands = effects.probes.open_channel();
    tokio::task::spawn_local(probes::run_probes(reducer.clone(), commands));
    let commands = effects.watches.open_channel();
    tokio::task::spawn_local(discovery_watch::run_watches(reducer.clone(), commands));
    reducer.feed(Input::EndpointWatchStarted { pool });
    effects.watches.pass(WatchCommand::Start { pool, discovery, generation });
}

/// Opens the platform's front, and starts the watch, the probes and the gossip of its pool.
fn start_platform(
    daemon: &Daemon,
    pool: PoolId,
    platform: &PlatformConfig,
    received: Option<&mut ReceivedState>,
) -> Result<Acceptor, TransportError> {
    if let Some(discovery) = platform.pool.discovery {
        // The list of a predecessor is not the cached one. Discovery answers a call for a snapshot at once, and
        // holds a call for changes for longer than the lease of a predecessor's list.
        let generation = received.is_none().then_some(platform.cached_endpoints.generation);
        start_discovery(&daemon.assembly, pool, discovery, generation);
    }
    if let Some(peers) = &platform.peers {
        match bind_shared_datagrams(peers.listen) {
            Ok(socket) => start_gossip(&daemon.assembly, pool, socket, peers),
            // Gossip is optional: without gossip each balancer learns by itself.
            Err(error) => log_event!(LogEvent::GossipUnavailable { error: &error }),
        }
    }
    let listener = inherit_listener(received, PLATFORM_FRONT, platform.listen)?;
    let address = bound_address(&listener, platform.listen);
    log_event!(LogEvent::PlatformListening { name: &platform.name, address });
    let front = ActiveFront { pool, factory: platform_factory(), listener };
    Ok(daemon.open_front(PLATFORM_FRONT, platform.listen, front))
}

/// Opens the IRC front.
fn start_irc(
    daemon: &Daemon,
    pool: PoolId,
    mut irc: IrcFrontConfig,
    received: Option<&mut ReceivedState>,
) -> Result<Acceptor, TransportError> {
    let listener = inherit_listener(received, IRC_FRONT, irc.listen)?;
    irc.advertise_bound_port(bound_address(&listener, irc.listen));
    let address = bound_address(&listener, irc.listen);
    log_event!(LogEvent::IrcListening { name: &irc.protocol.name, address });
    let front = ActiveFront { pool, factory: irc_factory(irc.protocol), listener };
    Ok(daemon.open_front(IRC_FRONT, irc.listen, front))
}

/// Returns the listener that the predecessor exported for a front if it is bound to the configured address,
/// and opens a new listener otherwise.
fn inherit_listener(
    received: Option<&mut ReceivedState>,
    name: &str,
    configured: SocketAddr,
) -> Result<Rc<TcpListener>, TransportError> {
    let socket = received.and_then(|received| received.take_socket(name));
    let inherited = socket.and_then(|socket| TcpListener::from_std(std::net::TcpListener::from(socket)).ok());
    let is_configured = |at: SocketAddr| {
        at.ip() == configured.ip() && (configured.port() == 0 || at.port() == configured.port())
    };
    match inherited.filter(|listener| listener.local_addr().is_ok_and(is_configured)) {
        Some(listener) => Ok(Rc::new(listener)),
        None => listen(configured),
    }
}
