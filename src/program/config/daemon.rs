//! The configuration of the daemon as a whole, made of the configurations of its fronts.

use std::net::SocketAddr;

use super::{Irc, Platform, StoreConfig};
use crate::program::log::LogConfig;
use crate::routing::Budget;

/// What the daemon is configured with: at least one front.
#[derive(Debug)]
pub struct Config {
    /// The platform's front.
    pub platform: Option<Platform>,
    /// The IRC front.
    pub irc: Option<Irc>,
    /// Address of the admin endpoint, if there is to be one.
    pub mgmt: Option<SocketAddr>,
    /// The replicated map, where an operator's file sets one up.
    pub store: Option<StoreConfig>,
    /// What both fronts together may hold.
    pub budget: Budget,
    /// How the log is written.
    pub log: LogConfig,
}
