//! Draws at which entry the answer to a replica's digest begins.
//!
//! An answer carries only some of the entries that differ. If the answers took turns through the entries, the turns
//! could fall into step with the digests of several nodes, and one of them would receive the same entries each time.
//!
//! The draws come from a linear congruential generator with the multiplier and increment of Knuth's MMIX. It starts at
//! zero in each process, so that the same messages lead to the same answers.

const MULTIPLIER: u64 = 6_364_136_223_846_793_005;
const INCREMENT: u64 = 1_442_695_040_888_963_407;
/// The low bits of a linear congruential generator have short periods and are discarded.
const DISCARDED_BITS: u32 = 33;

/// The state of the generator.
#[derive(Debug, Default)]
pub(super) struct RepairPosition {
    state: u64,
}

impl RepairPosition {
    /// Draws a position among `count` entries; zero where there are none.
    pub(super) fn draw(&mut self, count: usize) -> usize {
        let position = (self.state >> DISCARDED_BITS) as usize % count.max(1);
        self.state = self.state.wrapping_mul(MULTIPLIER).wrapping_add(INCREMENT);
        position
    }
}
