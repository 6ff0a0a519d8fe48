//! When each side of a connection is read. A side is not read while its bytes, or the answers to them, would
//! exceed the buffers.

use super::closing::MAX_DISCARDED_BYTES;
use super::socket_end::SocketEnd;
use super::Connection;

impl Connection {
    /// Returns whether the buffers have capacity for more bytes from the client, and for the answers to them.
    pub(super) fn can_read_client(&self) -> bool {
        let pending = self.upstream.socket().map_or(0, SocketEnd::pending_len) + self.front.buffered_bytes();
        let answers_fit = !self.has_unread_answers || self.client.pending_len() < self.buffer_limit;
        // Before a connection is established, its front's protocol enforces its own limit.
        let has_capacity = (pending < self.buffer_limit && answers_fit) || !self.established;
        has_capacity && self.discarded_bytes < MAX_DISCARDED_BYTES
    }

    /// Returns whether the buffers have capacity for more bytes from the server.
    ///
    /// Before a connection is established, the front itself answers the server, so that the answers that the
    /// server does not read count as well. Afterwards the bytes that are pending for the server are the
    /// client's. They do not count: a server that writes before it reads on would never finish its write.
    pub(super) fn can_read_attempt(&self) -> bool {
        let answers = self.upstream.socket().filter(|_| !self.established).map_or(0, SocketEnd::pending_len);
        self.client.pending_len() < self.buffer_limit && answers < self.buffer_limit
    }
}
