//! A server whose connections the test accepts one by one.

use std::cell::RefCell;
use std::collections::VecDeque;
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
    /// Connections of others that were accepted while the queue was emptied.
    accepted_early: RefCell<VecDeque<Client>>,
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
        ManualServer { address, listener, queue_fillers: Vec::new(), accepted_early: RefCell::default() }
    }

    /// Accepts the connections that fill the queue: from now on others are established.
    ///
    /// Does not wait for a certain number of them. A filler can be established for its own side and not be in the
    /// queue, if the queue was full when its handshake completed. A wait for it would accept another connection in
    /// its place, and the test would never get that one.
    pub(crate) fn empty_queue(&mut self) {
        while let Some(connection) = self.accept_queued() {
            self.accepted_early.get_mut().push_back(connection);
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
        self.accepted_early.borrow_mut().pop_front().or_else(|| self.accept_queued())
    }

    /// Accepts the next connection in the queue that does not fill it.
    fn accept_queued(&self) -> Option<Client> {
        self.listener.set_nonblocking(true).expect("the mode is set");
        let accepted =
            std::iter::from_fn(|| self.listener.accept().ok()).find(|(_, peer)| !self.is_filler(*peer));
        self.listener.set_nonblocking(false).expect("the mode is set");
        accepted.map(|(stream, _)| {
            stream.set_nonblocking(false).expect("the mode is set");
            Client::from_stream(stream)
        })
    }

    fn is_filler(&self, peer: SocketAddr) -> bool {
        self.queue_fillers.iter().any(|filler| filler.local_addr().is_ok_and(|address| address == peer))
    }
}
