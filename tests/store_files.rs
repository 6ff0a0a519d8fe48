//! Files of the replicated map: interrupted writes, corruption, and the entries that are read after a
//! restart.

use std::fs;
use std::path::PathBuf;

use connection_balancer::routing::store::{Entry, KeyedEntry, ReplicatedMap};
use connection_balancer::transport::files::{
    decode_records, encode_record, Files, OpenedFiles, RecordsEnd, RECORD_HEADER_BYTES,
};

/// Returns an entry with this counter. All other fields are the same.
fn entry(counter: u64) -> Entry {
    Entry { counter, node: "n1".to_owned(), value: Some("draining".to_owned()) }
}

/// Returns the encoded records of `count` entries, one for each key.
fn records(count: u64) -> Vec<u8> {
    (1..=count).flat_map(|counter| encode_record(&format!("life/h{counter}"), &entry(counter))).collect()
}

/// A folder for one test, which is removed at the end of the test.
struct TestFolder(PathBuf);

impl TestFolder {
    fn new(name: &str) -> TestFolder {
        let path = std::env::temp_dir().join(format!("connection-balancer-{name}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        TestFolder(path)
    }
}

impl Drop for TestFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

#[test]
fn reads_all_records_before_an_interrupted_write() {
    let (bytes, complete_bytes) = (records(3), records(2).len());
    for cut in complete_bytes + 1..bytes.len() {
        let read = decode_records(&bytes[..cut]).expect("an interrupted write is not corruption");
        assert_eq!(
            (read.entries.len(), read.end),
            (2, RecordsEnd::Torn { offset: complete_bytes }),
            "third record cut at byte {cut}"
        );
    }
    let read =
        decode_records(&[&records(2)[..], &[0; 40]].concat()).expect("trailing zeros are not corruption");
    assert_eq!(
        (read.entries.len(), read.end),
        (2, RecordsEnd::Torn { offset: complete_bytes }),
        "file length updated before the bytes of the write"
    );
}

#[test]
fn rejects_a_flipped_bit_before_the_last_record_as_corrupt() {
    let (bytes, last_record) = (records(3), records(2).len());
    for offset in 0..last_record {
        let mut bytes = bytes.clone();
        bytes[offset] ^= 0x10;
        assert!(decode_records(&bytes).is_err(), "flipped bit in byte {offset} accepted");
    }
}

#[test]
fn keeps_all_entries_when_the_journal_is_folded_repeatedly() {
    let folder = TestFolder::new("folds");
    let OpenedFiles { mut files, entries } = Files::open(&folder.0).expect("new files can be opened");
    assert!(entries.is_empty());

    for counter in 1..200u64 {
        files.persist(&format!("life/h{}", counter % 7), &entry(counter));
        if counter % 50 == 0 {
            files.write_snapshot().expect("the journal can be folded into the snapshot");
        }
    }

    let OpenedFiles { entries, .. } = Files::open(&folder.0).expect("existing files can be opened");
    let mut store = ReplicatedMap::new("");
    for KeyedEntry { key, entry } in entries {
        store.merge_entry(&key, entry);
    }
    assert_eq!(store.entries().count(), 7);
    assert!(store.entries().all(|(_, entry)| entry.counter >= 193));
}

#[test]
fn rejects_a_corrupt_journal_with_an_error_that_names_it() {
    let folder = TestFolder::new("corrupt");
    let OpenedFiles { mut files, .. } = Files::open(&folder.0).expect("new files can be opened");
    (1..4).for_each(|counter| files.persist("life/h", &entry(counter)));
    let journal = folder.0.join("store.journal");
    let mut bytes = fs::read(&journal).expect("the journal can be read");
    bytes[RECORD_HEADER_BYTES + 2] ^= 1;
    fs::write(&journal, bytes).expect("the journal can be overwritten");

    let error = Files::open(&folder.0).err().expect("a corrupt journal is rejected").to_string();

    assert!(error.contains("store.journal: corrupt at byte 0"), "{error}");
}
