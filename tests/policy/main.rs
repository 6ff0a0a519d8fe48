//! The decision module: events and a clock in, actions out.

mod attempts;
mod ceilings;
mod connection_load;
mod endpoint_list;
mod fleet;
mod groups_and_zones;
mod harness;
mod migration;
mod outlier_detection;
mod peers;
mod probes;
mod rules;
mod slow_start;
