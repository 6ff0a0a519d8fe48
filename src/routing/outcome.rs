//! How attempts end, and what clients are answered.

use std::fmt;

use crate::Micros;

/// How an attempt ended, as seen at its server or in the network.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Served to an orderly end.
    Served,
    /// The server redirected the client.
    RedirectedByServer,
    /// The server answered with an error.
    Error,
    /// The server rejected the request without processing it.
    Rejected,
    /// No connection, or it broke before the request was written in full.
    ConnectFailed,
    /// The connection broke or ended without an answer after the request was written.
    Reset,
    /// This machine had no socket left for the attempt: not a fault of the server.
    OutOfSockets,
    /// The server's own verdict was forwarded to the client, which needs no other answer.
    VerdictForwarded,
}

impl fmt::Display for AttemptOutcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            AttemptOutcome::Served => "served",
            AttemptOutcome::RedirectedByServer => "redirected by the server",
            AttemptOutcome::Error => "error",
            AttemptOutcome::Rejected => "rejected",
            AttemptOutcome::ConnectFailed => "not connected",
            AttemptOutcome::Reset => "reset",
            AttemptOutcome::OutOfSockets => "no socket left",
            AttemptOutcome::VerdictForwarded => "verdict forwarded",
        })
    }
}

/// A final answer, or the notice that an established connection is migrated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Rejected; the client should retry after this time, 0 for no advice.
    Rejected(Micros),
    /// Failed.
    Failed,
    /// The request did not arrive within the handshake's time.
    HandshakeTimedOut,
    /// The client should reconnect at once: its server drains, or this balancer shuts down.
    Migrated,
}
