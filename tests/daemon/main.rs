//! Tests of the daemon as a process. Fake servers, clients and a fake discovery service run on loopback.

mod admin;
mod catch_up;
mod fake_servers;
mod floods;
mod hot_restart;
mod irc;
mod migration;
mod pcap;
mod platform;
mod races;
mod stale_list;
mod store;
