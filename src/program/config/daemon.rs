//! The daemon's configuration, merged from all of its files.

use std::net::SocketAddr;

use super::irc::Irc;
use super::platform::Platform;
use super::store::StoreConfig;
use crate::program::log::LogConfig;
use crate::routing::Budget;

/// Configuration of the daemon. At least one front is configured.
#[derive(Debug)]
pub struct Config {
    /// The platform's front, if its configuration was given.
    pub platform: Option<Platform>,
    /// The IRC front, if an operator's file was given.
    pub irc: Option<Irc>,
    /// Address of the admin endpoint. Without it the daemon has no admin endpoint.
    pub mgmt: Option<SocketAddr>,
    /// The replicated map, if the operator's file configures one.
    pub store: Option<StoreConfig>,
    /// Limits that all connections of both fronts share.
    pub budget: Budget,
    /// Levels and format of the log.
    pub log: LogConfig,
}
