//! Files of the replicated map: a journal to which every new entry is appended, and a snapshot that replaces
//! the journal when the journal exceeds `MAX_JOURNAL_BYTES`.
//!
//! Both files are sequences of records. A record consists of the entry's length, the complement of the
//! length, a checksum and the entry.

use std::cell::RefCell;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::rc::Rc;

use super::error::TransportError;
use super::log_event::{log_event, LogEvent};
use crate::protocol::replica_messages;
use crate::routing::store::{Entry, KeyedEntry, ReplicatedMap};

/// Length beyond which the journal is replaced by a new snapshot.
const MAX_JOURNAL_BYTES: u64 = 256 << 10;
/// Length of a record's header, which precedes the entry.
pub const RECORD_HEADER_BYTES: usize = 12;

const SNAPSHOT_FILE: &str = "store.snapshot";
const JOURNAL_FILE: &str = "store.journal";
/// Temporary name of a snapshot while it is being written.
const NEW_SNAPSHOT_FILE: &str = "store.new";

/// Keys with their entries, in the order in which they were written.
pub type Entries = Vec<KeyedEntry>;

/// How a sequence of records ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordsEnd {
    /// The last record is complete.
    Complete,
    /// The last write was interrupted.
    Torn {
        /// Offset in the file at which the interrupted write starts, in bytes.
        offset: usize,
    },
}

/// The decoded content of a file.
#[derive(Debug)]
pub struct Records {
    /// The entries of all complete records.
    pub entries: Entries,
    /// Whether the last write was complete or interrupted.
    pub end: RecordsEnd,
}

/// A record that is corrupt in a way that an interrupted write cannot cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CorruptRecord {
    /// Offset of the record in the file, in bytes.
    pub offset: usize,
}

/// Encodes an entry as a record.
pub fn encode_record(key: &str, entry: &Entry) -> Vec<u8> {
    let body = replica_messages::encode_entry(key, entry);
    let length = body.len() as u32;
    let header = [length.to_be_bytes(), (!length).to_be_bytes(), crc32fast::hash(&body).to_be_bytes()];
    [&header.concat()[..], &body].concat()
}

/// Decodes the records of a file.
///
/// # Errors
///
/// Returns an error if a record is corrupt in a way that an interrupted last write cannot cause.
pub fn decode_records(bytes: &[u8]) -> Result<Records, CorruptRecord> {
    let mut entries = Vec::new();
    let mut offset = 0;
    while offset < bytes.len() {
        let torn = RecordsEnd::Torn { offset };
        let remaining = &bytes[offset..];
        // An interrupted write may have updated the file's length before the written bytes. They then read as
        // zeros.
        if remaining.len() < RECORD_HEADER_BYTES || remaining.iter().all(|&byte| byte == 0) {
            return Ok(Records { entries, end: torn });
        }
        let header_field = |at: usize| {
            u32::from_be_bytes([remaining[at], remaining[at + 1], remaining[at + 2], remaining[at + 3]])
        };
        let (length, complement, checksum) = (header_field(0), header_field(4), header_field(8));
        if length != !complement {
            return Err(CorruptRecord { offset });
        }
        let record_end = RECORD_HEADER_BYTES + length as usize;
        let Some(body) = remaining.get(RECORD_HEADER_BYTES..record_end) else {
            return Ok(Records { entries, end: torn });
        };
        match replica_messages::decode_entry(body).filter(|_| crc32fast::hash(body) == checksum) {
            Some(entry) => entries.push(entry),
            None if record_end == remaining.len() => return Ok(Records { entries, end: torn }),
            None => return Err(CorruptRecord { offset }),
        }
        offset += record_end;
    }
    Ok(Records { entries, end: RecordsEnd::Complete })
}

/// The open files of a replicated map.
pub struct Files {
    folder: PathBuf,
    /// None while a successor appends to the journal.
    journal: Option<File>,
    journal_bytes: u64,
    /// All entries, from which the next snapshot is written.
    entries: ReplicatedMap,
}

/// Newly opened files, with their content.
pub struct OpenedFiles {
    /// The files, ready to persist further entries.
    pub files: Files,
    /// The entries of the snapshot, then those of the journal.
    pub entries: Entries,
}

impl Files {
    /// Opens the files in a folder, which is created if it does not exist. A torn write at the end of the
    /// journal is truncated.
    ///
    /// # Errors
    ///
    /// Returns an error if a file cannot be opened or written, or is corrupt in a way that an interrupted
    /// last write cannot cause.
    pub fn open(folder: &Path) -> Result<OpenedFiles, TransportError> {
        let file_error = |source| TransportError::File { path: folder.to_owned(), source };
        fs::create_dir_all(folder).map_err(file_error)?;
        let mut entries = read_snapshot(&folder.join(SNAPSHOT_FILE))?;
        let journal_path = folder.join(JOURNAL_FILE);
        let journal = read_journal(&journal_path)?;
        entries.extend(journal.entries);
        let file = OpenOptions::new().create(true).append(true).open(&journal_path).map_err(file_error)?;
        file.set_len(journal.length as u64).and_then(|()| file.sync_all()).map_err(file_error)?;
        File::open(folder).and_then(|folder| folder.sync_all()).map_err(file_error)?;
        let mut store = ReplicatedMap::new("");
        for KeyedEntry { key, entry } in &entries {
            store.merge_entry(key, entry.clone());
        }
        let journal_bytes = journal.length as u64;
        let files = Files { folder: folder.to_owned(), journal: Some(file), journal_bytes, entries: store };
        Ok(OpenedFiles { files, entries })
    }

