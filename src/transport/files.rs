//! The store's files: a journal that every entry is appended to, and a snapshot that replaces it when it
//! has grown long. Each is a row of records: length, its complement, checksum, entry.

use std::fs::{self, File, OpenOptions};
use std::io::Write;
use std::path::{Path, PathBuf};

use crate::protocol::gossip;
use crate::routing::store::{Entry, ReplicatedMap};

/// The journal is folded into the snapshot when it is longer than this.
const LONG: u64 = 256 << 10;
const HEAD: usize = 12;

type Kept = Vec<(String, Entry)>;

/// The open files of a store.
pub struct Files {
    folder: PathBuf,
    /// None while another process has it.
    journal: Option<File>,
    length: u64,
    /// All that is kept, for the next snapshot.
    kept: ReplicatedMap,
}

/// How a row of records ends.
#[derive(Debug, PartialEq)]
enum End {
    Whole,
    /// A write that was cut off, from this byte on.
    Torn(usize),
}

fn record(key: &str, entry: &Entry) -> Vec<u8> {
    let body = gossip::encode_entry(key, entry);
    let length = body.len() as u32;
    let head = [length.to_be_bytes(), (!length).to_be_bytes(), crc32fast::hash(&body).to_be_bytes()];
    [&head.concat()[..], &body].concat()
}

/// Reads records. What a crash can leave of the last write is torn; all else that is wrong is corrupt, and
/// told by its offset.
fn records(bytes: &[u8]) -> Result<(Kept, End), usize> {
    let mut kept = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let rest = &bytes[at..];
        // A file may have grown before the bytes of the write were there.
        if rest.len() < HEAD || rest.iter().all(|&b| b == 0) {
            return Ok((kept, End::Torn(at)));
        }
        let word = |n: usize| u32::from_be_bytes([rest[n], rest[n + 1], rest[n + 2], rest[n + 3]]);
        if word(0) != !word(4) {
            return Err(at);
        }
        let end = HEAD + word(0) as usize;
        let Some(body) = rest.get(HEAD..end) else { return Ok((kept, End::Torn(at))) };
        match gossip::decode_entry(body).filter(|_| crc32fast::hash(body) == word(8)) {
            Some(entry) => kept.push(entry),
            None if end == rest.len() => return Ok((kept, End::Torn(at))),
            None => return Err(at),
        }
        at += end;
    }
    Ok((kept, End::Whole))
}

fn read(path: &Path) -> Result<Vec<u8>, String> {
    match fs::read(path) {
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => Ok(Vec::new()),
        result => result.map_err(|e| format!("{}: {e}", path.display())),
    }
}

impl Files {
    /// Opens a folder, and returns what it holds. A torn end of the journal is cut off; anything else that
    /// is wrong stops the start, for it may be more than the last write that is lost.
    pub fn open(folder: &Path) -> Result<(Files, Kept), String> {
        let problem = |e: std::io::Error| format!("{}: {e}", folder.display());
        fs::create_dir_all(folder).map_err(problem)?;
        let (snapshot, path) = (folder.join("store.snapshot"), folder.join("store.journal"));
        let corrupt = |path: &Path, at: usize| format!("{}: corrupt at byte {at}", path.display());
        let (mut kept, end) = records(&read(&snapshot)?).map_err(|at| corrupt(&snapshot, at))?;
        // The snapshot is put in place whole: no crash tears it.
        if let End::Torn(at) = end {
            return Err(corrupt(&snapshot, at));
        }
        let bytes = read(&path)?;
        let (more, end) = records(&bytes).map_err(|at| corrupt(&path, at))?;
        kept.extend(more);
        let mut length = bytes.len();
        if let End::Torn(at) = end {
            crate::log!(warn, "{}: torn at byte {at}, {} bytes cut off", path.display(), length - at);
            length = at;
        }
        let journal = OpenOptions::new().create(true).append(true).open(&path).map_err(problem)?;
        journal.set_len(length as u64).and_then(|()| journal.sync_all()).map_err(problem)?;
        File::open(folder).and_then(|folder| folder.sync_all()).map_err(problem)?;
        let mut all = ReplicatedMap::new("");
        for (key, entry) in &kept {
            all.merge_entry(key, entry.clone());
        }
        let files =
            Files { folder: folder.to_owned(), journal: Some(journal), length: length as u64, kept: all };
        Ok((files, kept))
    }

    /// Another process goes on with the files: nothing more is written.
    pub fn close(&mut self) {
        self.journal = None;
    }

    /// The other process is gone, and this one goes on with them, and with all that it holds.
    pub fn open_again(&mut self, store: &ReplicatedMap) {
        if self.journal.is_some() {
            return;
        }
        match Files::open(&self.folder) {
            Ok((files, _)) => {
                *self = files;
                store.entries().for_each(|(key, entry)| self.keep(key, entry));
            }
            Err(problem) => crate::log!(error, "{problem}"),
        }
    }

