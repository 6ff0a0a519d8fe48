//! Outcomes of attempts and of health checks, and final answers to clients.

use std::fmt;

use crate::{LoadReport, Micros};

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
    /// The server could not be reached, or the connection broke before the request was written in full.
    ConnectFailed,
    /// The connection broke or ended without an answer after the request was written.
    Reset,
    /// This machine had no socket left for the attempt, which is no fault of the server.
    OutOfSockets,
    /// The server's own final answer was forwarded to the client, which needs no other.
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
    /// The request was not processed, and a retry is harmless. The client should wait for this time before
    /// it, or gets no such advice where it is 0.
    Rejected(Micros),
    /// The request failed. A server may have processed it.
    Failed,
    /// No request arrived within the handshake timeout.
    HandshakeTimedOut,
    /// The client should reconnect at once, since its connection is migrated.
    Migrated,
}

/// How a probe ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProbeEnd {
    /// The server answered, possibly with a load report.
    Answered(Option<LoadReport>),
    /// The server answered with an error, possibly with a load report.
    Error(Option<LoadReport>),
    /// The server answered that it must not be probed.
    Declined,
    /// The server could not be reached, or did not answer in time.
    NoAnswer,
}
