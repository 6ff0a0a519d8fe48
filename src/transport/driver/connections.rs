//! The driver's connections: their tasks, and whether the fronts accept more.

use std::time::Duration;

use tokio::sync::mpsc;

use super::super::commands::ConnectionCommand;
use super::Driver;
use crate::routing::{ConnectionId, Input};

/// Longest time that [`Driver::wait_for_connections`] waits, in steps of [`LAST_ANSWERS_INTERVAL`].
const LAST_ANSWERS_STEPS: usize = 20;
const LAST_ANSWERS_INTERVAL: Duration = Duration::from_millis(10);

impl Driver {
    pub(super) fn next_id(&self) -> u64 {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        id
    }

    /// Registers a connection; returns its id, and the channel of its commands.
    pub(crate) fn register_connection(&self) -> (ConnectionId, mpsc::UnboundedReceiver<ConnectionCommand>) {
        let connection = ConnectionId(self.next_id());
        let (sender, commands) = mpsc::unbounded_channel();
        self.connections.borrow_mut().insert(connection, sender);
        (connection, commands)
    }

    /// Forgets a connection whose task has ended and whose sockets are closed.
    pub(crate) fn deregister_connection(&self, connection: ConnectionId) {
        self.connections.borrow_mut().remove(&connection);
        self.feed(Input::SocketsClosed { connection });
    }

    /// Whether a connection is registered.
    pub(crate) fn has_connection(&self, connection: ConnectionId) -> bool {
        self.connections.borrow().contains_key(&connection)
    }

    /// Sends a command to a connection's task. One whose task has just ended needs none.
    pub(crate) fn send_command(&self, connection: ConnectionId, command: ConnectionCommand) {
        if let Some(connection) = self.connections.borrow().get(&connection) {
            let _ = connection.send(command);
        }
    }

    /// Bytes that a connection may buffer for a side that does not read.
    pub(crate) fn buffer_limit(&self) -> usize {
        self.state.borrow().budget().buffer
    }

    /// Whether a deadline of a connection has passed that the reducer has not been fed yet.
    pub(crate) fn is_overdue(&self, connection: ConnectionId) -> bool {
        self.state.borrow().is_timer_expired(self.now(), connection)
    }

    /// Whether this process can serve.
    pub(crate) fn is_serving(&self) -> bool {
        self.state.borrow().serves()
    }

    /// Whether the fronts accept connections now.
    pub(crate) fn is_accepting(&self) -> bool {
        *self.accepting.borrow()
    }

    pub(super) fn set_accepting(&self, open: bool) {
        self.accepting.send_replace(open);
    }

    /// Waits until the fronts accept connections, or until they do not.
    pub(crate) async fn wait_until_accepting(&self, wanted: bool) {
        // It fails only when the sender is gone, which this driver owns.
        let _ = self.accepting.subscribe().wait_for(|open| *open == wanted).await;
    }

    /// Waits a short while until the last answers are written; `accept_queued` is called at each step for
    /// connections that still wait in a listener's queue.
    pub(crate) async fn wait_for_connections(&self, accept_queued: impl Fn()) {
        for _ in 0..LAST_ANSWERS_STEPS {
            accept_queued();
            if self.connections.borrow().is_empty() {
                return;
            }
            tokio::time::sleep(LAST_ANSWERS_INTERVAL).await;
        }
    }
}
