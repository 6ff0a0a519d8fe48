//! The daemon: start, reloads and shutdown.

mod reload;
mod running;
mod start;

use tokio::signal::unix::{signal, Signal, SignalKind};

use super::error::TransportError;
use super::hot_restart;
use super::log_event::{log_event, LogEvent};
use super::record::{Recorder, RecordingConfig};
use crate::program::config::Sources;
use crate::routing::Input;
use running::read_configuration;
use start::Start;

/// Runs the daemon until its shutdown is complete. Records the fronts' traffic if `recording` is set.
///
/// # Errors
///
/// Returns an error if the daemon cannot start.
pub fn serve(sources: Sources, recording: Option<RecordingConfig>) -> Result<(), TransportError> {
    let recorder = recording.map(Recorder::create).transpose()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(TransportError::RuntimeStart)?;
    tokio::task::LocalSet::new().block_on(&runtime, run(sources, recorder))
}

/// The signals that the daemon handles. Each would terminate the process if it had no handler.
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
    start.set_recorder(recorder);
    let mut daemon = start.finish(received).await?;
    loop {
        tokio::select! {
            _ = signals.hangup.recv() => {
                if let Err(error) = daemon.reload() {
                    log_event!(LogEvent::ReloadFailed { error: &error });
                }
            }
            _ = signals.terminate.recv() => daemon.assembly.reducer.feed(Input::ShutdownRequested),
            _ = signals.interrupt.recv() => daemon.assembly.reducer.feed(Input::ShutdownRequested),
            _ = daemon.assembly.exit.recv() => break,
        }
    }
    daemon.wait_for_last_answers().await;
    log_event!(LogEvent::ShutDown);
    Ok(())
}
