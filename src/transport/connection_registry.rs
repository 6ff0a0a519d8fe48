//! The connections of this process, and the channels to their tasks.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::mpsc;

use super::commands::ConnectionCommand;
use super::id_sequence::IdSequence;
use crate::routing::ConnectionId;

/// Longest time that [`ConnectionRegistry::wait_until_empty`] waits, in steps of [`LAST_ANSWERS_INTERVAL`].
const LAST_ANSWERS_STEPS: usize = 20;
const LAST_ANSWERS_INTERVAL: Duration = Duration::from_millis(10);

/// The connections that have a task. Clones are handles of the same registry.
#[derive(Clone)]
pub(super) struct ConnectionRegistry {
    ids: IdSequence,
    /// Channels to the tasks. They are unbounded, since a bounded one could be full when a command comes; the
    /// reducer gives each task at most two commands an attempt and one answer.
    tasks: Rc<RefCell<HashMap<ConnectionId, mpsc::UnboundedSender<ConnectionCommand>>>>,
}

impl ConnectionRegistry {
    /// An empty registry that numbers its connections by a sequence.
    pub(super) fn new(ids: IdSequence) -> ConnectionRegistry {
        ConnectionRegistry { ids, tasks: Rc::default() }
    }

    /// Registers a connection; returns its id, and the channel of its commands.
    pub(super) fn register(&self) -> (ConnectionId, mpsc::UnboundedReceiver<ConnectionCommand>) {
        let connection = ConnectionId(self.ids.next());
        let (sender, commands) = mpsc::unbounded_channel();
        self.tasks.borrow_mut().insert(connection, sender);
        (connection, commands)
    }

    /// Removes a connection whose task has ended and whose sockets are closed.
    pub(super) fn deregister(&self, connection: ConnectionId) {
        self.tasks.borrow_mut().remove(&connection);
    }

    /// Whether a connection is registered.
    pub(super) fn contains(&self, connection: ConnectionId) -> bool {
        self.tasks.borrow().contains_key(&connection)
    }

    /// Sends a command to a connection's task. One whose task has just ended needs none.
    pub(super) fn send(&self, connection: ConnectionId, command: ConnectionCommand) {
        if let Some(task) = self.tasks.borrow().get(&connection) {
            let _ = task.send(command);
        }
    }

    /// Waits a short while until the last answers are written; `accept_queued` is called at each step for
    /// connections that still wait in a listener's queue.
    pub(super) async fn wait_until_empty(&self, accept_queued: impl Fn()) {
        for _ in 0..LAST_ANSWERS_STEPS {
            accept_queued();
            if self.tasks.borrow().is_empty() {
                return;
            }
            tokio::time::sleep(LAST_ANSWERS_INTERVAL).await;
        }
    }
}
