//! The channel to the peer process of a hot restart, while there is one.

use std::cell::RefCell;
use std::rc::Rc;

use tokio::sync::mpsc;

use super::commands::PeerProcessMessage;

/// The channel to the peer process. Clones are handles of the same channel.
#[derive(Clone, Default)]
pub(super) struct PeerProcess {
    /// Unbounded: the reducer sends a message for each established connection and each exclusion.
    outgoing: Rc<RefCell<Option<mpsc::UnboundedSender<PeerProcessMessage>>>>,
}

impl PeerProcess {
    /// Whether there is a peer process.
    pub(super) fn is_connected(&self) -> bool {
        self.outgoing.borrow().is_some()
    }

    /// Opens the channel; returns its other end.
    pub(super) fn connect(&self) -> mpsc::UnboundedReceiver<PeerProcessMessage> {
        let (sender, outgoing) = mpsc::unbounded_channel();
        *self.outgoing.borrow_mut() = Some(sender);
        outgoing
    }

    /// Closes the channel: the peer process is gone.
    pub(super) fn disconnect(&self) {
        *self.outgoing.borrow_mut() = None;
    }

    /// Sends a message to the peer process, if there is one.
    pub(super) fn send(&self, message: PeerProcessMessage) {
        if let Some(outgoing) = self.outgoing.borrow().as_ref() {
            // One that has just gone needs none; the reducer is fed its loss.
            let _ = outgoing.send(message);
        }
    }
}
