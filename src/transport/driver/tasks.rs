//! Commands for the tasks of watches and probes, and the files of the replicated map.

use std::time::Duration;

use tokio::sync::mpsc;

use super::super::commands::{ProbeCommand, WatchCommand};
use super::super::files::Files;
use super::Driver;
use crate::routing::store::Entry;
use crate::routing::PoolId;
use crate::{Micros, ServerId};

impl Driver {
    /// Persists the entries of the replicated map in these files from now on.
    pub(crate) fn set_files(&self, files: Files) {
        *self.files.borrow_mut() = Some(files);
    }

    /// Opens the files again after a successor is gone.
    pub(crate) fn reopen_files(&self) {
        if let Some(files) = self.files.borrow_mut().as_mut() {
            files.reopen(self.state.borrow().store());
        }
    }

    pub(super) fn persist_entry(&self, key: &str, entry: &Entry) {
        if let Some(files) = self.files.borrow_mut().as_mut() {
            files.persist(key, entry);
        }
    }
}

impl Driver {
    /// Sets the channel to the task of the watches.
    pub(crate) fn set_watches(&self, watches: mpsc::UnboundedSender<WatchCommand>) {
        *self.watches.borrow_mut() = Some(watches);
    }

    /// Sends a command to the task of the watches.
    pub(crate) fn send_watch_command(&self, command: WatchCommand) {
        if let Some(watches) = self.watches.borrow().as_ref() {
            // The task ends only with this process.
            let _ = watches.send(command);
        }
    }

    /// Sets the channel to the task of the probes.
    pub(crate) fn set_probes(&self, probes: mpsc::UnboundedSender<ProbeCommand>) {
        *self.probes.borrow_mut() = Some(probes);
    }

    pub(super) fn send_probe(
        &self,
        pool: PoolId,
        server: ServerId,
        address: String,
        load_names: Vec<&'static str>,
        timeout: Micros,
    ) {
        let timeout = Duration::from(timeout);
        if let Some(probes) = self.probes.borrow().as_ref() {
            // The task ends only with this process.
            let _ = probes.send(ProbeCommand { pool, server, address, load_names, timeout });
        }
    }
}
