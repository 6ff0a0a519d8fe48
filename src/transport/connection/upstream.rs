//! The current attempt of a connection: idle, connecting to a server, or connected to it.

use std::future::Future;
use std::io;
use std::pin::Pin;

use rustix::io::Errno;
use tokio::net::TcpStream;

use super::socket_end::SocketEnd;

/// A TCP connection that is being established.
pub(super) type Connecting = Pin<Box<dyn Future<Output = io::Result<TcpStream>>>>;

/// An attempt whose TCP connection is established.
pub(super) struct Attempt {
    pub(super) socket: SocketEnd,
    /// Whether the request has been written in full.
    pub(super) request_forwarded: bool,
}

/// The parts of an attempt that the task of a connection waits on.
pub(super) struct Awaited<'a> {
    /// The pending connect, if the attempt is connecting.
    pub(super) connecting: Option<&'a mut Connecting>,
    /// The attempt's socket, if the attempt is connected.
    pub(super) socket: Option<&'a SocketEnd>,
}

/// State of a connection's current attempt.
pub(super) enum Upstream {
    /// There is no attempt.
    Idle,
    /// The TCP connection is being established. The request is sent afterwards.
    Connecting { connecting: Connecting, request: Vec<u8> },
    /// The TCP connection is established.
    Connected(Attempt),
}

impl Upstream {
    /// Starts to connect to an address.
    pub(super) fn connect(address: String, request: Vec<u8>) -> Upstream {
        let connecting = Box::pin(async move { TcpStream::connect(address).await });
        Upstream::Connecting { connecting, request }
    }

    /// Creates a connected attempt from a socket that the predecessor established.
    pub(super) fn adopt(stream: TcpStream) -> Upstream {
        let socket = SocketEnd::new(stream, Vec::new());
        Upstream::Connected(Attempt { socket, request_forwarded: true })
    }

    /// Creates a connected attempt whose request is pending.
    pub(super) fn send_request(stream: TcpStream, request: Vec<u8>) -> Upstream {
        let socket = SocketEnd::new(stream, request);
        Upstream::Connected(Attempt { socket, request_forwarded: false })
    }

    pub(super) fn attempt(&self) -> Option<&Attempt> {
        match self {
            Upstream::Connected(attempt) => Some(attempt),
            _ => None,
        }
    }

    pub(super) fn attempt_mut(&mut self) -> Option<&mut Attempt> {
        match self {
            Upstream::Connected(attempt) => Some(attempt),
            _ => None,
        }
    }

    pub(super) fn socket(&self) -> Option<&SocketEnd> {
        self.attempt().map(|attempt| &attempt.socket)
    }

    pub(super) fn socket_mut(&mut self) -> Option<&mut SocketEnd> {
        self.attempt_mut().map(|attempt| &mut attempt.socket)
    }

    /// Returns the pending connect or the socket, whichever exists.
    pub(super) fn awaited(&mut self) -> Awaited<'_> {
        match self {
            Upstream::Idle => Awaited { connecting: None, socket: None },
            Upstream::Connecting { connecting, .. } => Awaited { connecting: Some(connecting), socket: None },
            Upstream::Connected(attempt) => Awaited { connecting: None, socket: Some(&attempt.socket) },
        }
    }

    /// Closes the socket of a connected attempt. An attempt that is still connecting is not changed.
    pub(super) fn close_connected(&mut self) {
        self.take_connected();
    }

    /// Takes the socket of a connected attempt. An attempt that is still connecting is not changed.
    pub(super) fn take_connected(&mut self) -> Option<SocketEnd> {
        match std::mem::replace(self, Upstream::Idle) {
            Upstream::Connected(attempt) => Some(attempt.socket),
            other => {
                *self = other;
                None
            }
        }
    }

    /// Takes the request of an attempt that is connecting, and makes the attempt idle.
    pub(super) fn take_request(&mut self) -> Option<Vec<u8>> {
        match std::mem::replace(self, Upstream::Idle) {
            Upstream::Connecting { request, .. } => Some(request),
            other => {
                *self = other;
                None
            }
        }
    }

    /// Returns whether there is a connected attempt whose request has not been written in full.
    pub(super) fn is_request_pending(&self) -> bool {
        self.attempt().is_some_and(|attempt| !attempt.request_forwarded)
    }

    /// Returns whether no more bytes will be written to the attempt, or there is no connected attempt.
    pub(super) fn is_write_finished(&self) -> bool {
        self.socket().is_none_or(SocketEnd::is_write_finished)
    }
}

/// Waits for a connect. Never returns if there is none. Cancellation-safe: the owner keeps the pending
/// connect.
pub(super) async fn wait_connected(connecting: Option<&mut Connecting>) -> io::Result<TcpStream> {
    match connecting {
        Some(connecting) => connecting.await,
        None => std::future::pending().await,
    }
}

/// Returns whether a connect failed because this machine has no free descriptor, memory or port.
pub(super) fn is_local_shortage(error: &io::Error) -> bool {
    use io::ErrorKind::{AddrNotAvailable, OutOfMemory};
    matches!(error.kind(), AddrNotAvailable | OutOfMemory)
        || matches!(Errno::from_io_error(error), Some(Errno::MFILE | Errno::NFILE))
}
