//! The running daemon: what its reloads change, and what its end waits for.

use std::rc::Rc;

use tokio::sync::mpsc;

use super::super::driver::Driver;
use super::super::error::TransportError;
use super::super::listener::AcceptGate;
use crate::program::config::{Config, Sources, StoreConfig};

/// Names of the fronts, under which a successor is given their listeners.
pub(super) const PLATFORM_FRONT: &str = "platform";
pub(super) const IRC_FRONT: &str = "irc";

/// Reads and checks all configuration files.
pub(super) fn read_configuration(sources: &Sources) -> Result<Config, TransportError> {
    sources.read().map_err(|error| TransportError::Configuration(error.into()))
}

/// The daemon, with what a reload can change.
pub(super) struct Daemon {
    pub(super) driver: Rc<Driver>,
    /// Reports that the process can exit.
    pub(super) exit: mpsc::UnboundedReceiver<()>,
    pub(super) sources: Sources,
    pub(super) store: Option<StoreConfig>,
    pub(super) platform: Option<AcceptGate>,
    pub(super) irc: Option<AcceptGate>,
    pub(super) mgmt: Option<AcceptGate>,
}

impl Daemon {
    /// Waits until the last answers are written, those to connections that are still queued included.
    pub(super) async fn wait_for_last_answers(&self) {
        let accept_queued = || {
            for gate in [&self.platform, &self.irc].into_iter().flatten() {
                gate.accept_queued(&self.driver);
            }
        };
        self.driver.wait_for_connections(accept_queued).await;
    }
}
