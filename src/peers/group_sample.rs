//! Samples of groups: the groups of a few connections that are established at a message's sender.
//!
//! The connections of one group should be placed at few servers, and all balancers have to agree on the
//! number of servers. Each balancer sees only its own connections. The samples in all messages allow all
//! balancers to make the same estimate of the size of each group. The charge for a message is the same with
//! and without a sample, so a sample costs nothing.
//!
//! Connections are drawn at random with equal probability, so that larger groups are sampled more often.

use rand::seq::IteratorRandom;
use rand::Rng;

use crate::GroupHash;

/// Largest number of groups in a message.
pub const MAX_SAMPLED_GROUPS: usize = 4;

/// Sampled groups, padded with `None` if there are fewer connections.
pub type GroupSample = [Option<GroupHash>; MAX_SAMPLED_GROUPS];

/// Draws a sample from the groups of all established connections that have a group.
pub(super) fn draw_sample(rng: &mut impl Rng, established: impl Iterator<Item = GroupHash>) -> GroupSample {
    let mut sample = [None; MAX_SAMPLED_GROUPS];
    established.map(Some).choose_multiple_fill(rng, &mut sample);
    sample
}
