//! Observations for replays, and recordings of the fronts' traffic.

use super::super::observation::{Observation, Observer};
use super::super::record::Recorder;
use super::Driver;
use crate::routing::ConnectionId;
use crate::Time;

impl Driver {
    /// Observes all connections from now on.
    pub(crate) fn start_observing(&self) {
        *self.observer.borrow_mut() = Some(Observer::default());
    }

    /// What was observed of a connection so far.
    pub(crate) fn observations(&self, connection: ConnectionId) -> Vec<Observation> {
        let observer = self.observer.borrow();
        observer.as_ref().map(|observer| observer.observations(connection)).unwrap_or_default()
    }

    /// Records the fronts' traffic from now on, if there is a recorder.
    pub(crate) fn set_recorder(&self, recorder: Option<Recorder>) {
        *self.recorder.borrow_mut() = recorder;
    }

    /// Adds to the recording, if there is one, what `records` makes at the present time.
    pub(crate) fn record(&self, records: impl FnOnce(Time) -> Vec<u8>) {
        if let Some(recorder) = self.recorder.borrow_mut().as_mut() {
            recorder.write(&records(self.now()));
        }
    }
}
