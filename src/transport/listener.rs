//! Listening sockets, and the tasks that accept their connections.

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

/// Connections that may wait to be accepted: enough for a burst of reconnecting clients.
const LISTEN_BACKLOG: i32 = 1024;
/// Backoff after a failed accept, which doubles at each failure in a row.
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
    // A new process must be able to serve beside a predecessor that hangs.
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
pub(super) fn bound_address(listener: &TcpListener, configured: SocketAddr) -> SocketAddr {
    listener.local_addr().unwrap_or(configured)
}

/// Starts the task of a connection that was accepted.
pub(super) type ConnectionStarter = Rc<dyn Fn(TcpStream)>;

/// A listener, and the task that accepts its connections.
pub(super) struct AcceptGate {
    /// The address as configured, perhaps with port 0.
    configured: SocketAddr,
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
        configured: SocketAddr,
        listener: Rc<TcpListener>,
        start_connection: ConnectionStarter,
    ) -> AcceptGate {
        let front = GateFront { accepting: accepting.clone(), start_connection };
        let accept_connections = accept_connections(listener.clone(), front.clone());
        let task = tokio::task::spawn_local(accept_connections);
        AcceptGate { configured, listener, task, front: Some(front) }
    }

    /// Runs the task that accepts admin clients.
    pub(super) fn open_admin_endpoint(
        configured: SocketAddr,
        listener: Rc<TcpListener>,
        accept_clients: impl Future<Output = ()> + 'static,
    ) -> AcceptGate {
        log_event!(LogEvent::AdminEndpointOpen { address: bound_address(&listener, configured) });
        AcceptGate { configured, listener, task: tokio::task::spawn_local(accept_clients), front: None }
    }

    /// Whether this gate was configured with that address.
    pub(super) fn is_at(&self, configured: SocketAddr) -> bool {
        self.configured == configured
    }

    /// The listener of an old gate that was configured with this address, or else a new one.
    ///
    /// # Errors
    ///
    /// [`TransportError::Listen`] when a new one cannot be opened.
    pub(super) fn reuse_listener(
        old: Option<&AcceptGate>,
        configured: SocketAddr,
    ) -> Result<Rc<TcpListener>, TransportError> {
        match old.filter(|gate| gate.is_at(configured)) {
            Some(gate) => Ok(gate.listener.clone()),
            None => listen(configured),
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

    /// Accepts the connections in the listener's queue, which would be reset when the listener is closed. Does
    /// nothing while a successor accepts from the same socket.
    pub(super) fn accept_queued(&self) {
        let Some(front) = self.front.as_ref().filter(|front| front.accepting.is_on()) else { return };
        // The runtime may not know of them yet, so this accepts from the system directly.
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
        // The new connection's task can read its first line before the next connection is accepted.
        tokio::task::yield_now().await;
    };
    let wait_until_accepting = async |open| accepting.wait_until(open).await;
    accept_each(&listener, wait_until_accepting, start_connection).await;
}

/// Accepts connections for ever, whenever the gate is open. `wait_for_gate` waits until it is open, or until
/// it is closed. Cancellation-safe: a cancelled accept takes nothing out of the queue.
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
                // Without a free descriptor accept fails at once, so a retry must wait.
                tokio::time::sleep(retry_interval).await;
                retry_interval = (retry_interval * 2).min(MAX_ACCEPT_RETRY_INTERVAL);
            }
        }
    }
}
