//! Places long-lived connections at servers: the placement decisions, and the daemon that carries them out.
//!
//! A [`Balancer`] is a state machine without input or output of its own. The host, the program that embeds
//! it, reports each [`Event`] with the time of its clock and carries out the returned [`Action`]s. Balancers
//! share no state. The same settings, seed and events yield the same actions.
//!
//! The algorithm is the simple balancing of "Insensitive Load Balancing" (Bonald, Jonckheere, Proutière,
//! 2004): a new connection is placed at a random server, with a probability in proportion to the server's
//! free slots. Departures from it, such as connections of different loads, groups, zones, slow start and the
//! admission rate, are described in the modules of [`policy`], each with its reason.
//!
//! # Requirements on the host
//!
//! * The host reports events in the order in which they happen, with a clock that never runs backwards. The
//!   first event is the endpoint list, if one is known at startup: an established connection at a server that
//!   is not listed is ignored.
//! * Each request has a [`RequestId`] that was never used before.
//! * The host reports exactly one [`Event::AttemptEnded`] for each [`Action::StartAttempt`]. If no connection
//!   was established, it does so at the latest when the attempt's timeout or the client's deadline has
//!   passed. Otherwise it first reports one [`Event::ConnectionEstablished`], and [`Event::AttemptEnded`]
//!   when the connection ends.
//! * The host reports [`Event::TimerFired`] when a time set by [`Action::SetTimer`] has passed. Several
//!   timers may run at the same time. A timer that is no longer needed has no effect.
//! * The host answers [`Action::WatchEndpoints`] with a complete list, a change of the list, or
//!   [`Event::EndpointWatchFailed`]. Reporting [`Event::EndpointListConfirmed`] is optional. A host that has
//!   reported it once, or [`Event::EndpointWatchStarted`], reports it with each answer; otherwise the list
//!   expires. [`Event::EndpointWatchSilent`] reports that an answer is late, and does not end the call.
//!
//! A violation of these requirements does not cause a panic: events of unknown or finished requests are
//! ignored. A missing [`Event::AttemptEnded`] leaves slots occupied. A missing [`Event::TimerFired`] delays
//! answers and calls of discovery until the next event.
//!
//! # A minimal host
//!
//! ```
//! use connection_balancer::*;
//!
//! let class = Class {
//!     priority_weight: 1.0,
//!     setup_objective: Micros::from_millis(300),
//!     message_objective: Micros::from_millis(100),
//!     idempotency: Idempotency::Idempotent,
//! };
//! let settings = Settings { classes: vec![class], max_attempts: 3, ..Settings::default() };
//! let mut now = Time(5_000_000);
//! let mut balancer = Balancer::new(settings, 42, now);
//! let mut actions = Vec::new();
//!
//! // The endpoint list, and a connection that was established before this balancer started.
//! let server = |id| EndpointEntry {
//!     server: ServerId(id),
//!     zone: ZoneId(0),
//!     cell: CellId(0),
//!     state: EndpointState::Serving,
//!     started_at: None,
//!     weight: 1.0,
//! };
//! balancer.handle(now, Event::EndpointListReplaced(&[server(1), server(2)]), &mut actions);
//! let (class, tenant, group, load) = (ClassId(0), None, None, None);
//! let (request, server) = (RequestId(0), ServerId(1));
//! let established = Event::EstablishedConnectionAdded { request, class, tenant, group, load, server };
//! balancer.handle(now, established, &mut actions);
//!
//! // A client requests a connection.
//! let (request, deadline) = (RequestId(1), now.plus(Micros::from_secs(2)));
//! let arrived = Event::RequestArrived { request, class, tenant, group, load, deadline };
//! balancer.handle(now, arrived, &mut actions);
//! let mut timer_at = None;
//! for action in actions.drain(..) {
//!     match action {
//!         Action::StartAttempt { request, server, acceptance_timeout, .. } => {
//!             let microseconds = acceptance_timeout.0;
//!             println!("connect {request:?} to {server:?} within {microseconds} microseconds");
//!         }
//!         Action::SetTimer(delay) => timer_at = Some(now.plus(delay)),
//!         other => println!("{other:?}"),
//!     }
//! }
//! assert!(timer_at.is_some_and(|at| at < deadline));
//!
//! // The connection is established, and ends later.
//! now = now.plus(Micros::from_millis(20));
//! balancer.handle(now, Event::ConnectionEstablished { request, attempt: 0 }, &mut actions);
//! assert!(balancer.is_tracked(request));
//! now = now.plus(Micros::from_secs(60));
//! let ended = Event::AttemptEnded { request, attempt: 0, outcome: Outcome::Ok, answered: true };
//! balancer.handle(now, ended, &mut actions);
//! assert!(!balancer.is_tracked(request));
//! ```
#![forbid(unsafe_code)]
#![deny(missing_docs)]

// The decisions are in `policy`, which uses `bookkeeping`. The other modules are the daemon's layers. The
// decisions depend on none of them, so that another program can embed a balancer without the daemon.
pub mod bookkeeping;
pub mod peers;
pub mod policy;
pub mod program;
pub mod protocol;
pub mod rebalance;
pub mod routing;
pub mod transport;

mod types;

pub use policy::Balancer;
pub use types::*;
