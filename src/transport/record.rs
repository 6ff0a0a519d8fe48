//! Front traffic, written to a pcap file up to a size.

use std::fs::File;
use std::io::Write;
use std::path::Path;

use crate::protocol::pcap;

/// An open recording.
pub struct Recorder {
    file: File,
    name: String,
    left: usize,
}

impl Recorder {
    /// Begins a file that may grow to so many bytes.
    pub fn create(path: &Path, most: usize) -> Result<Recorder, String> {
        let name = path.display().to_string();
        let file = File::create(path).map_err(|e| format!("{name}: {e}"))?;
        let mut recorder = Recorder { file, name, left: most };
        recorder.write(&pcap::encode_file_header());
        Ok(recorder)
    }

    /// Writes whole records. Danger: half a record would spoil the file, so the first that does not fit, or
    /// cannot be written, is the end of the recording.
    pub fn write(&mut self, records: &[u8]) {
        if self.left == 0 || records.is_empty() {
            return;
        }
        if records.len() > self.left {
            crate::log!(warn, "{}: the recording is full", self.name);
            self.left = 0;
            return;
        }
        match self.file.write_all(records) {
            Ok(()) => self.left -= records.len(),
            Err(error) => {
                crate::log!(error, "{}: the recording ends: {error}", self.name);
                self.left = 0;
            }
        }
    }
}
