//! What is to be done: from the balancer to the host.

use super::{Micros, RequestId, ServerId};

/// What the host is to do, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to a server. Attempts of a request are numbered from 0 in the order sent.
    StartAttempt {
        /// The request.
        request: RequestId,
        /// The server.
        server: ServerId,
        /// Report [`Outcome::TimedOut`](crate::Outcome::TimedOut) after this time.
        timeout: Micros,
        /// Report [`Outcome::NotSent`](crate::Outcome::NotSent) if the request could not be written in full
        /// within this time: an earlier attempt may have run, and after it the server would not recognise the
        /// repeat.
        within: Option<Micros>,
    },
    /// Final answer: rejected; a retry is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// How long the client should wait before a retry; 0 for no advice.
        retry_after: Micros,
    },
    /// Final answer: failed; promises nothing.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Stop waiting for an attempt.
    CancelAttempt {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Ask a client to reconnect, so that its connection migrates.
    Migrate {
        /// The request of the connection.
        request: RequestId,
    },
    /// Probe a server.
    ProbeServer {
        /// The server.
        server: ServerId,
    },
    /// Connections take long to set up because of what all servers share: the other balancers may be
    /// notified.
    ReportSlowSetup,
    /// A server dropped an established connection: the other balancers may be notified.
    ReportDrop {
        /// The server.
        server: ServerId,
    },
    /// Watch the endpoint list; changes that were missed come first.
    WatchEndpoints,
    /// Hand in [`Event::TimerFired`](crate::Event::TimerFired) after this time.
    SetTimer(Micros),
}
