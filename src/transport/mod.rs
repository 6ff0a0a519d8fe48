//! Sockets and timers on tokio, one thread. Nothing is decided here: what comes in is handed to the
//! reducer, and its effects are carried out.

mod connection;
mod files;
mod hub;
mod watch;

use std::net::{SocketAddr, UdpSocket};
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

/// Runs the daemon until it has left.
pub fn serve(config: Config) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("cannot start: {e}"))?;
    tokio::task::LocalSet::new().block_on(&runtime, run(config))
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

async fn run(config: Config) -> Result<(), String> {
    let mut term = signal(SignalKind::terminate()).map_err(|e| format!("no signals: {e}"))?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|e| format!("no signals: {e}"))?;
    let Config { platform, irc, store } = config;
    let mut setup = StoreSetup::default();
    let mut files = None;
    if let Some(store) = &store {
        (setup.node, setup.peers) = (store.node.clone(), store.peers.clone());
        if let Some(folder) = &store.data {
            let (opened, kept) = files::Files::open(folder)?;
            (files, setup.kept) = (Some(opened), kept);
        }
    }
    let pools = platform.iter().map(|p| p.pool.clone()).chain(irc.iter().map(|irc| irc.pool.clone()));
    let (hub, mut exit) = Hub::new(|now| State::new(pools.collect(), setup, now));
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
    let mut pool = 0;
    if let Some(platform) = platform {
        hub.watch(pool, platform.discovery, platform.known.generation);
        hub.feed(Input::Table { pool, whole: true, hosts: platform.known.hosts });
        let listener = listen(platform.listen)?;
        let at = listener.local_addr().unwrap_or(platform.listen);
        crate::log!(info, "{} listens on {at}", platform.name);
        let front = || -> Box<dyn Front> { Box::<platform::Connection>::default() };
        tokio::task::spawn_local(accept(hub.clone(), listener, pool, front));
        pool += 1;
    }
    if let Some(irc) = irc {
        hub.feed(Input::Table { pool, whole: true, hosts: irc.hosts });
        let listener = listen(irc.listen)?;
        let mut setup = irc.setup;
        let at = listener.local_addr().unwrap_or(irc.listen);
        // Port 0 asks the system for one: that is where clients come again.
        if setup.address.1 == 0 {
            setup.address.1 = at.port();
        }
        crate::log!(info, "{} listens on {at} for IRC", setup.name);
        let setup = Rc::new(setup);
        let front = move || -> Box<dyn Front> { Box::new(irc::Connection::new(setup.clone())) };
        tokio::task::spawn_local(accept(hub.clone(), listener, pool, front));
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

async fn accept(hub: Rc<Hub>, listener: TcpListener, pool: usize, front: impl Fn() -> Box<dyn Front>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => connection::start(&hub, pool, stream, front()),
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
