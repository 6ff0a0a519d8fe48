//! The daemon as a process, with fake servers, clients and a discovery service on loopback.

mod admin;
mod fake_servers;
mod hot_restart;
mod irc;
mod migration;
mod pcap;
mod platform;
mod races;
mod stale_list;
mod store;
