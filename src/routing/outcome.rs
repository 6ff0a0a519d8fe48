//! Outcomes of attempts and of health checks, and final answers to clients.

use std::fmt;

use crate::{LoadReport, Micros};

/// The end of an attempt, as observed at its server or in the network.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The connection was served and closed cleanly.
    Served,
    /// The server redirected the client.
    RedirectedByServer,
    /// The server answered with an error.
    Error,
    /// The server rejected the request without processing it.
    Rejected,
    /// The server was not reached, or the connection to it broke before the request was written in full.
    ConnectFailed,
    /// After the request was written, the connection to the server broke, or the server closed it without an
    /// answer.
    Reset,
    /// This machine had no socket left for the attempt. This does not count against the server.
    OutOfSockets,
    /// The server's verdict was forwarded to the client: its own final answer, by which it refuses the
    /// client. The balancer sends no other answer.
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

/// An answer of the balancer to a client: the final answer to its request, or the notice that its established
/// connection is migrated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The request is rejected, and a retry is harmless. The value is the Retry-After, the time for which the
    /// client should wait before it retries. At 0, the answer carries no Retry-After.
    Rejected(Micros),
    /// The request failed. A server may have processed it.
    Failed,
    /// No request arrived within the request timeout.
    RequestTimedOut,
    /// The connection is migrated: the client should reconnect at once.
    Migrated,
}

/// The end of a probe.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProbeOutcome {
    /// The server answered, possibly with a load report.
    Answered(Option<LoadReport>),
    /// The server answered with an error, possibly with a load report.
    Error(Option<LoadReport>),
    /// The server answered that it must not be probed.
    ProbingRefused,
    /// The server was not reached, or did not answer in time.
    NoAnswer,
}
