//! A model of what the connection balancer serves, in virtual time: servers, a session store, clients and the front that
//! spreads them, around several of the daemon's real reducers. It replaces sockets, not decisions.
//!
//! **What it does.** [`day::play`] plays one seeded day of a [`deployment::Deployment`] under a [`scenario::Scenario`],
//! and returns the value that was served and which invariants were violated. [`comparison`] plays days in pairs, with
//! rebalancing off and on.
//!
//! **What it guarantees.** The same deployment, scenario and seed give the same day, to the microsecond. Clients, their
//! lifetimes, loads and groups are drawn before the day, so both sides of a pair serve the same ones.
//!
//! **What it may touch.** Nothing outside: no sockets, files, clocks or environment.
//!
//! It is a simplified model. Its servers are queues with a mean, its network has one delay, and its figures are its own:
//! it compares designs, it does not predict a deployment.
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
