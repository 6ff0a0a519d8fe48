//! The client connections of this process, and the channels to their tasks.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::mpsc;

use super::commands::ConnectionCommand;
use super::id_sequence::IdSequence;
use crate::routing::ConnectionId;

/// Maximum number of checks that [`ConnectionRegistry::wait_until_empty`] makes.
const LAST_ANSWERS_STEPS: usize = 20;
/// Interval between these checks.
const LAST_ANSWERS_INTERVAL: Duration = Duration::from_millis(10);

/// The id of a newly registered connection, and the channel to its task.
pub(super) struct RegisteredConnection {
    /// Unique in this process, and never reused.
    pub id: ConnectionId,
    /// Receives the commands for the connection's task.
    pub commands: mpsc::UnboundedReceiver<ConnectionCommand>,
}

/// The connections that have a task. Clones refer to the same registry.
#[derive(Clone)]
pub(super) struct ConnectionRegistry {
    ids: IdSequence,
    /// Channels to the tasks. They are unbounded because a bounded channel could be full when a command is
    /// sent. The reducer sends each task at most two commands per attempt and one answer.
    tasks: Rc<RefCell<HashMap<ConnectionId, mpsc::UnboundedSender<ConnectionCommand>>>>,
}

impl ConnectionRegistry {
    /// Creates an empty registry. Connections get their ids from `ids`.
    pub(super) fn new(ids: IdSequence) -> ConnectionRegistry {
        ConnectionRegistry { ids, tasks: Rc::default() }
    }

    /// Registers a connection and assigns its id.
    pub(super) fn register(&self) -> RegisteredConnection {
        let id = ConnectionId(self.ids.next());
        let (sender, commands) = mpsc::unbounded_channel();
        self.tasks.borrow_mut().insert(id, sender);
        RegisteredConnection { id, commands }
    }

    /// Removes a connection whose task has ended and whose sockets are closed.
    pub(super) fn deregister(&self, connection: ConnectionId) {
        self.tasks.borrow_mut().remove(&connection);
    }

    /// Returns whether a connection is registered.
    pub(super) fn contains(&self, connection: ConnectionId) -> bool {
        self.tasks.borrow().contains_key(&connection)
    }

    /// Sends a command to a connection's task. The command is dropped if the task has ended.
    pub(super) fn send(&self, connection: ConnectionId, command: ConnectionCommand) {
        if let Some(task) = self.tasks.borrow().get(&connection) {
            let _ = task.send(command);
        }
    }

    /// Waits until no connection is registered because the last answers are written, for at most
    /// [`LAST_ANSWERS_STEPS`] intervals of [`LAST_ANSWERS_INTERVAL`]. Each step calls `accept_queued`, which
    /// accepts connections that are still in a listener's queue.
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
