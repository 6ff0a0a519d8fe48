//! The daemon: its start, its reloads, and its end.

mod reload;
mod start;

use std::path::PathBuf;
use std::rc::Rc;

use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::mpsc;

use super::driver::Driver;
use super::error::TransportError;
use super::hot_restart;
use super::listener::AcceptGate;
use super::log_event::{log_event, LogEvent};
use super::record::Recorder;
use crate::program::config::{Config, Sources, StoreConfig};
use crate::routing::Input;
use start::Start;

/// Names of the fronts, under which a successor is given their listeners.
const PLATFORM_FRONT: &str = "platform";
const IRC_FRONT: &str = "irc";

/// Where the fronts' traffic is recorded.
#[derive(Clone, Debug)]
pub struct RecordingConfig {
    /// The pcap file, which is created anew.
    pub path: PathBuf,
    /// Bytes that it may grow to.
    pub max_bytes: usize,
}

/// Runs the daemon until its shutdown is complete, and records the fronts' traffic if that is configured.
///
/// # Errors
///
/// When the daemon cannot start.
pub fn serve(sources: Sources, recording: Option<RecordingConfig>) -> Result<(), TransportError> {
    let recorder = recording.map(Recorder::create).transpose()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(TransportError::RuntimeStart)?;
    tokio::task::LocalSet::new().block_on(&runtime, run(sources, recorder))
}

fn read_configuration(sources: &Sources) -> Result<Config, TransportError> {
    sources.read().map_err(|error| TransportError::Configuration(error.into()))
}

/// The signals that the daemon handles. One that nobody handles would end the process.
struct Signals {
    hangup: Signal,
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    fn install() -> Result<Signals, TransportError> {
        let install = |kind| signal(kind).map_err(TransportError::SignalHandler);
        Ok(Signals {
            hangup: install(SignalKind::hangup())?,
            terminate: install(SignalKind::terminate())?,
            interrupt: install(SignalKind::interrupt())?,
        })
    }
}

async fn run(sources: Sources, recorder: Option<Recorder>) -> Result<(), TransportError> {
    let mut signals = Signals::install()?;
    let config = read_configuration(&sources)?;
    crate::program::log::start(&config.log);
    let start = Start::begin(sources, config)?;
    let received = hot_restart::import_state(&start.hot_restart_socket).await;
    start.driver().set_recorder(recorder);
    let mut daemon = start.finish(received).await?;
    loop {
        tokio::select! {
            _ = signals.hangup.recv() => {
                if let Err(error) = daemon.reload() {
                    log_event!(LogEvent::ReloadFailed { error: &error });
                }
            }
            _ = signals.terminate.recv() => daemon.driver.feed(Input::ShutdownRequested),
            _ = signals.interrupt.recv() => daemon.driver.feed(Input::ShutdownRequested),
            _ = daemon.exit.recv() => break,
        }
    }
    daemon.wait_for_last_answers().await;
    log_event!(LogEvent::ShutDown);
    Ok(())
}

/// The daemon, with what a reload can change.
struct Daemon {
    driver: Rc<Driver>,
    /// Reports that the process can exit.
    exit: mpsc::UnboundedReceiver<()>,
    sources: Sources,
    store: Option<StoreConfig>,
    platform: Option<AcceptGate>,
    irc: Option<AcceptGate>,
    mgmt: Option<AcceptGate>,
}

impl Daemon {
    /// Waits until the last answers are written, those to connections that are still queued included.
    async fn wait_for_last_answers(&self) {
        let accept_queued = || {
            for gate in [&self.platform, &self.irc].into_iter().flatten() {
                gate.accept_queued(&self.driver);
            }
        };
        self.driver.wait_for_connections(accept_queued).await;
    }
}
