//! Actions that the balancer asks the host to carry out.

use super::{Micros, RequestId, ServerId};

/// Reason for which a request is answered without a server. Each variant names the module that decides it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RefusalReason {
    /// Connection setups are slow at all servers, so that only a share of the requests is admitted
    /// (`policy::admission_rate`).
    AdmissionRate,
    /// No server is eligible: selection found none (`policy::selection`), or an earlier attempt may have run
    /// and no server would recognise the retry as a repeat (`policy::retry_policy`).
    NoServer,
    /// The endpoint list is so old that some of its servers may be draining, and discovery does not report
    /// which (`policy::endpoint_lease`).
    EndpointListExpired,
    /// All attempts that the request is allowed were made (`policy::retry_policy`).
    AttemptsExhausted,
    /// The deadline of the request has passed (`policy::retry_policy`).
    DeadlineExceeded,
    /// An attempt failed shortly after an attempt at another server, which indicates a cause that all servers
    /// share (`policy::admission_rate`). Named `shared_fault` in metrics and in the log.
    CorrelatedFailure,
}

impl RefusalReason {
    /// All reasons, in the order in which metrics list them.
    pub const ALL: [RefusalReason; 6] = [
        RefusalReason::AdmissionRate,
        RefusalReason::NoServer,
        RefusalReason::EndpointListExpired,
        RefusalReason::AttemptsExhausted,
        RefusalReason::DeadlineExceeded,
        RefusalReason::CorrelatedFailure,
    ];

    /// Returns the name in metrics and in the log.
    pub fn name(self) -> &'static str {
        match self {
            RefusalReason::AdmissionRate => "admission_rate",
            RefusalReason::NoServer => "no_server",
            RefusalReason::EndpointListExpired => "endpoint_list_expired",
            RefusalReason::AttemptsExhausted => "attempts_spent",
            RefusalReason::DeadlineExceeded => "out_of_time",
            RefusalReason::CorrelatedFailure => "shared_fault",
        }
    }
}

/// Instruction to the host. The host carries out instructions in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to a server. Attempts of a request are numbered from 0 in the order sent.
    StartAttempt {
        /// Request that the attempt serves.
        request: RequestId,
        /// Server to connect to.
        server: ServerId,
        /// Time after which the host reports [`Outcome::TimedOut`](crate::Outcome::TimedOut).
        acceptance_timeout: Micros,
        /// Time within which the request must be written in full; otherwise the host reports
        /// [`Outcome::NotSent`](crate::Outcome::NotSent). After this time the server would no longer
        /// recognise the repeat of an attempt that may have run, or the endpoint list would have expired.
        forwarding_timeout: Option<Micros>,
    },
    /// Answer a request finally: it is rejected, and the client may retry it safely. The request has not run,
    /// or a second run has no second effect.
    Reject {
        /// Request to answer.
        request: RequestId,
        /// Reason of the rejection.
        reason: RefusalReason,
        /// Time that the client should wait before a retry; 0 for no advice.
        retry_after: Micros,
    },
    /// Answer a request finally: it failed. The client gets no guarantee of whether it ran.
    Fail {
        /// Request to answer.
        request: RequestId,
        /// Reason of the failure.
        reason: RefusalReason,
    },
    /// Stop waiting for an attempt.
    CancelAttempt {
        /// Request that the attempt serves.
        request: RequestId,
        /// Number of the attempt, from 0.
        attempt: u32,
    },
    /// Ask a client to reconnect, so that its connection migrates.
    Migrate {
        /// Request from which the connection was established.
        request: RequestId,
    },
    /// Send a health probe to a server.
    ProbeServer {
        /// Server to probe.
        server: ServerId,
    },
    /// Notify the other balancers, if possible, that a connection setup was slow or a failed setup was
    /// correlated. Either is taken as a sign of a cause that all servers share.
    ReportSlowSetup,
    /// Notify the other balancers, if possible, that a server dropped an established connection.
    ReportDrop {
        /// Server that dropped the connection.
        server: ServerId,
    },
    /// Open a watch on the endpoint list. Discovery first reports the changes that were missed.
    WatchEndpoints,
    /// Report [`Event::TimerFired`](crate::Event::TimerFired) after this time.
    SetTimer(Micros),
}
