//! Sockets and timers on tokio, one thread. Nothing is decided here: what comes in is handed to the
//! reducer, and its effects are carried out.

mod admin_server;
mod commands;
mod connection;
mod discovery_watch;
mod driver;
mod excluded_servers;
mod files;
mod hot_restart;
mod probes;
mod record;
mod replay;

use std::io::{Read, Write};
use std::net::{SocketAddr, UdpSocket};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::program::config::{Config, Sources, StoreConfig};
use crate::protocol::{gossip, irc, platform};
use crate::routing::store::{Entry, ReplicaMessage};
use crate::routing::{Input, ReplicationConfig, State};
pub use admin_server::MOST_CALLERS;
use commands::WatchOrder;
use driver::{ConnectionFactory, Driver, FrontAt};
use record::Recorder;
pub use replay::{replay, Which};

/// Runs the daemon until it has left. Front traffic may be recorded, to a file of so many bytes at most.
pub fn serve(sources: Sources, record: Option<(&Path, usize)>) -> Result<(), String> {
    let recorder = record.map(|(path, most)| Recorder::create(path, most)).transpose()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("cannot start: {e}"))?;
    tokio::task::LocalSet::new().block_on(&runtime, run(sources, recorder))
}

/// Takes connections as fast as they come, a burst of reconnecting clients included.
fn listen(address: SocketAddr) -> Result<TcpListener, String> {
    let bind = || -> std::io::Result<TcpListener> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_reuse_address(true)?;
        // Danger: a new version has to serve even where the one before hangs and hands nothing over.
        socket.set_reuse_port(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(1024)?;
        TcpListener::from_std(socket.into())
    };
    bind().map_err(|e| format!("cannot listen on {address}: {e}"))
}

