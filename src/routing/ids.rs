//! Numbers by which the reducer and the driver name what they share.

pub use crate::ConnectionId;

/// Index of a pool of servers in the configuration; each pool has its own endpoint list and balancer.
pub type PoolId = usize;

/// One call of an admin client. Its reply has the same number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AdminClientId(pub u64);
