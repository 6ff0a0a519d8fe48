//! Numbers that identify requests, connections, servers and what they belong to.

/// A request for one connection, as numbered by the host. Never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A client's connection, from its accept to its end. Never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// A server; the same number at every balancer and across its restarts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u32);

/// Index into [`Settings::classes`](crate::Settings::classes).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassId(pub u16);

/// Index into [`Settings::tenants`](crate::Settings::tenants).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenantId(pub u16);

/// A zone: servers and balancers of one zone reach each other without crossing zones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneId(pub u16);

/// A set of servers that share which idempotency keys they have seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CellId(pub u32);

/// A group of connections that share work: a server that holds any of them pays for the group once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct GroupId(pub u64);

/// Two bytes that represent a group in gossip. Two groups have the same hash with a probability of 1 in
/// 65,536.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct GroupHash(pub u16);

/// Multiplier of Knuth's multiplicative hash, 2^64 over the golden ratio.
const HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
/// Leaves the highest 16 of 64 bits.
const HASH_SHIFT: u32 = 48;

impl GroupId {
    /// The group's hash. It goes between balancers of different versions, so it is defined here: a library's
    /// hash may change with the library. Consecutive ids have hashes that are far apart.
    pub fn short_hash(self) -> GroupHash {
        GroupHash((self.0.wrapping_mul(HASH_MULTIPLIER) >> HASH_SHIFT) as u16)
    }
}