    /// Keeps an entry: it is on the disk when this returns, or the log says why not.
    pub fn keep(&mut self, key: &str, entry: &Entry) {
        self.kept.merge_entry(key, entry.clone());
        let record = record(key, entry);
        let Some(journal) = &mut self.journal else { return };
        let written = journal.write_all(&record).and_then(|()| journal.sync_data());
        self.length += record.len() as u64;
        let done = written.and_then(|()| if self.length > LONG { self.fold() } else { Ok(()) });
        if let Err(error) = done {
            crate::log!(error, "{}: {key} is not kept: {error}", self.folder.display());
            // Danger: half a record, followed by others, would look corrupt at the next start.
            let _ = self.fold();
        }
    }

    /// Puts a new snapshot in place, and begins the journal anew. A crash between leaves entries in both,
    /// which does no harm.
    fn fold(&mut self) -> std::io::Result<()> {
        let (new, snapshot) = (self.folder.join("store.new"), self.folder.join("store.snapshot"));
        let all: Vec<u8> = self.kept.entries().flat_map(|(key, entry)| record(key, entry)).collect();
        let mut file = File::create(&new)?;
        file.write_all(&all)?;
        file.sync_all()?;
        fs::rename(&new, &snapshot)?;
        File::open(&self.folder)?.sync_all()?;
        if let Some(journal) = &self.journal {
            journal.set_len(0)?;
            journal.sync_all()?;
        }
        self.length = 0;
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn entry(counter: u64) -> Entry {
        Entry { counter, node: "n1".to_owned(), value: Some("draining".to_owned()) }
    }

    fn rows(count: u64) -> Vec<u8> {
        (1..=count).flat_map(|n| record(&format!("life/h{n}"), &entry(n))).collect()
    }

    #[test]
    fn a_write_cut_off_anywhere_is_torn_and_the_rest_is_read() {
        let (bytes, two) = (rows(3), rows(2).len());
        for cut in two + 1..bytes.len() {
            let (kept, end) = records(&bytes[..cut]).expect("torn, not corrupt");
            assert_eq!((kept.len(), end), (2, End::Torn(two)), "cut at {cut}");
        }
        let (kept, end) = records(&[&rows(2)[..], &[0; 40]].concat()).expect("torn, not corrupt");
        assert_eq!((kept.len(), end), (2, End::Torn(two)), "grown, but not written");
    }

    #[test]
    fn a_flipped_bit_before_the_last_record_is_corrupt() {
        let (bytes, two) = (rows(3), rows(2).len());
        for at in 0..two {
            let mut bytes = bytes.clone();
            bytes[at] ^= 0x10;
            assert!(records(&bytes).is_err(), "flipped at {at}");
        }
    }

    /// A folder of this test's own, removed when it ends.
    struct Folder(PathBuf);

    impl Folder {
        fn new(name: &str) -> Folder {
            let path =
                std::env::temp_dir().join(format!("connection-balancer-{name}-{}", std::process::id()));
            let _ = fs::remove_dir_all(&path);
            Folder(path)
        }
    }

    impl Drop for Folder {
        fn drop(&mut self) {
            let _ = fs::remove_dir_all(&self.0);
        }
    }

    #[test]
    fn what_is_kept_is_there_again_after_any_number_of_folds() {
        let folder = Folder::new("folds");
        let (mut files, kept) = Files::open(&folder.0).expect("opens");
        assert!(kept.is_empty());
        for n in 1..200u64 {
            files.keep(&format!("life/h{}", n % 7), &entry(n));
            if n % 50 == 0 {
                files.fold().expect("folds");
            }
        }
        let (_, kept) = Files::open(&folder.0).expect("opens again");
        let mut store = ReplicatedMap::new("");
        for (key, entry) in kept {
            store.merge_entry(&key, entry);
        }
        assert_eq!(store.entries().count(), 7);
        assert!(store.entries().all(|(_, entry)| entry.counter >= 193));
    }

    #[test]
    fn corruption_stops_the_start_and_names_the_file() {
        let folder = Folder::new("corrupt");
        let (mut files, _) = Files::open(&folder.0).expect("opens");
        (1..4).for_each(|n| files.keep("life/h", &entry(n)));
        let path = folder.0.join("store.journal");
        let mut bytes = fs::read(&path).expect("a journal");
        bytes[HEAD + 2] ^= 1;
        fs::write(&path, bytes).expect("written");
        let problem = Files::open(&folder.0).err().expect("must not start");
        assert!(problem.contains("store.journal: corrupt at byte 0"), "{problem}");
    }
}
