//! Recordings of the fronts' traffic: a pcap file up to a size.

use std::cell::RefCell;
use std::fs::File;
use std::io::Write;
use std::path::PathBuf;
use std::rc::Rc;

use super::clock::Clock;
use super::error::TransportError;
use super::log_event::{log_event, LogEvent};
use crate::protocol::pcap;
use crate::Time;

/// Where the fronts' traffic is recorded.
#[derive(Clone, Debug)]
pub struct RecordingConfig {
    /// The pcap file, which is created anew.
    pub path: PathBuf,
    /// Bytes that it may grow to.
    pub max_bytes: usize,
}

/// An open recording.
pub(super) struct Recorder {
    file: File,
    path: PathBuf,
    /// Bytes that may still be written; 0 once the recording has ended.
    remaining_bytes: usize,
}

impl Recorder {
    /// Creates the file of a recording.
    ///
    /// # Errors
    ///
    /// When the file cannot be created.
    pub(super) fn create(config: RecordingConfig) -> Result<Recorder, TransportError> {
        let RecordingConfig { path, max_bytes } = config;
        let file = match File::create(&path) {
            Ok(file) => file,
            Err(source) => return Err(TransportError::File { path, source }),
        };
        let mut recorder = Recorder { file, path, remaining_bytes: max_bytes };
        recorder.write(&pcap::encode_file_header());
        Ok(recorder)
    }

    /// Writes whole records. Half a record would corrupt the file, so the first that does not fit, or cannot
    /// be written, ends the recording.
    pub(super) fn write(&mut self, records: &[u8]) {
        if self.remaining_bytes == 0 || records.is_empty() {
            return;
        }
        if records.len() > self.remaining_bytes {
            log_event!(LogEvent::RecordingFull { file: &self.path });
            self.remaining_bytes = 0;
            return;
        }
        match self.file.write_all(records) {
            Ok(()) => self.remaining_bytes -= records.len(),
            Err(error) => {
                log_event!(LogEvent::RecordingFailed { file: &self.path, error: &error });
                self.remaining_bytes = 0;
            }
        }
    }
}

/// Adds records to the recording, if there is one. Clones are handles of the same recording.
#[derive(Clone)]
pub(super) struct TrafficRecorder {
    clock: Clock,
    recorder: Rc<RefCell<Option<Recorder>>>,
}

impl TrafficRecorder {
    /// A handle that records nothing yet.
    pub(super) fn new(clock: Clock) -> TrafficRecorder {
        TrafficRecorder { clock, recorder: Rc::default() }
    }

    /// Records the fronts' traffic from now on, if there is a recorder.
    pub(super) fn set_recorder(&self, recorder: Option<Recorder>) {
        *self.recorder.borrow_mut() = recorder;
    }

    /// Adds to the recording, if there is one, what `records` makes at the present time.
    pub(super) fn record(&self, records: impl FnOnce(Time) -> Vec<u8>) {
        if let Some(recorder) = self.recorder.borrow_mut().as_mut() {
            recorder.write(&records(self.clock.now()));
        }
    }
}
