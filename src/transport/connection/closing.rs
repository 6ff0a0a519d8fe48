//! The end of a connection: how long its sockets remain open to deliver pending bytes.

use std::time::Duration;

use tokio::time::Instant;

use super::upstream::Upstream;
use super::Connection;

/// Longest time for which a closing connection keeps its sockets open, so that its last lines are delivered.
pub(super) const CLOSE_TIMEOUT: Duration = Duration::from_millis(700);
/// Time without bytes from the client after which a closing connection is closed before [`CLOSE_TIMEOUT`], if
/// all pending bytes are written. The early close frees descriptors for other connections.
const QUIET_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum number of bytes that are read and discarded from a client that already has its answer. Closing the
/// socket while bytes are unread would reset the connection, and the answer could be lost. The limit applies
/// to clients that never stop sending.
pub(super) const MAX_DISCARDED_BYTES: usize = 128 << 10;

impl Connection {
    /// Starts to close both sides. Each side is shut down when its pending bytes are written.
    pub(super) fn close_in_order(&mut self) {
        self.client.close_when_written();
        match &mut self.upstream {
            Upstream::Connected(attempt) if attempt.request_forwarded => attempt.socket.close_when_written(),
            // A request that is not written in full must not be completed, so the attempt is dropped.
            upstream => *upstream = Upstream::Idle,
        }
        self.client_quiet_since = Instant::now();
        self.close_deadline.get_or_insert(self.client_quiet_since + CLOSE_TIMEOUT);
    }

    /// Returns the time at which the sockets are closed; none while the connection is open.
    pub(super) fn close_time(&self) -> Option<Instant> {
        let deadline = self.close_deadline?;
        // A flooding client has more bytes in flight. If they arrived after an early close, they would reset
        // the connection.
        let all_written = self.client.is_write_finished() && self.upstream.is_write_finished();
        if all_written && self.discarded_bytes < MAX_DISCARDED_BYTES {
            Some(deadline.min(self.client_quiet_since + QUIET_TIMEOUT))
        } else {
            Some(deadline)
        }
    }

    /// Returns whether both sides are closed in order, or the time to close them has passed.
    pub(super) fn is_close_due(&self, close_time: Instant) -> bool {
        let client_closed = self.client.is_write_finished() && self.client.is_read_ended();
        (client_closed && self.upstream.is_write_finished()) || Instant::now() >= close_time
    }

    pub(super) fn is_closing(&self) -> bool {
        self.close_deadline.is_some()
    }
}
