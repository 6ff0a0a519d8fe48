//! Sockets and timers on tokio, one thread. Nothing is decided here: what comes in is handed to the
//! reducer, and its effects are carried out.

mod connection;
mod files;
mod hub;
mod record;
mod replay;
mod watch;

use std::net::{SocketAddr, UdpSocket};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};

use crate::program::config::Config;
use crate::protocol::{gossip, irc, platform, Front};
use crate::routing::store::{Entry, Gossip};
use crate::routing::{Input, State, StoreSetup};
use hub::Hub;
use record::Recorder;
pub use replay::{replay, Which};

/// Runs the daemon until it has left. Front traffic may be recorded, to a file of so many bytes at most.
pub fn serve(config: Config, record: Option<(&Path, usize)>) -> Result<(), String> {
    let recorder = record.map(|(path, most)| Recorder::create(path, most)).transpose()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("cannot start: {e}"))?;
    tokio::task::LocalSet::new().block_on(&runtime, run(config, recorder))
}

/// Takes connections as fast as they come, a burst of reconnecting clients included.
fn listen(address: SocketAddr) -> Result<TcpListener, String> {
    let bind = || -> std::io::Result<TcpListener> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(1024)?;
        TcpListener::from_std(socket.into())
    };
    bind().map_err(|e| format!("cannot listen on {address}: {e}"))
}

/// Makes the connections of a front.
type Makes = Box<dyn Fn() -> Box<dyn Front>>;

/// The reducer with the fronts that feed it.
struct Fronts {
    hub: Rc<Hub>,
    exit: tokio::sync::mpsc::UnboundedReceiver<()>,
    platform: Option<(usize, Makes)>,
    irc: Option<(usize, Makes)>,
}

impl Fronts {
    /// Sets the fronts up and tells the reducer of their hosts; nothing listens yet.
    fn open(config: Config, kept: Vec<(String, Entry)>) -> Result<Fronts, String> {
        let Config { platform, irc, store } = config;
        let mut setup = StoreSetup { kept, ..StoreSetup::default() };
        if let Some(store) = store {
            (setup.node, setup.peers) = (store.node, store.peers);
        }
        let pools = platform.iter().map(|p| p.pool.clone()).chain(irc.iter().map(|irc| irc.pool.clone()));
        let (hub, exit) = Hub::new(|now| State::new(pools.collect(), setup, now));
        let mut fronts = Fronts { hub, exit, platform: None, irc: None };
        let mut pool = 0;
        if let Some(platform) = platform {
            fronts.hub.feed(Input::Table { pool, whole: true, hosts: platform.known.hosts });
            fronts.platform = Some((pool, Box::new(|| Box::<platform::Connection>::default())));
            pool += 1;
        }
        if let Some(irc) = irc {
            fronts.hub.feed(Input::Table { pool, whole: true, hosts: irc.hosts });
            let setup = Rc::new(irc.setup);
            fronts.irc = Some((pool, Box::new(move || Box::new(irc::Connection::new(setup.clone())))));
        }
        Ok(fronts)
    }

    fn pool(&self, which: Which) -> Option<&(usize, Makes)> {
        match which {
            Which::Platform => self.platform.as_ref(),
            Which::Irc => self.irc.as_ref(),
        }
    }
}

async fn run(mut config: Config, recorder: Option<Recorder>) -> Result<(), String> {
    let mut term = signal(SignalKind::terminate()).map_err(|e| format!("no signals: {e}"))?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|e| format!("no signals: {e}"))?;
    let (store, mut kept, mut files) = (config.store.clone(), Vec::new(), None);
    if let Some(folder) = store.as_ref().and_then(|store| store.data.as_deref()) {
        let (opened, found) = files::Files::open(folder)?;
        (files, kept) = (Some(opened), found);
    }
    let platform = config.platform.as_ref().map(|p| (p.name.clone(), p.listen));
    let watch = config.platform.as_ref().map(|p| (p.discovery, p.known.generation));
    let mut irc_listener = None;
    if let Some(irc) = &mut config.irc {
        let listener = listen(irc.listen)?;
        let at = listener.local_addr().unwrap_or(irc.listen);
        // Port 0 asks the system for one: that is where clients come again.
        if irc.setup.address.1 == 0 {
            irc.setup.address.1 = at.port();
        }
        irc_listener = Some((listener, irc.setup.name.clone(), at));
    }
    let Fronts { hub, mut exit, platform: shop, irc } = Fronts::open(config, kept)?;
    *hub.recorder.borrow_mut() = recorder;
    if let Some(files) = files {
        hub.keep_in(files);
    }
    if let Some(store) = store {
        let bound = tokio::net::UdpSocket::bind(store.listen).await;
        let socket = bound.map_err(|e| format!("cannot listen on {}: {e}", store.listen))?;
        let at = socket.local_addr().unwrap_or(store.listen);
        crate::log!(info, "{} hears stores on {at}", store.node);
        hub.hear(socket);
    }
    if let (Some((pool, makes)), Some((name, at)), Some((discovery, generation))) = (shop, platform, watch) {
        hub.watch(pool, discovery, generation);
        let listener = listen(at)?;
        crate::log!(info, "{name} listens on {}", listener.local_addr().unwrap_or(at));
        tokio::task::spawn_local(accept(hub.clone(), listener, pool, makes));
    }
    if let (Some((pool, makes)), Some((listener, name, at))) = (irc, irc_listener) {
        crate::log!(info, "{name} listens on {at} for IRC");
        tokio::task::spawn_local(accept(hub.clone(), listener, pool, makes));
    }
    tokio::task::spawn_local(hub.clone().keep_time());
    loop {
        tokio::select! {
            _ = term.recv() => hub.feed(Input::Leave),
            _ = interrupt.recv() => hub.feed(Input::Leave),
            _ = exit.recv() => break,
        }
    }
    hub.settle().await;
    crate::log!(info, "left");
    Ok(())
}

async fn accept(hub: Rc<Hub>, listener: TcpListener, pool: usize, makes: Makes) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => drop(connection::start(&hub, pool, stream, makes())),
            Err(error) => {
                // Danger: with no descriptor free, accept fails at once, again and again.
                crate::log!(warn, "cannot accept: {error}");
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }
}

/// Writes a key at a node's store, and returns the entry that it made.
pub fn write_at(store: SocketAddr, key: &str, value: Option<String>) -> Result<Entry, String> {
    let problem = |e: std::io::Error| format!("{store}: {e}");
    let socket = UdpSocket::bind("127.0.0.1:0").map_err(problem)?;
    socket.connect(store).map_err(problem)?;
    socket.set_read_timeout(Some(Duration::from_millis(500))).map_err(problem)?;
    let write = gossip::write(&Gossip::Write { key: key.to_owned(), value: value.clone() });
    let write = write.ok_or_else(|| format!("{key}: the name is too long"))?;
    let mut bytes = [0; gossip::LONGEST];
    // Either datagram may be lost: to write the same again does no harm.
    for _ in 0..6 {
        socket.send(&write).map_err(problem)?;
        let Ok(n) = socket.recv(&mut bytes) else { continue };
        match gossip::read(&bytes[..n]) {
            Some(Gossip::Entry { key: written, entry }) if written == key && entry.value == value => {
                return Ok(entry)
            }
            _ => {}
        }
    }
    Err(format!("{store}: no node's store answers there"))
}
