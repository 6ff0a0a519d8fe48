//! The lease on a pool's endpoint list, as the name of a socket without a descriptor.
//!
//! Processes of earlier versions ignore such a socket, and reject a part of the state that they do not know.
//! The name consists of [`PREFIX`], the time of expiry in microseconds, the continuity and the pool's name,
//! separated by spaces.

use crate::{EndpointLeaseState, ListContinuity, Time};

/// First word of the name.
const PREFIX: &str = "endpoint-lease";
/// Words of the name for the continuity of the list.
const CONTINUITY_WORDS: [(&str, ListContinuity); 3] = [
    ("continuous", ListContinuity::Continuous),
    ("silent", ListContinuity::Silent),
    ("interrupted", ListContinuity::Interrupted),
];

/// A pool's name, and the lease on its endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct PoolLease {
    pub(super) pool: String,
    pub(super) lease: EndpointLeaseState,
}

/// Returns the name of the socket that carries a lease.
pub(super) fn socket_name(pool: &str, lease: EndpointLeaseState) -> String {
    let EndpointLeaseState { expires_at, continuity } = lease;
    let words = CONTINUITY_WORDS.iter().find(|(_, known)| *known == continuity);
    let word = words.map_or("", |(word, _)| word);
    format!("{PREFIX} {} {word} {pool}", expires_at.0)
}

/// Returns the lease that the name of a socket carries. Returns `None` for every other name.
pub(super) fn parse_socket_name(name: &str) -> Option<PoolLease> {
    let fields = name.strip_prefix(PREFIX)?.strip_prefix(' ')?;
    let (expires_at, fields) = fields.split_once(' ')?;
    let (word, pool) = fields.split_once(' ')?;
    let expires_at = Time(expires_at.parse().ok()?);
    let &(_, continuity) = CONTINUITY_WORDS.iter().find(|(known, _)| *known == word)?;
    Some(PoolLease { pool: pool.to_owned(), lease: EndpointLeaseState { expires_at, continuity } })
}
