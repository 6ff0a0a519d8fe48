//! What the two sides of a hot restart need of the process.

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

/// Name of the replication socket among those that a successor is given.
pub(in crate::transport) const REPLICATION_SOCKET: &str = "store";

/// The state that the reducer has exported for a successor. Clones are handles of the same state.
#[derive(Clone, Default)]
pub(in crate::transport) struct ExportedState(Rc<RefCell<HandoverState>>);

impl ExportedState {
    /// Keeps the state until it is sent.
    pub(in crate::transport) fn set(&self, state: HandoverState) {
        *self.0.borrow_mut() = state;
    }

    /// Takes the state, and leaves none.
    pub(super) fn take(&self) -> HandoverState {
        std::mem::take(&mut self.0.borrow_mut())
    }
}

/// What the two sides of a hot restart need.
#[derive(Clone)]
pub(in crate::transport) struct HotRestartContext {
    /// What adopted connections need, and the connections that are transferred.
    pub connections: ConnectionContext,
    /// The fronts, whose listeners a successor goes on with.
    pub fronts: ActiveFronts,
    /// The channel to the peer process.
    pub peer_process: PeerProcess,
    /// The state for a successor.
    pub exported_state: ExportedState,
    /// The files of the replicated map, where it has any.
    pub files: Option<SharedFiles>,
    /// The socket for replica messages, where the replicated map is on.
    pub replication: Option<ReplicationSocket>,
}

impl HotRestartContext {
    /// The reducer.
    pub(super) fn reducer(&self) -> &ReducerHandle {
        &self.connections.reducer
    }

    /// Copies of the sockets that a successor goes on with.
    ///
    /// # Errors
    ///
    /// When a descriptor cannot be copied.
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

/// A socket that a successor goes on with.
pub(super) struct NamedSocket {
    /// Name of its front, or [`REPLICATION_SOCKET`].
    pub name: String,
    /// A copy of its descriptor.
    pub socket: OwnedFd,
}
