//! Digests of the replicated map. Two replicas compare their digests to find the entries that differ.
//!
//! The keys are distributed over [`DIGEST_BUCKETS`] buckets by a hash. The digest contains one sum for each
//! bucket: the wrapping sum of the hashes of its entries, which does not depend on their order. If the sums
//! of a bucket differ between two replicas, the replicas differ in at least one entry of that bucket. Two
//! different maps have the same digest only if sums of 64-bit hashes collide.
//!
//! Replicas of different versions compare digests, so the hash must not change.

use super::entry::Entry;
use super::fnv;

/// Number of buckets in a digest.
pub const DIGEST_BUCKETS: usize = 16;
/// Byte that is hashed after each part, so that the hash depends on the boundaries between parts. It never
/// occurs in UTF-8 text.
const PART_SEPARATOR: u8 = 0xff;
/// Bytes that are hashed in place of a value for a tombstone.
const TOMBSTONE: &[u8] = b"\0none";

/// Sums of the hashes of the entries, by bucket.
pub type Digest = [u64; DIGEST_BUCKETS];

/// Returns the digest of these entries.
pub(super) fn digest_of<'a>(entries: impl Iterator<Item = (&'a String, &'a Entry)>) -> Digest {
    let mut digest = [0u64; DIGEST_BUCKETS];
    for (key, entry) in entries {
        let bucket = &mut digest[bucket_of(key)];
        *bucket = bucket.wrapping_add(hash_entry(key, entry));
    }
    digest
}

/// Returns the index of the bucket that contains a key.
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
