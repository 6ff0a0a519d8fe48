//! The reducer on its own: inputs and a clock in, effects out.

#[path = "../reducer_harness/mod.rs"]
mod reducer_harness;

mod admin;
mod attempts;
mod harness;
mod hot_restart;
mod load_reports;
mod migration;
mod probes;
mod random_steps;
mod reload;