/// Hears datagrams, also while the process before this one still does.
fn hear_at(address: SocketAddr) -> std::io::Result<tokio::net::UdpSocket> {
    let socket = Socket::new(Domain::for_address(address), Type::DGRAM, Some(Protocol::UDP))?;
    socket.set_reuse_port(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    tokio::net::UdpSocket::from_std(socket.into())
}

/// Between two tries to accept that fail: twice as long each time.
const LEAST_PAUSE: Duration = Duration::from_millis(5);
const MOST_PAUSE: Duration = Duration::from_millis(250);

fn platform_factory() -> ConnectionFactory {
    Rc::new(|| Box::<platform::Connection>::default())
}

fn irc_factory(setup: irc::IrcConfig) -> ConnectionFactory {
    let setup = Rc::new(setup);
    Rc::new(move || Box::new(irc::Connection::new(setup.clone())))
}

/// The reducer with the pools of the fronts that feed it.
struct Fronts {
    driver: Rc<Driver>,
    exit: tokio::sync::mpsc::UnboundedReceiver<()>,
    platform: Option<usize>,
    irc: Option<usize>,
}

impl Fronts {
    /// Sets the pools up and tells the reducer of their servers; nothing listens yet.
    fn open(config: &Config) -> Fronts {
        let Config { platform, irc, store, budget, .. } = config;
        let mut setup = ReplicationConfig::default();
        if let Some(store) = store {
            (setup.node, setup.peers) = (store.node.clone(), store.peers.clone());
        }
        let pools = platform.iter().map(|p| p.pool.clone()).chain(irc.iter().map(|irc| irc.pool.clone()));
        let (driver, exit) = Driver::new(|now| State::new(pools.collect(), setup, *budget, now));
        let mut fronts = Fronts { driver, exit, platform: None, irc: None };
        let mut pool = 0;
        if let Some(platform) = platform {
            fronts.driver.feed(Input::CachedEndpoints { pool, endpoints: platform.known.endpoints.clone() });
            fronts.platform = Some(pool);
            pool += 1;
        }
        if let Some(irc) = irc {
            fronts.driver.feed(Input::EndpointsUpdated {
                pool,
                whole: true,
                endpoints: irc.endpoints.clone(),
            });
            fronts.irc = Some(pool);
        }
        fronts
    }
}

/// Where a front takes its connections.
struct AcceptGate {
    /// As configured, perhaps without a port of its own.
    wanted: SocketAddr,
    listener: Rc<TcpListener>,
    accepting: JoinHandle<()>,
    /// What a front makes of its connections, and for which pool.
    front: Option<(usize, ConnectionFactory)>,
}

impl AcceptGate {
    fn open(
        driver: &Rc<Driver>,
        name: &'static str,
        wanted: SocketAddr,
        listener: Rc<TcpListener>,
        pool: usize,
        factory: ConnectionFactory,
    ) -> AcceptGate {
        driver.set_front(name, FrontAt { pool, factory: factory.clone(), listener: listener.clone() });
        let front = Some((pool, factory.clone()));
        let accepting = tokio::task::spawn_local(accept(driver.clone(), listener.clone(), pool, factory));
        AcceptGate { wanted, listener, accepting, front }
    }

    /// The operators' door.
    fn door(driver: &Rc<Driver>, wanted: SocketAddr, listener: Rc<TcpListener>) -> AcceptGate {
        crate::log!(info, "operators are heard on {}", bound(&listener, wanted));
        let accepting = tokio::task::spawn_local(admin_server::accept(driver.clone(), listener.clone()));
        AcceptGate { wanted, listener, accepting, front: None }
    }

    /// A listener at this address: that of an old gate where it is the same.
    fn listener(old: Option<&AcceptGate>, wanted: SocketAddr) -> Result<Rc<TcpListener>, String> {
        match old.filter(|gate| gate.wanted == wanted) {
            Some(gate) => Ok(gate.listener.clone()),
            None => listen(wanted).map(Rc::new),
        }
    }

    /// Takes the place of an old gate, which accepts nothing more.
    fn replace(self, driver: &Rc<Driver>, old: &mut Option<AcceptGate>) {
        let listener = self.listener.clone();
        if let Some(old) = old.replace(self) {
            old.accepting.abort();
            if !Rc::ptr_eq(&old.listener, &listener) {
                old.empty(driver);
            }
        }
    }

    /// Takes in what waits in the queue. Danger: closed with its listener, it would be reset without a word. But where
    /// another process listens on the same socket, it is for that one.
    fn empty(&self, driver: &Rc<Driver>) {
        let Some((pool, factory)) = self.front.as_ref().filter(|_| driver.is_accepting()) else { return };
        // Danger: the runtime may not have heard of them yet, so the system itself is asked.
        while let Ok((socket, _)) = socket2::SockRef::from(&*self.listener).accept() {
            let stream = socket.set_nonblocking(true).map(|()| std::net::TcpStream::from(socket));
            if let Ok(stream) = stream.and_then(tokio::net::TcpStream::from_std) {
                connection::start(driver, *pool, stream, factory());
            }
        }
    }
}

fn bound(listener: &TcpListener, wanted: SocketAddr) -> SocketAddr {
    listener.local_addr().unwrap_or(wanted)
}

/// The daemon with what may change while it runs.
struct Daemon {
    driver: Rc<Driver>,
    sources: Sources,
    store: Option<StoreConfig>,
    platform: Option<AcceptGate>,
    irc: Option<AcceptGate>,
    mgmt: Option<AcceptGate>,
}

impl Daemon {
    /// Reads the configuration again and puts it in place at one go. Danger: what fails may come only before
    /// the first change, or half of a configuration would be in force.
    fn reload(&mut self) -> Result<(), String> {
        let Config { platform, irc, mgmt, store, budget, log: _ } =
            self.sources.read().map_err(|error| error.to_string())?;
        let fixed = |store: &Option<StoreConfig>| {
            store.clone().map(|store| StoreConfig { peers: Vec::new(), ..store })
        };
        if fixed(&store) != fixed(&self.store) {
            return Err("store: only its peers may change without a restart".to_owned());
        }
        let bind = |old: &Option<AcceptGate>, wanted| AcceptGate::listener(old.as_ref(), wanted);
        let shop = platform.map(|p| bind(&self.platform, p.listen).map(|at| (p, at))).transpose()?;
        let irc = irc.map(|irc| bind(&self.irc, irc.listen).map(|at| (irc, at))).transpose()?;
        let door = mgmt.map(|mgmt| bind(&self.mgmt, mgmt).map(|at| (mgmt, at))).transpose()?;

        let pools =
            shop.iter().map(|(p, _)| p.pool.clone()).chain(irc.iter().map(|(irc, _)| irc.pool.clone()));
        let peers = store.as_ref().map_or(Vec::new(), |store| store.peers.clone());
        self.store = store;
        self.driver.feed(Input::ConfigurationChanged { pools: pools.collect(), peers, budget });
        match door {
            // Callers that are there are not cut off.
            Some((wanted, _)) if self.mgmt.as_ref().is_some_and(|old| old.wanted == wanted) => {}
            Some((wanted, listener)) => {
                AcceptGate::door(&self.driver, wanted, listener).replace(&self.driver, &mut self.mgmt)
            }
            None => self.mgmt.take().map(|old| old.accepting.abort()).unwrap_or_default(),
        }
        let mut pool = 0;
        if let Some((platform, listener)) = shop {
            let at = bound(&listener, platform.listen);
            crate::log!(info, "{} listens on {at}, as configured anew", platform.name);
            AcceptGate::open(&self.driver, "platform", platform.listen, listener, pool, platform_factory())
                .replace(&self.driver, &mut self.platform);
            pool += 1;
        }
        if let Some((mut irc, listener)) = irc {
            let at = bound(&listener, irc.listen);
            irc.take_port(at);
            crate::log!(info, "{} listens on {at} for IRC, as configured anew", irc.setup.name);
            self.driver.feed(Input::EndpointsUpdated { pool, whole: true, endpoints: irc.endpoints });
            AcceptGate::open(&self.driver, "irc", irc.listen, listener, pool, irc_factory(irc.setup))
                .replace(&self.driver, &mut self.irc);
        }
        Ok(())
    }
}

/// The listener that the process before left for a front, or else one of its own.
fn taken(
    received: &mut Option<hot_restart::ReceivedState>,
    name: &str,
    wanted: SocketAddr,
) -> Result<Rc<TcpListener>, String> {
    let left = received.as_mut().and_then(|received| received.socket(name));
    let left = left.and_then(|socket| TcpListener::from_std(std::net::TcpListener::from(socket)).ok());
    let same = |at: SocketAddr| at.ip() == wanted.ip() && (wanted.port() == 0 || at.port() == wanted.port());
    match left.filter(|listener| listener.local_addr().is_ok_and(same)) {
        Some(listener) => Ok(Rc::new(listener)),
        None => listen(wanted).map(Rc::new),
    }
}

async fn run(sources: Sources, recorder: Option<Recorder>) -> Result<(), String> {
    let catch = |kind| signal(kind).map_err(|e| format!("no signals: {e}"));
    // Danger: a signal that nobody catches ends the process.
    let mut hangup = catch(SignalKind::hangup())?;
    let (mut term, mut interrupt) = (catch(SignalKind::terminate())?, catch(SignalKind::interrupt())?);
    let mut config = sources.read().map_err(|error| error.to_string())?;
    crate::program::log::start(&config.log);
    let door = config.mgmt.map(|mgmt| AcceptGate::listener(None, mgmt).map(|at| (mgmt, at))).transpose()?;
    let Fronts { driver, mut exit, platform: shop_pool, irc: irc_pool } = Fronts::open(&config);
    // The door is open from the start: it tells that this process is not ready yet.
    let mgmt = door.map(|(wanted, listener)| AcceptGate::door(&driver, wanted, listener));
    let store = config.store.take();
    let mut daemon = Daemon { driver: driver.clone(), sources, store, platform: None, irc: None, mgmt };

    let place = hot_restart::place(&config);
    let mut received = hot_restart::take(&place).await;
    *driver.recorder.borrow_mut() = recorder;
    if let Some(store) = &daemon.store {
        // Danger: only now does nobody else write to the files.
        let opened = store.data.as_deref().map(files::Files::open).transpose()?;
        if let Some((files, entries)) = opened {
            driver.keep_in(files);
            driver.feed(Input::StateRestored { entries, excluded_by_operator: Vec::new() });
        }
        let left = received.as_mut().and_then(|received| received.socket("store")).map(UdpSocket::from);
        let socket = match left {
            Some(socket) => tokio::net::UdpSocket::from_std(socket),
            None => tokio::net::UdpSocket::bind(store.listen).await,
        };
        let socket = socket.map_err(|e| format!("cannot listen on {}: {e}", store.listen))?;
        let at = socket.local_addr().unwrap_or(store.listen);
        crate::log!(info, "{} hears stores on {at}", store.node);
        driver.hear(socket);
    }
    driver.set_handover_socket(place.clone());
    match &mut received {
        Some(received) => {
            driver.feed(Input::ImportState(Box::new(std::mem::take(&mut received.handover_state))))
        }
        None => driver.feed(Input::StateRestored {
            entries: Vec::new(),
            excluded_by_operator: excluded_servers::load_excluded(&place),
        }),
    }
    if let (Some(pool), Some(shop)) = (shop_pool, &config.platform) {
        if let Some(discovery) = shop.pool.discovery {
            let (probes, orders) = mpsc::unbounded_channel();
            driver.set_probes(probes);
            tokio::task::spawn_local(probes::keep(driver.clone(), orders));
            let (watches, orders) = mpsc::unbounded_channel();
            driver.set_watches(watches);
            tokio::task::spawn_local(discovery_watch::keep(driver.clone(), orders));
            let generation = Some(shop.known.generation);
            driver.watch(WatchOrder::At { pool, discovery, generation });
        }
        if let Some(at) = &shop.peers {
            match hear_at(at.listen) {
                Ok(socket) => driver.hear_peers(pool, socket, at),
                // The others are a help; without them each learns by itself.
                Err(problem) => crate::log!(warn, "the tier's other balancers are not heard: {problem}"),
            }
        }
        let listener = taken(&mut received, "platform", shop.listen)?;
        crate::log!(info, "{} listens on {}", shop.name, bound(&listener, shop.listen));
        let gate = AcceptGate::open(&driver, "platform", shop.listen, listener, pool, platform_factory());
        daemon.platform = Some(gate);
    }
    if let (Some(pool), Some(mut irc)) = (irc_pool, config.irc) {
        let listener = taken(&mut received, "irc", irc.listen)?;
        irc.take_port(bound(&listener, irc.listen));
        crate::log!(info, "{} listens on {} for IRC", irc.setup.name, bound(&listener, irc.listen));
        daemon.irc =
            Some(AcceptGate::open(&driver, "irc", irc.listen, listener, pool, irc_factory(irc.setup)));
    }
    driver.feed(Input::Listening);
    if let Some(received) = received {
        tokio::task::spawn_local(hot_restart::succeed(driver.clone(), received));
    }
    hot_restart::offer(driver.clone(), &place);
    tokio::task::spawn_local(driver.clone().keep_time());
    loop {
        tokio::select! {
            _ = hangup.recv() => {
                if let Err(problem) = daemon.reload() {
                    crate::log!(error, "the old configuration stays: {problem}");
                }
            }
            _ = term.recv() => driver.feed(Input::ShutdownRequested),
            _ = interrupt.recv() => driver.feed(Input::ShutdownRequested),
            _ = exit.recv() => break,
        }
    }
    let gates = [&daemon.platform, &daemon.irc];
    driver.settle(|| gates.into_iter().flatten().for_each(|gate| gate.empty(&driver))).await;
    crate::log!(info, "left");
    Ok(())
}

async fn accept(driver: Rc<Driver>, listener: Rc<TcpListener>, pool: usize, factory: ConnectionFactory) {
    let take = async |stream| {
        connection::start(&driver, pool, stream, factory());
        // Danger: where many come at once, none may be judged before its first line could be read.
        tokio::task::yield_now().await;
    };
    accept_each(&listener, async |open| driver.wait_until_accepting(open).await, take).await;
}

/// Takes connections for ever, each when the gate is open.
async fn accept_each(
    listener: &TcpListener,
    gate: impl AsyncFn(bool),
    mut take: impl AsyncFnMut(tokio::net::TcpStream),
) {
    let mut pause = LEAST_PAUSE;
    loop {
        gate(true).await;
        let accepted = tokio::select! {
            biased;
            () = gate(false) => continue,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                take(stream).await;
                pause = LEAST_PAUSE;
            }
            Err(error) => {
                // Danger: with no descriptor free, accept fails at once, again and again.
                if pause == LEAST_PAUSE {
                    crate::log!(warn, "cannot accept: {error}");
                }
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(MOST_PAUSE);
            }
        }
    }
}

