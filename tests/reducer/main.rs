//! Tests of the reducer without a driver: they feed inputs and times, and check the returned effects.

#[path = "../reducer_harness/mod.rs"]
mod reducer_harness;

mod admin;
mod attempts;
mod catch_up;
mod harness;
mod hot_restart;
mod load_reports;
mod migration;
mod probes;
mod random_steps;
mod reload;
mod request_ids;
