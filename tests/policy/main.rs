//! Tests of the decision module through its interface: events and a clock are the input, actions the output.

mod attempts;
mod ceilings;
mod connection_load;
mod endpoint_lease;
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
