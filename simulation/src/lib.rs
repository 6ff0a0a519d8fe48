//! Simulates a deployment of the connection balancer in virtual time. Servers, the session store, clients and
//! the front that distributes clients over the balancers are models. Each balancer is a real reducer of the
//! daemon: the simulation replaces the sockets and uses the daemon's own decisions.
//!
//! **Function.** [`day::play`] simulates one seeded day of a [`deployment::Deployment`] under a
//! [`scenario::Scenario`]. It returns the served value and the violated invariants. [`comparison`] simulates
//! pairs of days, one with rebalancing off and one with rebalancing on.
//!
//! **Guarantees.** The same deployment, scenario and seed give the same day, to the microsecond. The clients
//! with their lifetimes, loads and groups are drawn before the day starts, so both days of a pair have the
//! same clients.
//!
//! **Side effects.** None: no access to sockets, files, clocks or the environment.
//!
//! The model is simplified: a server is described by the mean of a queue, the network has one constant delay,
//! and the constants are the model's own. Its results compare designs and do not predict the behaviour of a
//! deployment.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod clients;
pub mod comparison;
pub mod day;
pub mod deployment;
pub mod idle_balancer;
pub mod invariants;
pub mod pool;
pub mod scenario;
pub mod server;
pub mod session_store;
