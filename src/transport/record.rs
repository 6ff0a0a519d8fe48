//! Recordings of the fronts' traffic in a pcap file of limited size.

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

/// File and size limit of a recording of the fronts' traffic.
#[derive(Clone, Debug)]
pub struct RecordingConfig {
    /// Path of the pcap file. An existing file is overwritten.
    pub path: PathBuf,
    /// Maximum size of the file, in bytes.
    pub max_bytes: usize,
}

/// An open recording.
pub(super) struct Recorder {
    file: File,
    path: PathBuf,
    /// Number of bytes that may still be written; 0 after the recording has ended.
    remaining_bytes: usize,
}

impl Recorder {
    /// Creates the file of a recording.
    ///
    /// # Errors
    ///
    /// Returns [`TransportError::File`] if the file cannot be created.
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

    /// Writes complete records. Records that do not fit in the file or cannot be written end the recording,
    /// because an incomplete record would corrupt the file.
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

/// Adds records to the recording, if there is one. Clones refer to the same recording.
#[derive(Clone)]
pub(super) struct TrafficRecorder {
    clock: Clock,
    recorder: Rc<RefCell<Option<Recorder>>>,
}

impl TrafficRecorder {
    /// Creates a recorder that discards all records until [`TrafficRecorder::set_recorder`] is called.
    pub(super) fn new(clock: Clock) -> TrafficRecorder {
        TrafficRecorder { clock, recorder: Rc::default() }
    }

    /// Sets the recording that records are added to. With none, records are discarded.
    pub(super) fn set_recorder(&self, recorder: Option<Recorder>) {
        *self.recorder.borrow_mut() = recorder;
    }

    /// Adds records to the recording, if there is one. `records` is called with the current time and returns
    /// the encoded records.
    pub(super) fn record(&self, records: impl FnOnce(Time) -> Vec<u8>) {
        if let Some(recorder) = self.recorder.borrow_mut().as_mut() {
            recorder.write(&records(self.clock.now()));
        }
    }
}
