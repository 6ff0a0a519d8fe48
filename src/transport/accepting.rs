//! Whether the fronts accept connections: set by the reducer, awaited by the tasks that accept.

use std::rc::Rc;

use tokio::sync::watch;

/// Whether the fronts accept connections. Clones are handles of the same switch.
#[derive(Clone)]
pub(super) struct Accepting(Rc<watch::Sender<bool>>);

impl Accepting {
    /// A switch that is on.
    pub(super) fn on() -> Accepting {
        Accepting(Rc::new(watch::Sender::new(true)))
    }

    /// Whether the fronts accept connections now.
    pub(super) fn is_on(&self) -> bool {
        *self.0.borrow()
    }

    /// Turns the switch on or off.
    pub(super) fn set(&self, on: bool) {
        self.0.send_replace(on);
    }

    /// Waits until the fronts accept connections, or until they do not.
    pub(super) async fn wait_until(&self, wanted: bool) {
        // It fails only when the sender is gone, which this handle owns.
        let _ = self.0.subscribe().wait_for(|on| *on == wanted).await;
    }
}
