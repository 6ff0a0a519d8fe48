//! The files of the replicated map: interrupted writes, corruption, and what is there again after a restart.

use std::fs;
use std::path::PathBuf;

use connection_balancer::routing::store::{Entry, ReplicatedMap};
use connection_balancer::transport::files::{
    decode_records, encode_record, Files, OpenedFiles, RecordsEnd, RECORD_HEAD_BYTES,
};

fn entry(counter: u64) -> Entry {
    Entry { counter, node: "n1".to_owned(), value: Some("draining".to_owned()) }
}

fn records(count: u64) -> Vec<u8> {
    (1..=count).flat_map(|n| encode_record(&format!("life/h{n}"), &entry(n))).collect()
}

/// A folder of one test, removed when it ends.
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
fn reads_all_records_before_a_write_that_was_interrupted_anywhere() {
    let (bytes, two) = (records(3), records(2).len());
    for cut in two + 1..bytes.len() {
        let read = decode_records(&bytes[..cut]).expect("torn, not corrupt");
        assert_eq!((read.entries.len(), read.end), (2, RecordsEnd::Torn { offset: two }), "cut at {cut}");
    }
    let read = decode_records(&[&records(2)[..], &[0; 40]].concat()).expect("torn, not corrupt");
    assert_eq!(
        (read.entries.len(), read.end),
        (2, RecordsEnd::Torn { offset: two }),
        "grown, but not written"
    );
}

#[test]
fn rejects_a_flipped_bit_before_the_last_record_as_corrupt() {
    let (bytes, two) = (records(3), records(2).len());
    for at in 0..two {
        let mut bytes = bytes.clone();
        bytes[at] ^= 0x10;
        assert!(decode_records(&bytes).is_err(), "flipped at {at}");
    }
}

#[test]
fn holds_all_entries_after_any_number_of_folds() {
    let folder = TestFolder::new("folds");
    let OpenedFiles { mut files, entries } = Files::open(&folder.0).expect("opens");
    assert!(entries.is_empty());

    for n in 1..200u64 {
        files.persist(&format!("life/h{}", n % 7), &entry(n));
        if n % 50 == 0 {
            files.fold().expect("folds");
        }
    }

    let OpenedFiles { entries, .. } = Files::open(&folder.0).expect("opens again");
    let mut store = ReplicatedMap::new("");
    for (key, entry) in entries {
        store.merge_entry(&key, entry);
    }
    assert_eq!(store.entries().count(), 7);
    assert!(store.entries().all(|(_, entry)| entry.counter >= 193));
}

#[test]
fn does_not_open_a_corrupt_journal_and_names_it() {
    let folder = TestFolder::new("corrupt");
    let OpenedFiles { mut files, .. } = Files::open(&folder.0).expect("opens");
    (1..4).for_each(|n| files.persist("life/h", &entry(n)));
    let journal = folder.0.join("store.journal");
    let mut bytes = fs::read(&journal).expect("a journal");
    bytes[RECORD_HEAD_BYTES + 2] ^= 1;
    fs::write(&journal, bytes).expect("written");

    let error = Files::open(&folder.0).err().expect("must not start").to_string();

    assert!(error.contains("store.journal: corrupt at byte 0"), "{error}");
}
