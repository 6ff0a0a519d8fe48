//! Samples of groups: the groups of a few connections that are established at a message's sender.
//!
//! Connections of one group should be placed at few servers, and all balancers have to agree at how many. Each balancer
//! sees only its own connections, so from the samples of all messages all balancers estimate alike how large each group
//! is. A sample fits into the bytes that a datagram is charged for at least, so it costs nothing.
//!
//! Connections are drawn at random, with equal probability, so that larger groups are sampled more often.

use rand::seq::IteratorRandom;
use rand::Rng;

use crate::GroupHash;

/// The largest number of groups in a message.
pub const MAX_SAMPLED_GROUPS: usize = 4;

/// The sampled groups, followed by `None` where there are fewer connections.
pub type GroupSample = [Option<GroupHash>; MAX_SAMPLED_GROUPS];

/// Draws a sample from the groups of all established connections.
pub(super) fn draw_sample(rng: &mut impl Rng, established: impl Iterator<Item = GroupHash>) -> GroupSample {
    let mut sample = [None; MAX_SAMPLED_GROUPS];
    established.map(Some).choose_multiple_fill(rng, &mut sample);
    sample
}