/// Makes a call at an operators' door, and returns the answer.
pub fn ask(mgmt: &str, call: &str) -> Result<String, String> {
    let problem = |e: std::io::Error| format!("{mgmt}: {e}");
    let mut stream = std::net::TcpStream::connect(mgmt).map_err(problem)?;
    stream.set_read_timeout(Some(Duration::from_secs(2))).map_err(problem)?;
    stream.write_all(format!("{call}\r\n").as_bytes()).map_err(problem)?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).map_err(problem)?;
    if answer.is_empty() {
        return Err(format!("{mgmt}: no answer"));
    }
    Ok(answer)
}

/// Writes a key at a node's store, and returns the entry that it made.
pub fn write_at(store: SocketAddr, key: &str, value: Option<String>) -> Result<Entry, String> {
    let problem = |e: std::io::Error| format!("{store}: {e}");
    let socket = UdpSocket::bind("127.0.0.1:0").map_err(problem)?;
    socket.connect(store).map_err(problem)?;
    socket.set_read_timeout(Some(Duration::from_millis(500))).map_err(problem)?;
    let write = gossip::encode(&ReplicaMessage::Write { key: key.to_owned(), value: value.clone() });
    let write = write.ok_or_else(|| format!("{key}: the name is too long"))?;
    let mut bytes = [0; gossip::MAX_DATAGRAM_LENGTH];
    // Either datagram may be lost: to write the same again does no harm.
    for _ in 0..6 {
        socket.send(&write).map_err(problem)?;
        let Ok(n) = socket.recv(&mut bytes) else { continue };
        match gossip::decode(&bytes[..n]) {
            Some(ReplicaMessage::Entry { key: written, entry }) if written == key && entry.value == value => {
                return Ok(entry)
            }
            _ => {}
        }
    }
    Err(format!("{store}: no node's store answers there"))
}
