//! The channel to the peer process of a hot restart.

use std::cell::RefCell;
use std::rc::Rc;

use tokio::sync::mpsc;

use super::commands::PeerProcessMessage;

/// The channel to the peer process; closed while there is no peer process. Clones refer to the same channel.
#[derive(Clone, Default)]
pub(super) struct PeerProcess {
    /// Unbounded: the reducer sends a message for each established connection and each exclusion.
    outgoing: Rc<RefCell<Option<mpsc::UnboundedSender<PeerProcessMessage>>>>,
}

impl PeerProcess {
    /// Returns whether there is a peer process.
    pub(super) fn is_connected(&self) -> bool {
        self.outgoing.borrow().is_some()
    }

    /// Opens the channel and returns its receiver.
    pub(super) fn connect(&self) -> mpsc::UnboundedReceiver<PeerProcessMessage> {
        let (sender, outgoing) = mpsc::unbounded_channel();
        *self.outgoing.borrow_mut() = Some(sender);
        outgoing
    }

    /// Closes the channel after the peer process is lost.
    pub(super) fn disconnect(&self) {
        *self.outgoing.borrow_mut() = None;
    }

    /// Sends a message to the peer process. Drops the message if there is no peer process.
    pub(super) fn send(&self, message: PeerProcessMessage) {
        if let Some(outgoing) = self.outgoing.borrow().as_ref() {
            // The send fails if the peer process has just been lost. The loss is fed to the reducer.
            let _ = outgoing.send(message);
        }
    }
}
