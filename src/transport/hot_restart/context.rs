//! The parts of a process that both sides of a hot restart use: connections, fronts, sockets and files.

use std::cell::RefCell;
use std::io;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::rc::Rc;

use super::super::connection::ConnectionContext;
use super::super::datagrams::ReplicationSocket;
use super::super::files::SharedFiles;
use super::super::fronts::ActiveFronts;
use super::super::peer_process::PeerProcess;
use super::super::reducer::ReducerHandle;
use crate::routing::HandoverState;

/// Name under which the replication socket is passed to a successor.
pub(in crate::transport) const REPLICATION_SOCKET: &str = "store";

/// The state that the reducer has exported for a successor. Clones refer to the same state.
#[derive(Clone, Default)]
pub(in crate::transport) struct ExportedState(Rc<RefCell<HandoverState>>);

impl ExportedState {
    /// Stores the state until it is sent.
    pub(in crate::transport) fn set(&self, state: HandoverState) {
        *self.0.borrow_mut() = state;
    }

    /// Takes the state and leaves an empty state.
    pub(super) fn take(&self) -> HandoverState {
        std::mem::take(&mut self.0.borrow_mut())
    }
}

/// Shared handles that both sides of a hot restart use.
#[derive(Clone)]
pub(in crate::transport) struct HotRestartContext {
    /// Starts the tasks of adopted connections, and routes commands to connections that are transferred.
    pub connections: ConnectionContext,
    /// The fronts, whose listeners are passed to a successor.
    pub fronts: ActiveFronts,
    /// The channel to the peer process.
    pub peer_process: PeerProcess,
    /// The state for a successor.
    pub exported_state: ExportedState,
    /// The files of the replicated map; none if the map is kept only in memory or not configured.
    pub files: Option<SharedFiles>,
    /// The socket for replica messages; none if the replicated map is not configured.
    pub replication: Option<ReplicationSocket>,
}

impl HotRestartContext {
    /// Returns the reducer that the connections feed.
    pub(super) fn reducer(&self) -> &ReducerHandle {
        &self.connections.reducer
    }

    /// Returns copies of the sockets that a successor continues to use.
    ///
    /// # Errors
    ///
    /// Returns an error if a descriptor cannot be copied.
    pub(super) fn clone_sockets(&self) -> io::Result<Vec<NamedSocket>> {
        let clone = |name: &str, socket: BorrowedFd<'_>| {
            Ok(NamedSocket { name: name.to_owned(), socket: socket.try_clone_to_owned()? })
        };
        let listeners = self.fronts.listeners();
        let listeners = listeners.iter().map(|front| clone(front.name, front.listener.as_fd()));
        let replication =
            self.replication.iter().map(|socket| clone(REPLICATION_SOCKET, socket.socket().as_fd()));
        listeners.chain(replication).collect()
    }
}

/// A socket that a successor continues to use.
pub(super) struct NamedSocket {
    /// Name of its front, or [`REPLICATION_SOCKET`].
    pub name: String,
    /// A copy of the socket's descriptor.
    pub socket: OwnedFd,
}
