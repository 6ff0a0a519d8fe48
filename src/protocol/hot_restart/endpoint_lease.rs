//! The lease on a pool's endpoint list, as the name of a socket without a descriptor.
//!
//! Processes of earlier versions ignore such a socket, and reject a part of the state that they do not know.
//! The name consists of [`PREFIX`], the time of expiry in microseconds, the continuity and the pool's name,
//! separated by spaces.

use super::StatePart;
use crate::{EndpointLeaseState, ListContinuity, Time};

/// First word of the name.
const PREFIX: &str = "endpoint-lease";
const CONTINUOUS: &str = "continuous";
const SILENT: &str = "silent";
const INTERRUPTED: &str = "interrupted";

/// Returns the name of the socket that carries a lease.
pub(super) fn socket_name(pool: &str, lease: EndpointLeaseState) -> String {
    let continuity = match lease.continuity {
        ListContinuity::Continuous => CONTINUOUS,
        ListContinuity::Silent => SILENT,
        ListContinuity::Interrupted => INTERRUPTED,
    };
    format!("{PREFIX} {} {continuity} {pool}", lease.expires_at.0)
}

/// Returns the lease that the name of a socket carries. Returns `None` for every other name.
pub(super) fn parse_socket_name(name: &str) -> Option<StatePart> {
    let fields = name.strip_prefix(PREFIX)?.strip_prefix(' ')?;
    let (expires_at, fields) = fields.split_once(' ')?;
    let (continuity, pool) = fields.split_once(' ')?;
    let continuity = match continuity {
        CONTINUOUS => ListContinuity::Continuous,
        SILENT => ListContinuity::Silent,
        INTERRUPTED => ListContinuity::Interrupted,
        _ => return None,
    };
    let lease = EndpointLeaseState { expires_at: Time(expires_at.parse().ok()?), continuity };
    Some(StatePart::EndpointLease { pool: pool.to_owned(), lease })
}
