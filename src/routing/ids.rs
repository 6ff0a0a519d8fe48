//! Numbers by which the reducer and the driver identify connections, pools and admin calls.

pub use crate::ConnectionId;

/// Index of a pool of servers in the configuration, from 0. Each pool has its own endpoint list and balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PoolId(pub usize);

/// Number of one call of an admin client, assigned by the driver. The reply has the same number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AdminCallId(pub u64);
