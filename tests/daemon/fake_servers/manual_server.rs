//! A server whose connections the test accepts one by one.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use super::{wait_until, Client};

/// A server whose connections the test accepts one by one.
pub(crate) struct ManualServer {
    pub address: SocketAddr,
    listener: TcpListener,
    /// Connections of the test itself, which fill the queue while no other is to be established.
    queued: Vec<TcpStream>,
}

impl ManualServer {
    pub(crate) fn start() -> ManualServer {
        ManualServer::with_queue(128)
    }

    /// A server at which no connection is established until [`ManualServer::empty_queue`].
    pub(crate) fn start_with_full_queue() -> ManualServer {
        let mut server = ManualServer::with_queue(0);
        let connect = || TcpStream::connect_timeout(&server.address, Duration::from_millis(200)).ok();
        // The queue takes one or two, by the system; one that is not taken shows that it is full.
        server.queued = std::iter::from_fn(connect).collect();
        server
    }

    fn with_queue(length: i32) -> ManualServer {
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
        socket.listen(length).expect("listens");
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().expect("an address");
        ManualServer { address, listener, queued: Vec::new() }
    }

    /// Lets connections be established from now on.
    pub(crate) fn empty_queue(&mut self) {
        for _ in self.queued.drain(..) {
            self.listener.accept().expect("the test's own");
        }
    }

    /// The next connection.
    pub(crate) fn accept(&self) -> Client {
        let mut accepted = None;
        wait_until("a connection comes", || {
            accepted = self.try_accept();
            accepted.is_some()
        });
        accepted.expect("one")
    }

    /// The next connection, if one is there.
    pub(crate) fn try_accept(&self) -> Option<Client> {
        self.listener.set_nonblocking(true).expect("a socket");
        let accepted = self.listener.accept().ok();
        self.listener.set_nonblocking(false).expect("a socket");
        accepted.map(|(stream, _)| {
            stream.set_nonblocking(false).expect("a socket");
            Client::over(stream)
        })
    }
}
