//! Keywords and units of lines to and from clients and servers.

/// Rejection of a connection, sent by a server or by this balancer.
pub(super) const BUSY: &[u8] = b"BUSY";
/// Error answer: the request cannot be served.
pub(super) const ERR: &[u8] = b"ERR";
/// Tells the client to reconnect elsewhere.
pub(super) const MOVE: &[u8] = b"MOVE";
/// Answer to a client's ping, and answer of a healthy server to a probe.
pub(super) const PONG: &[u8] = b"PONG";

/// Microseconds in a millisecond, the unit of times in lines.
pub(super) const MICROS_PER_MS: u64 = 1000;
