//! The FNV-1a hash (Fowler, Noll and Vo) with 32 and 64 bits.
//!
//! Balancers compare server numbers and digests of the replicated map with each other, including balancers of
//! different versions. The hash must therefore never change. The standard library does not guarantee this for
//! its hashers.

const OFFSET_BASIS_32: u32 = 0x811c_9dc5;
const PRIME_32: u32 = 0x0100_0193;
const OFFSET_BASIS_64: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME_64: u64 = 0x0000_0100_0000_01b3;

/// Returns the 32-bit hash of these bytes.
pub(super) fn hash_32(bytes: &[u8]) -> u32 {
    bytes.iter().fold(OFFSET_BASIS_32, |hash, &byte| (hash ^ u32::from(byte)).wrapping_mul(PRIME_32))
}

/// Returns the 64-bit hash of these bytes.
pub(super) fn hash_64<'a>(bytes: impl Iterator<Item = &'a u8>) -> u64 {
    bytes.fold(OFFSET_BASIS_64, |hash, &byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME_64))
}
