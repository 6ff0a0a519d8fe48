//! Tests of rebalancing: its parts in virtual time, its use by the reducer, and its settings.

#[path = "../reducer_harness/mod.rs"]
mod reducer_harness;

mod candidates;
mod harness;
mod holds;
mod invariants;
mod outcomes;
mod pressure;
mod reducer;
mod settings;
mod spare_capacity;
