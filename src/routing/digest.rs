//! Digests of the replicated map, by which two replicas find out where their entries differ.
//!
//! The keys are distributed over [`DIGEST_BUCKETS`] buckets by a hash. A bucket's part of the digest is the
//! sum of the hashes of its entries, with wrap-around: the sum does not depend on the order of the entries.
//! Replicas with different digests differ in an entry of a bucket whose sums differ. Two different maps have
//! the same digest only where sums of 64-bit hashes coincide.
//!
//! Replicas of different versions compare digests, so the hash must not change.

use super::entry::Entry;
use super::fnv;

/// Number of buckets in a digest.
pub const DIGEST_BUCKETS: usize = 16;
/// Hashed after each part, so that the boundaries of parts count. No UTF-8 text contains it.
const PART_SEPARATOR: u8 = 0xff;
/// Hashed in place of the value of a tombstone.
const TOMBSTONE: &[u8] = b"\0none";

/// The sums of the entries' hashes, by bucket.
pub type Digest = [u64; DIGEST_BUCKETS];

/// The digest of these entries.
pub(super) fn digest_of<'a>(entries: impl Iterator<Item = (&'a String, &'a Entry)>) -> Digest {
    let mut digest = [0u64; DIGEST_BUCKETS];
    for (key, entry) in entries {
        let bucket = &mut digest[bucket_of(key)];
        *bucket = bucket.wrapping_add(hash_entry(key, entry));
    }
    digest
}

/// The bucket of a key.
pub(super) fn bucket_of(key: &str) -> usize {
    (hash_parts(&[key.as_bytes()]) >> 32) as usize % DIGEST_BUCKETS
}

fn hash_entry(key: &str, entry: &Entry) -> u64 {
    let value = entry.value.as_ref().map_or(TOMBSTONE, |value| value.as_bytes());
    let counter = entry.counter.to_be_bytes();
    hash_parts(&[key.as_bytes(), &counter, entry.node.as_bytes(), value])
}

fn hash_parts(parts: &[&[u8]]) -> u64 {
    fnv::hash_64(parts.iter().flat_map(|part| part.iter().chain(&[PART_SEPARATOR])))
}
