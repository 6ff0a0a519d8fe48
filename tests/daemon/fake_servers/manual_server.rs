//! A server whose connections the test accepts one by one.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use super::{wait_until, Client};

/// A server whose connections the test accepts one by one.
pub(crate) struct ManualServer {
    pub address: SocketAddr,
    listener: TcpListener,
    /// Connections of the test itself. They fill the accept queue, so that no other connection is
    /// established.
    queue_fillers: Vec<TcpStream>,
}

impl ManualServer {
    pub(crate) fn start() -> ManualServer {
        ManualServer::with_queue(128)
    }

    /// Starts a server at which no connection is established until [`ManualServer::empty_queue`].
    pub(crate) fn start_with_full_queue() -> ManualServer {
        let mut server = ManualServer::with_queue(0);
        let connect = || TcpStream::connect_timeout(&server.address, Duration::from_millis(200)).ok();
        // The queue accepts one or two connections, depending on the kernel. The first connect that fails
        // shows that it is full.
        server.queue_fillers = std::iter::from_fn(connect).collect();
        server
    }

    fn with_queue(length: i32) -> ManualServer {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)
            .expect("the socket is created");
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("the socket binds");
        socket.listen(length).expect("the socket listens");
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().expect("the listener has an address");
        ManualServer { address, listener, queue_fillers: Vec::new() }
    }

    /// Accepts the connections that fill the queue: from now on others are established.
    pub(crate) fn empty_queue(&mut self) {
        for _ in self.queue_fillers.drain(..) {
            self.listener.accept().expect("a connection of the test itself is accepted");
        }
    }

    /// Waits for the next connection and returns the server's end of it.
    pub(crate) fn accept(&self) -> Client {
        let mut accepted = None;
        wait_until("a connection arrives", || {
            accepted = self.try_accept();
            accepted.is_some()
        });
        accepted.expect("a connection was accepted")
    }

    /// Accepts the next connection if one is already established, and returns the server's end of it.
    pub(crate) fn try_accept(&self) -> Option<Client> {
        self.listener.set_nonblocking(true).expect("the mode is set");
        let accepted = self.listener.accept().ok();
        self.listener.set_nonblocking(false).expect("the mode is set");
        accepted.map(|(stream, _)| {
            stream.set_nonblocking(false).expect("the mode is set");
            Client::from_stream(stream)
        })
    }
}
