//! Identifiers of requests, connections and servers, and of their classes, tenants, zones, cells and groups.

/// Identifier of a request for one connection, assigned by the host. Never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Identifier of a client's connection, from the accept to the close. Never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// Identifier of a server. It is the same at every balancer and across restarts of the server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u32);

/// Class of requests, as an index into [`Settings::classes`](crate::Settings::classes).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassId(pub u16);

/// Tenant, as an index into [`Settings::tenants`](crate::Settings::tenants).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenantId(pub u16);

/// Identifier of a zone. Servers and balancers of one zone reach each other without cross-zone traffic.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneId(pub u16);

/// Identifier of a cell: a set of servers that share the idempotency keys that they have processed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CellId(pub u32);

/// Identifier of a group of connections that share work. The work of a group costs a server once, for any
/// number of the group's connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct GroupId(pub u64);

/// Hash of two bytes that represents a group in gossip. Two groups have the same hash with a probability of 1
/// in 65,536.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct GroupHash(pub u16);

/// Multiplier of Knuth's multiplicative hash: 2^64 divided by the golden ratio.
const HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
/// Shift that leaves the highest 16 of 64 bits.
const HASH_SHIFT: u32 = 48;

impl GroupId {
    /// Returns the group's hash.
    ///
    /// Balancers of different versions exchange this hash. It is therefore defined here: the hash function of
    /// a library may change with the library. Consecutive ids have hashes that are far apart.
    pub fn short_hash(self) -> GroupHash {
        GroupHash((self.0.wrapping_mul(HASH_MULTIPLIER) >> HASH_SHIFT) as u16)
    }
}
