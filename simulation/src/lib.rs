//! A model of what the connection balancer serves, in virtual time: servers, a session store, clients and the front that
//! spreads them, around several of the daemon's real reducers. It takes the place of sockets, not of decisions.
//!
//! **What it does.** [`day::play`] plays one seeded day of a [`world::World`] under a [`world::Trouble`], and returns
//! what it was worth and which rules were broken. [`grid`] plays days in pairs, with a feature off and on.
//!
//! **What it promises.** The same world and seed give the same day, to the microsecond. Clients, their lives, loads
//! and groups are drawn before the day, so both sides of a pair serve the same ones.
//!
//! **What it may touch.** Nothing outside: no sockets, files, clocks or environment.
//!
//! It is a stand-in. Its servers are queues with a mean, its network has one delay, and its figures are its own: it
//! compares designs, it does not predict a deployment.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod clients;
pub mod day;
pub mod grid;
pub mod rules;
pub mod server;
pub mod session;
pub mod world;
