//! Listening sockets, and what accepts connections from them.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::task::JoinHandle;

use super::accepting::Accepting;
use super::error::TransportError;
use super::log_event::{log_event, LogEvent};

/// Connections that may wait to be accepted: a burst of reconnecting clients fits.
const LISTEN_BACKLOG: i32 = 1024;
/// Wait before accepting again after a failure: it doubles from one to the next.
const MIN_ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(5);
const MAX_ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Opens a TCP listener at an address.
///
/// # Errors
///
/// [`TransportError::Listen`] when the system refuses.
pub(super) fn listen(address: SocketAddr) -> Result<Rc<TcpListener>, TransportError> {
    bind_listener(address).map(Rc::new).map_err(|source| TransportError::Listen { address, source })
}

fn bind_listener(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    // A new version has to serve even where its predecessor hangs and hands nothing over.
    socket.set_reuse_port(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Opens a UDP socket at an address, also while the predecessor still has one there.
///
/// # Errors
///
/// When the system refuses.
pub(super) fn bind_shared_datagrams(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = Socket::new(Domain::for_address(address), Type::DGRAM, Some(Protocol::UDP))?;
    socket.set_reuse_port(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    UdpSocket::from_std(socket.into())
}

/// The address that a listener is bound to, with the port that the system chose.
pub(super) fn bound_address(listener: &TcpListener, wanted: SocketAddr) -> SocketAddr {
    listener.local_addr().unwrap_or(wanted)
}

/// Starts the task of a connection that was accepted.
pub(super) type ConnectionStarter = Rc<dyn Fn(TcpStream)>;

/// A listener, and the task that accepts its connections.
pub(super) struct AcceptGate {
    /// The address as configured, perhaps with port 0.
    wanted: SocketAddr,
    listener: Rc<TcpListener>,
    task: JoinHandle<()>,
    /// The front that takes its connections; none for the admin endpoint.
    front: Option<GateFront>,
}

/// The front behind a gate.
#[derive(Clone)]
struct GateFront {
    accepting: Accepting,
    start_connection: ConnectionStarter,
}

impl AcceptGate {
    /// Accepts a front's connections, whenever the fronts accept any.
    pub(super) fn open_front(
        accepting: &Accepting,
        wanted: SocketAddr,
        listener: Rc<TcpListener>,
        start_connection: ConnectionStarter,
    ) -> AcceptGate {
        let front = GateFront { accepting: accepting.clone(), start_connection };
        let accept_connections = accept_connections(listener.clone(), front.clone());
        let task = tokio::task::spawn_local(accept_connections);
        AcceptGate { wanted, listener, task, front: Some(front) }
    }

    /// Runs the task that accepts admin clients.
    pub(super) fn open_admin_endpoint(
        wanted: SocketAddr,
        listener: Rc<TcpListener>,
        accept_clients: impl Future<Output = ()> + 'static,
    ) -> AcceptGate {
        log_event!(LogEvent::AdminEndpointOpen { address: bound_address(&listener, wanted) });
        AcceptGate { wanted, listener, task: tokio::task::spawn_local(accept_clients), front: None }
    }

    /// Whether this gate was configured with that address.
    pub(super) fn is_at(&self, wanted: SocketAddr) -> bool {
        self.wanted == wanted
    }

    /// The listener of an old gate that was configured with this address, or else a new one.
    ///
    /// # Errors
    ///
    /// [`TransportError::Listen`] when a new one cannot be opened.
    pub(super) fn reuse_listener(
        old: Option<&AcceptGate>,
        wanted: SocketAddr,
    ) -> Result<Rc<TcpListener>, TransportError> {
        match old.filter(|gate| gate.is_at(wanted)) {
            Some(gate) => Ok(gate.listener.clone()),
            None => listen(wanted),
        }
    }

    /// Takes the place of an old gate, which accepts nothing more.
    pub(super) fn replace(self, old: &mut Option<AcceptGate>) {
        let listener = self.listener.clone();
        if let Some(old) = old.replace(self) {
            old.close();
            if !Rc::ptr_eq(&old.listener, &listener) {
                old.accept_queued();
            }
        }
    }

    /// Accepts nothing more.
    pub(super) fn close(&self) {
        self.task.abort();
    }

    /// Accepts what waits in the listener's queue, unless a successor listens on the same socket and accepts
    /// it. Closed with the listener, these connections would be reset without an answer.
    pub(super) fn accept_queued(&self) {
        let Some(front) = self.front.as_ref().filter(|front| front.accepting.is_on()) else { return };
        // The runtime may not have learned of them yet, so the system itself is asked.
        while let Ok((socket, _)) = socket2::SockRef::from(&*self.listener).accept() {
            let stream = socket.set_nonblocking(true).map(|()| std::net::TcpStream::from(socket));
            if let Ok(stream) = stream.and_then(TcpStream::from_std) {
                (front.start_connection)(stream);
            }
        }
    }
}

async fn accept_connections(listener: Rc<TcpListener>, front: GateFront) {
    let GateFront { accepting, start_connection } = front;
    let start_connection = async |stream| {
        start_connection(stream);
        // Where many come at once, none may be judged before its first line could be read.
        tokio::task::yield_now().await;
    };
    let wait_until_accepting = async |open| accepting.wait_until(open).await;
    accept_each(&listener, wait_until_accepting, start_connection).await;
}

/// Accepts connections for ever, whenever the gate is open. `wait_for_gate` waits until it is open, or until
/// it is closed. Cancellation-safe: an accept that is given up takes nothing out of the queue.
pub(super) async fn accept_each(
    listener: &TcpListener,
    wait_for_gate: impl AsyncFn(bool),
    mut start_connection: impl AsyncFnMut(TcpStream),
) {
    let mut retry_interval = MIN_ACCEPT_RETRY_INTERVAL;
    loop {
        wait_for_gate(true).await;
        let accepted = tokio::select! {
            biased;
            () = wait_for_gate(false) => continue,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                start_connection(stream).await;
                retry_interval = MIN_ACCEPT_RETRY_INTERVAL;
            }
            Err(error) => {
                if retry_interval == MIN_ACCEPT_RETRY_INTERVAL {
                    log_event!(LogEvent::AcceptFailed { error: &error });
                }
                // With no descriptor free, accept fails at once, again and again.
                tokio::time::sleep(retry_interval).await;
                retry_interval = (retry_interval * 2).min(MAX_ACCEPT_RETRY_INTERVAL);
            }
        }
    }
}