    /// Closes the journal, because a successor appends to it. Later entries are not written.
    pub fn close(&mut self) {
        self.journal = None;
    }

    /// Reopens the files after the successor is lost, and persists all entries of the replicated map. Does
    /// nothing if the files are open.
    pub fn reopen(&mut self, store: &ReplicatedMap) {
        if self.journal.is_some() {
            return;
        }
        match Files::open(&self.folder) {
            Ok(OpenedFiles { files, .. }) => {
                *self = files;
                store.entries().for_each(|(key, entry)| self.persist(key, entry));
            }
            Err(error) => log_event!(LogEvent::StoreNotReopened { error: &error }),
        }
    }

    /// Persists an entry. On return the entry is synced to disk, or the error is logged. While the files are
    /// closed the entry is kept only in memory.
    pub fn persist(&mut self, key: &str, entry: &Entry) {
        self.entries.merge_entry(key, entry.clone());
        let record = encode_record(key, entry);
        let Some(journal) = &mut self.journal else { return };
        let appended = journal.write_all(&record).and_then(|()| journal.sync_data());
        self.journal_bytes += record.len() as u64;
        let is_over_limit = self.journal_bytes > MAX_JOURNAL_BYTES;
        let persisted = appended.and_then(|()| if is_over_limit { self.write_snapshot() } else { Ok(()) });
        if let Err(error) = persisted {
            log_event!(LogEvent::EntryNotPersisted { folder: &self.folder, key, error: &error });
            // An incomplete record that is followed by others would count as corrupt at the next start. All
            // entries are therefore written to a new snapshot. If that also fails, the next entry tries
            // again.
            let _ = self.write_snapshot();
        }
    }

    /// Replaces the snapshot and empties the journal. After a crash between these two steps some entries are
    /// in both files, which is harmless.
    ///
    /// # Errors
    ///
    /// Returns an error if a file cannot be written.
    #[doc(hidden)]
    pub fn write_snapshot(&mut self) -> io::Result<()> {
        let (new, snapshot) = (self.folder.join(NEW_SNAPSHOT_FILE), self.folder.join(SNAPSHOT_FILE));
        let records = self.entries.entries().flat_map(|(key, entry)| encode_record(key, entry));
        let records: Vec<u8> = records.collect();
        let mut file = File::create(&new)?;
        file.write_all(&records)?;
        file.sync_all()?;
        fs::rename(&new, &snapshot)?;
        File::open(&self.folder)?.sync_all()?;
        if let Some(journal) = &self.journal {
            journal.set_len(0)?;
            journal.sync_all()?;
        }
        self.journal_bytes = 0;
        Ok(())
    }
}

/// The files of a replicated map, shared by the consumer that persists entries and by the hot restart. Clones
/// refer to the same files.
#[derive(Clone)]
pub(super) struct SharedFiles(Rc<RefCell<Files>>);

impl SharedFiles {
    pub(super) fn new(files: Files) -> SharedFiles {
        SharedFiles(Rc::new(RefCell::new(files)))
    }

    /// See [`Files::persist`].
    pub(super) fn persist(&self, key: &str, entry: &Entry) {
        self.0.borrow_mut().persist(key, entry);
    }

    /// See [`Files::close`].
    pub(super) fn close(&self) {
        self.0.borrow_mut().close();
    }

    /// See [`Files::reopen`].
    pub(super) fn reopen(&self, store: &ReplicatedMap) {
        self.0.borrow_mut().reopen(store);
    }
}

/// Reads a file. Returns no bytes if the file does not exist.
fn read_file(path: &Path) -> Result<Vec<u8>, TransportError> {
    match fs::read(path) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(Vec::new()),
        result => result.map_err(|source| TransportError::File { path: path.to_owned(), source }),
    }
}

fn corrupt_file(path: &Path, offset: usize) -> TransportError {
    TransportError::CorruptFile { path: path.to_owned(), offset }
}

/// Reads the snapshot. The snapshot is replaced atomically, so a torn write in it counts as corrupt.
fn read_snapshot(path: &Path) -> Result<Entries, TransportError> {
    let records = decode_records(&read_file(path)?).map_err(|corrupt| corrupt_file(path, corrupt.offset))?;
    match records.end {
        RecordsEnd::Complete => Ok(records.entries),
        RecordsEnd::Torn { offset } => Err(corrupt_file(path, offset)),
    }
}

/// The complete records of the journal, without a torn write at the end.
struct JournalContent {
    entries: Entries,
    /// Length of these records, in bytes.
    length: usize,
}

fn read_journal(path: &Path) -> Result<JournalContent, TransportError> {
    let bytes = read_file(path)?;
    let Records { entries, end } =
        decode_records(&bytes).map_err(|corrupt| corrupt_file(path, corrupt.offset))?;
    let length = match end {
        RecordsEnd::Complete => bytes.len(),
        RecordsEnd::Torn { offset } => {
            let removed = bytes.len() - offset;
            log_event!(LogEvent::JournalTruncated { journal: path, offset, removed });
            offset
        }
    };
    Ok(JournalContent { entries, length })
}
