//! Random draw of the first entry that is sent in answer to a replica's digest.
//!
//! An answer contains only some of the entries that differ. If successive answers continued where the
//! previous one ended, the sequence could synchronize with the digests of several nodes, and one of these
//! nodes would receive the same entries each time.
//!
//! The draws are made by a linear congruential generator with the multiplier and increment of Knuth's MMIX.
//! Its state starts at zero in each process, so that the same messages lead to the same answers.

const MULTIPLIER: u64 = 6_364_136_223_846_793_005;
const INCREMENT: u64 = 1_442_695_040_888_963_407;
/// The low bits of a linear congruential generator have short periods and are discarded.
const DISCARDED_BITS: u32 = 33;

/// State of the generator.
#[derive(Debug, Default)]
pub(super) struct RepairPosition {
    state: u64,
}

impl RepairPosition {
    /// Draws a position below `count`. Returns 0 if `count` is 0.
    pub(super) fn draw(&mut self, count: usize) -> usize {
        let position = (self.state >> DISCARDED_BITS) as usize % count.max(1);
        self.state = self.state.wrapping_mul(MULTIPLIER).wrapping_add(INCREMENT);
        position
    }
}
