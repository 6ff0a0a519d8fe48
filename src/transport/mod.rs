//! Sockets and timers on tokio, one thread. Nothing is decided here: what comes in is handed to the
//! reducer, and its effects are carried out.

mod connection;
mod hub;
mod watch;

use std::rc::Rc;
use std::time::Duration;

use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};

use crate::program::config::Config;
use crate::protocol::{platform, Front};
use crate::routing::{Input, State};
use hub::Hub;

/// Pool of the platform's front.
const PLATFORM: usize = 0;

/// Runs the daemon until it has left.
pub fn serve(config: Config) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("cannot start: {e}"))?;
    tokio::task::LocalSet::new().block_on(&runtime, run(config))
}

/// Takes connections as fast as they come, a burst of reconnecting clients included.
fn listen(address: std::net::SocketAddr) -> Result<TcpListener, String> {
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
    let (hub, mut exit) = Hub::new(|now| State::new(vec![config.pool], now));
    hub.watch(PLATFORM, config.discovery, config.known.generation);
    hub.feed(Input::Table { pool: PLATFORM, whole: true, hosts: config.known.hosts });
    let listener = listen(config.listen)?;
    crate::log!(info, "{} listens on {}", config.name, config.listen);
    tokio::task::spawn_local(accept(hub.clone(), listener, PLATFORM, || {
        Box::<platform::Connection>::default()
    }));
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
