//! What a hot restart needs of the driver: sockets, exported state, and the channel to the peer process.

use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::path::PathBuf;

use tokio::sync::mpsc;

use super::super::commands::PeerProcessMessage;
use super::super::excluded_servers;
use super::{ActiveFront, Driver};
use crate::protocol::Front;
use crate::routing::{AdminClientId, ConnectionId, EstablishedConnection, HandoverState, PoolId};

/// Name of the replication socket among those that a successor is given.
pub(crate) const REPLICATION_SOCKET: &str = "store";

/// A socket that a successor goes on with.
pub(crate) struct NamedSocket {
    /// Name of its front, or [`REPLICATION_SOCKET`].
    pub name: String,
    /// A copy of its descriptor.
    pub socket: OwnedFd,
}

impl Driver {
    /// Registers a front, in the place of an earlier one of that name.
    pub(crate) fn register_front(&self, name: &'static str, front: ActiveFront) {
        self.fronts.borrow_mut().insert(name, front);
    }

    /// A front's pool, and a new connection of its protocol.
    pub(crate) fn new_front_connection(&self, name: &str) -> Option<(PoolId, Box<dyn Front>)> {
        let fronts = self.fronts.borrow();
        fronts.get(name).map(|front| (front.pool, (front.factory)()))
    }

    /// The name of a pool's front.
    pub(crate) fn front_name(&self, pool: PoolId) -> Option<String> {
        let fronts = self.fronts.borrow();
        fronts.iter().find(|(_, front)| front.pool == pool).map(|(name, _)| (*name).to_owned())
    }
}

impl Driver {
    /// Copies of the sockets that a successor goes on with.
    ///
    /// # Errors
    ///
    /// When a descriptor cannot be copied.
    pub(crate) fn clone_sockets(&self) -> std::io::Result<Vec<NamedSocket>> {
        let fronts = self.fronts.borrow();
        let listeners = fronts.iter().map(|(name, front)| (*name, front.listener.as_fd()));
        let replication = self.replication.borrow().clone();
        let all = listeners.chain(replication.iter().map(|socket| (REPLICATION_SOCKET, socket.as_fd())));
        let clone = |(name, socket): (&str, BorrowedFd<'_>)| {
            Ok(NamedSocket { name: name.to_owned(), socket: socket.try_clone_to_owned()? })
        };
        all.map(clone).collect()
    }

    /// Sets the path of the socket on which a successor asks for this process's state.
    pub(crate) fn set_hot_restart_socket(&self, path: PathBuf) {
        *self.hot_restart_socket.borrow_mut() = Some(path);
    }

    /// Takes the state that was exported for a successor.
    pub(crate) fn take_exported_state(&self) -> HandoverState {
        std::mem::take(&mut self.exported_state.borrow_mut())
    }

    pub(super) fn export_state(&self, state: HandoverState) {
        *self.exported_state.borrow_mut() = state;
        // Two processes that append to one file would corrupt it.
        if let Some(files) = self.files.borrow_mut().as_mut() {
            files.close();
        }
    }

    /// Whether there is a peer process.
    pub(crate) fn has_peer_process(&self) -> bool {
        self.peer_process.borrow().is_some()
    }

    /// Sets the channel to the peer process, or none once it is gone.
    pub(crate) fn set_peer_process(&self, sender: Option<mpsc::UnboundedSender<PeerProcessMessage>>) {
        *self.peer_process.borrow_mut() = sender;
    }

    /// Sends a message to the peer process, if there is one.
    pub(crate) fn send_to_peer_process(&self, message: PeerProcessMessage) {
        if let Some(sender) = self.peer_process.borrow().as_ref() {
            // One that has just gone needs none; the reducer is fed its loss.
            let _ = sender.send(message);
        }
    }

    pub(super) fn transfer_connection(
        &self,
        connection: ConnectionId,
        pool: PoolId,
        established: EstablishedConnection,
    ) {
        let established = Box::new(established);
        self.send_to_peer_process(PeerProcessMessage::TransferConnection { connection, pool, established });
    }

    pub(super) fn share_exclusion(&self, admin_client: AdminClientId, server: String, excluded: bool) {
        self.send_to_peer_process(PeerProcessMessage::ShareExclusion { admin_client, server, excluded });
    }

    pub(super) fn persist_exclusions(&self, excluded: &[String]) {
        if let Some(socket) = self.hot_restart_socket.borrow().as_deref() {
            excluded_servers::persist_excluded(socket, excluded);
        }
    }
}
