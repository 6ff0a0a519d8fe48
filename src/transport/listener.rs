//! Listening sockets, and the tasks that accept connections on them.

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

/// Maximum length of a listener's queue of connections that are not accepted yet. It is long enough for a
/// burst of reconnecting clients.
const LISTEN_BACKLOG: i32 = 1024;
/// Initial backoff after a failed accept. The backoff doubles with each consecutive failure.
const MIN_ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// Upper limit of the backoff after failed accepts.
const MAX_ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Opens a TCP listener at an address.
///
/// # Errors
///
/// Returns [`TransportError::Listen`] if the socket cannot be opened or bound.
pub(super) fn listen(address: SocketAddr) -> Result<Rc<TcpListener>, TransportError> {
    bind_listener(address).map(Rc::new).map_err(|source| TransportError::Listen { address, source })
}

fn bind_listener(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    // A new process must be able to listen on the address while a predecessor that hangs still holds it.
    socket.set_reuse_port(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Opens a UDP socket at an address. The predecessor may still have a socket at the same address.
///
/// # Errors
///
/// Returns an error if the socket cannot be opened or bound.
pub(super) fn bind_shared_datagrams(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = Socket::new(Domain::for_address(address), Type::DGRAM, Some(Protocol::UDP))?;
    socket.set_reuse_port(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    UdpSocket::from_std(socket.into())
}

/// Returns the address that a listener is bound to, with the port that the system chose for a configured
/// port 0.
pub(super) fn bound_address(listener: &TcpListener, configured: SocketAddr) -> SocketAddr {
    listener.local_addr().unwrap_or(configured)
}

/// Starts the task of an accepted connection.
pub(super) type ConnectionStarter = Rc<dyn Fn(TcpStream)>;

/// A listener, and the task that accepts connections on it.
pub(super) struct Acceptor {
    /// The address as configured. Its port may be 0.
    configured: SocketAddr,
    listener: Rc<TcpListener>,
    task: JoinHandle<()>,
    /// The front that serves the accepted connections; none for the admin endpoint.
    front: Option<AcceptorFront>,
}

/// The front that serves the connections of an acceptor.
#[derive(Clone)]
struct AcceptorFront {
    accepting: Accepting,
    start_connection: ConnectionStarter,
}

impl Acceptor {
    /// Starts to accept a front's connections. The task pauses while `accepting` is off.
    pub(super) fn open_front(
        accepting: &Accepting,
        configured: SocketAddr,
        listener: Rc<TcpListener>,
        start_connection: ConnectionStarter,
    ) -> Acceptor {
        let front = AcceptorFront { accepting: accepting.clone(), start_connection };
        let accept_connections = accept_connections(listener.clone(), front.clone());
        let task = tokio::task::spawn_local(accept_connections);
        Acceptor { configured, listener, task, front: Some(front) }
    }

    /// Starts the task that accepts admin clients, and logs the endpoint's address.
    pub(super) fn open_admin_endpoint(
        configured: SocketAddr,
        listener: Rc<TcpListener>,
        accept_clients: impl Future<Output = ()> + 'static,
    ) -> Acceptor {
        log_event!(LogEvent::AdminEndpointOpen { address: bound_address(&listener, configured) });
        Acceptor { configured, listener, task: tokio::task::spawn_local(accept_clients), front: None }
    }

    /// Returns whether this acceptor was configured with the given address.
    pub(super) fn is_at(&self, configured: SocketAddr) -> bool {
        self.configured == configured
    }

    /// Returns the listener of an old acceptor if it was configured with the given address, and opens a new
    /// listener otherwise.
    ///
    /// # Errors
    ///
    /// Returns [`TransportError::Listen`] if a new listener cannot be opened.
    pub(super) fn reuse_listener(
        old: Option<&Acceptor>,
        configured: SocketAddr,
    ) -> Result<Rc<TcpListener>, TransportError> {
        match old.filter(|acceptor| acceptor.is_at(configured)) {
            Some(acceptor) => Ok(acceptor.listener.clone()),
            None => listen(configured),
        }
    }

    /// Replaces an old acceptor and stops it. If the old listener is not reused, the connections in its queue
    /// are accepted before the listener is closed.
    pub(super) fn replace(self, old: &mut Option<Acceptor>) {
        let listener = self.listener.clone();
        if let Some(old) = old.replace(self) {
            old.close();
            if !Rc::ptr_eq(&old.listener, &listener) {
                old.accept_queued();
            }
        }
    }

    /// Stops accepting connections.
    pub(super) fn close(&self) {
        self.task.abort();
    }

    /// Accepts all connections in the listener's queue, because closing the listener would reset them. Does
    /// nothing while a successor accepts connections from the same socket.
    pub(super) fn accept_queued(&self) {
        let Some(front) = self.front.as_ref().filter(|front| front.accepting.is_on()) else { return };
        // The runtime may not have been notified of these connections yet, so they are accepted by direct
        // system calls.
        while let Ok((socket, _)) = socket2::SockRef::from(&*self.listener).accept() {
            let stream = socket.set_nonblocking(true).map(|()| std::net::TcpStream::from(socket));
            if let Ok(stream) = stream.and_then(TcpStream::from_std) {
                (front.start_connection)(stream);
            }
        }
    }
}

async fn accept_connections(listener: Rc<TcpListener>, front: AcceptorFront) {
    let AcceptorFront { accepting, start_connection } = front;
    let start_connection = async |stream| {
        start_connection(stream);
        // Lets the new connection's task read its first line before the next connection is accepted.
        tokio::task::yield_now().await;
    };
    let wait_until_accepting = async |on| accepting.wait_until(on).await;
    accept_each(&listener, wait_until_accepting, start_connection).await;
}

/// Accepts connections while accepting is on. Never returns.
///
/// `wait_until_accepting` waits until accepting is on if its argument is true, and until it is off otherwise.
/// Cancellation-safe: a cancelled accept takes no connection out of the queue.
pub(super) async fn accept_each(
    listener: &TcpListener,
    wait_until_accepting: impl AsyncFn(bool),
    mut start_connection: impl AsyncFnMut(TcpStream),
) {
    let mut retry_interval = MIN_ACCEPT_RETRY_INTERVAL;
    loop {
        wait_until_accepting(true).await;
        let accepted = tokio::select! {
            biased;
            () = wait_until_accepting(false) => continue,
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
                // Without a free descriptor accept fails immediately, so a retry without a delay would spin.
                tokio::time::sleep(retry_interval).await;
                retry_interval = (retry_interval * 2).min(MAX_ACCEPT_RETRY_INTERVAL);
            }
        }
    }
}
