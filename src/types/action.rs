//! What is to be done: from the balancer to the host.

use super::{Micros, RequestId, ServerId};

/// Why a request is answered without a server. Each reason names the module that decides it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RefusalReason {
    /// Set-ups are slow at all servers: only a share of the requests is admitted (`policy::admission_rate`).
    AdmissionRate,
    /// No server may take it: none is ready (`policy::selection`), or an earlier attempt may have run and
    /// none recognises the repeat (`policy::retry_policy`).
    NoServer,
    /// The endpoint list is so old that servers in it may drain, and discovery does not say which
    /// (`policy::endpoint_lease`).
    EndpointListExpired,
    /// All attempts that it may have were made (`policy::retry_policy`).
    AttemptsSpent,
    /// Its deadline has come (`policy::retry_policy`).
    OutOfTime,
    /// Its attempt failed for a cause that servers share, as another server's attempt did just before
    /// (`policy::admission_rate`).
    CorrelatedFailure,
}

impl RefusalReason {
    /// Every reason, in the order in which metrics list them.
    pub const ALL: [RefusalReason; 6] = [
        RefusalReason::AdmissionRate,
        RefusalReason::NoServer,
        RefusalReason::EndpointListExpired,
        RefusalReason::AttemptsSpent,
        RefusalReason::OutOfTime,
        RefusalReason::CorrelatedFailure,
    ];

    /// The name in metrics and in the log.
    pub fn name(self) -> &'static str {
        match self {
            RefusalReason::AdmissionRate => "admission_rate",
            RefusalReason::NoServer => "no_server",
            RefusalReason::EndpointListExpired => "endpoint_list_expired",
            RefusalReason::AttemptsSpent => "attempts_spent",
            RefusalReason::OutOfTime => "out_of_time",
            RefusalReason::CorrelatedFailure => "shared_fault",
        }
    }
}

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
        /// within this time. After it the server would not recognise the repeat of an attempt that may have
        /// run, or the endpoint list has expired.
        forwarding_timeout: Option<Micros>,
    },
    /// Final answer: rejected; a retry is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// Why.
        reason: RefusalReason,
        /// How long the client should wait before a retry; 0 for no advice.
        retry_after: Micros,
    },
    /// Final answer: failed; promises nothing.
    Fail {
        /// The request.
        request: RequestId,
        /// Why.
        reason: RefusalReason,
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
