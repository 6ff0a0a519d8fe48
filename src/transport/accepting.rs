//! The switch that tells whether the fronts accept connections. The reducer sets it, and the tasks that
//! accept connections wait on it.

use std::rc::Rc;

use tokio::sync::watch;

/// Switch for whether the fronts accept connections. Clones refer to the same switch.
#[derive(Clone)]
pub(super) struct Accepting(Rc<watch::Sender<bool>>);

impl Accepting {
    /// Creates a switch that is on.
    pub(super) fn on() -> Accepting {
        Accepting(Rc::new(watch::Sender::new(true)))
    }

    /// Returns whether the fronts accept connections.
    pub(super) fn is_on(&self) -> bool {
        *self.0.borrow()
    }

    /// Turns the switch on or off.
    pub(super) fn set(&self, on: bool) {
        self.0.send_replace(on);
    }

    /// Waits until the switch is in the given position.
    pub(super) async fn wait_until(&self, on: bool) {
        // The wait fails only after the sender is dropped, and this handle owns the sender.
        let _ = self.0.subscribe().wait_for(|current| *current == on).await;
    }
}
