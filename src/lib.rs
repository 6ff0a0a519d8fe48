//! Decides where a balancer places long-lived connections, and the daemon around these decisions.
//!
//! A [`Balancer`] is a state machine without input or output of its own: the host hands in what happened ([`Event`]) with
//! the time of its clock, and carries out the actions that come back ([`Action`]). Balancers share no state; the same
//! settings, seed and events give the same actions.
//!
//! The mechanism is the simple balancing of "Insensitive Load Balancing" (Bonald, Jonckheere, Proutière, 2004): a new
//! connection goes to a random server, in proportion to its free slots. `docs/design.md` describes what was kept of it,
//! what was changed and why.
//!
//! # What the host has to guarantee
//!
//! * Events come in the order in which they happened, with a clock that never runs backwards. The first is the endpoint
//!   list, as far as it is known.
//! * Each request has a [`RequestId`] that was never used before.
//! * For each [`Action::StartAttempt`] comes exactly one [`Event::AttemptEnded`], at the latest when its time-out or the
//!   client's deadline has passed; before it one [`Event::ConnectionEstablished`] if the connection was established.
//! * [`Event::TimerFired`] comes when a time set by [`Action::SetTimer`] is over. Several timers may run at once; those
//!   that are needed no more do nothing.
//! * After [`Action::WatchEndpoints`] comes a whole list, a change of it, or [`Event::EndpointWatchFailed`]. A host that
//!   hands in [`Event::EndpointListConfirmed`] does so with each answer: without one the list expires.
//!
//! Where this is broken nothing panics: events of unknown or finished requests are ignored. A missing
//! [`Event::AttemptEnded`] leaves slots taken; a missing [`Event::TimerFired`] leaves a request without its answer.
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
//!     started: None,
//!     weight: 1.0,
//! };
//! balancer.handle(now, Event::EndpointsReplaced(&[server(1), server(2)]), &mut actions);
//! let (class, tenant, group, load) = (ClassId(0), None, None, None);
//! let restored = Event::ConnectionRestored { request: RequestId(0), class, tenant, group, load, server: ServerId(1) };
//! balancer.handle(now, restored, &mut actions);
//!
//! // A client asks for a connection.
//! let (request, deadline) = (RequestId(1), now.plus(Micros::from_secs(2)));
//! balancer.handle(now, Event::RequestArrived { request, class, tenant, group, load, deadline }, &mut actions);
//! let mut timer = None;
//! for action in actions.drain(..) {
//!     match action {
//!         Action::StartAttempt { request, server, timeout, .. } => {
//!             println!("connect {request:?} to {server:?} within {} microseconds", timeout.0);
//!         }
//!         Action::SetTimer(wait) => timer = Some(now.plus(wait)),
//!         other => println!("{other:?}"),
//!     }
//! }
//! assert!(timer.is_some_and(|at| at < deadline));
//!
//! // The connection is established, and later ends.
//! now = now.plus(Micros::from_millis(20));
//! balancer.handle(now, Event::ConnectionEstablished { request, attempt: 0 }, &mut actions);
//! assert!(balancer.is_tracked(request));
//! now = now.plus(Micros::from_secs(60));
//! let end = Event::AttemptEnded { request, attempt: 0, outcome: Outcome::Ok, answered: true };
//! balancer.handle(now, end, &mut actions);
//! assert!(!balancer.is_tracked(request));
//! ```
#![forbid(unsafe_code)]
#![deny(missing_docs)]

// The daemon's layers. The decision module depends on none of them; see `docs/design.md`.
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
