//! Keywords and units that the lines of clients and those of servers have in common.

/// A server rejects the connection, and so does this balancer.
pub(super) const BUSY: &[u8] = b"BUSY";
/// A request cannot be served.
pub(super) const ERR: &[u8] = b"ERR";
/// The client is to connect elsewhere.
pub(super) const MOVE: &[u8] = b"MOVE";
/// The answer to a ping, and that of a healthy server to a health check.
pub(super) const PONG: &[u8] = b"PONG";

/// Times in lines are in milliseconds.
pub(super) const MICROS_PER_MS: u64 = 1000;
