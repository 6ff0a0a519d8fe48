//! The attempt of a connection: connecting to a server, or connected to it.

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
    pub(super) end: SocketEnd,
    /// Whether the request is written in full.
    pub(super) request_forwarded: bool,
}

/// What the task of a connection waits for at its attempt.
pub(super) struct Awaited<'a> {
    /// The connect, while there is one.
    pub(super) connecting: Option<&'a mut Connecting>,
    /// The socket of a connected attempt.
    pub(super) socket: Option<&'a SocketEnd>,
}

/// The state of the attempt.
pub(super) enum Upstream {
    /// There is no attempt.
    Idle,
    /// The TCP connection is being established; the request follows.
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

    /// An attempt that the predecessor established.
    pub(super) fn adopt(stream: TcpStream) -> Upstream {
        let end = SocketEnd::new(stream, Vec::new());
        Upstream::Connected(Attempt { end, request_forwarded: true })
    }

    /// A connected attempt with its request pending.
    pub(super) fn send_request(stream: TcpStream, request: Vec<u8>) -> Upstream {
        let end = SocketEnd::new(stream, request);
        Upstream::Connected(Attempt { end, request_forwarded: false })
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

    pub(super) fn end(&self) -> Option<&SocketEnd> {
        self.attempt().map(|attempt| &attempt.end)
    }

    pub(super) fn end_mut(&mut self) -> Option<&mut SocketEnd> {
        self.attempt_mut().map(|attempt| &mut attempt.end)
    }

    /// The connect or the socket, whichever there is.
    pub(super) fn awaited(&mut self) -> Awaited<'_> {
        match self {
            Upstream::Idle => Awaited { connecting: None, socket: None },
            Upstream::Connecting { connecting, .. } => Awaited { connecting: Some(connecting), socket: None },
            Upstream::Connected(attempt) => Awaited { connecting: None, socket: Some(&attempt.end) },
        }
    }

    /// Closes the socket of a connected attempt. One that is connecting is left as it is.
    pub(super) fn close_connected(&mut self) {
        self.take_connected();
    }

    /// Takes the socket of a connected attempt. One that is connecting is left as it is.
    pub(super) fn take_connected(&mut self) -> Option<SocketEnd> {
        match std::mem::replace(self, Upstream::Idle) {
            Upstream::Connected(attempt) => Some(attempt.end),
            other => {
                *self = other;
                None
            }
        }
    }

    /// Takes the request of an attempt that is connecting.
    pub(super) fn take_request(&mut self) -> Option<Vec<u8>> {
        match std::mem::replace(self, Upstream::Idle) {
            Upstream::Connecting { request, .. } => Some(request),
            other => {
                *self = other;
                None
            }
        }
    }

    /// Whether there is a connected attempt whose request is not written in full.
    pub(super) fn is_request_pending(&self) -> bool {
        self.attempt().is_some_and(|attempt| !attempt.request_forwarded)
    }

    /// Whether nothing more will be written to a connected attempt, or there is none.
    pub(super) fn is_write_finished(&self) -> bool {
        self.end().is_none_or(SocketEnd::is_write_finished)
    }
}

/// Waits for a connect, or for ever if there is none. Cancellation-safe: the connect stays with its owner.
pub(super) async fn wait_connected(connecting: Option<&mut Connecting>) -> io::Result<TcpStream> {
    match connecting {
        Some(connecting) => connecting.await,
        None => std::future::pending().await,
    }
}

/// Whether a connect failed because this machine had no descriptor, memory or port left.
pub(super) fn is_local_shortage(error: &io::Error) -> bool {
    use io::ErrorKind::{AddrNotAvailable, OutOfMemory};
    matches!(error.kind(), AddrNotAvailable | OutOfMemory)
        || matches!(Errno::from_io_error(error), Some(Errno::MFILE | Errno::NFILE))
}
