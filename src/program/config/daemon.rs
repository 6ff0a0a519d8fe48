//! The daemon's configuration, merged from all of its files.

use std::net::SocketAddr;

use super::irc::IrcFrontConfig;
use super::platform::PlatformConfig;
use super::store::StoreConfig;
use crate::program::log::LogConfig;
use crate::routing::ResourceLimits;

/// Configuration of the daemon. At least one front is configured.
#[derive(Debug)]
pub struct Config {
    /// The platform's front, if its configuration was given.
    pub platform: Option<PlatformConfig>,
    /// The IRC front, if an operator's file was given.
    pub irc: Option<IrcFrontConfig>,
    /// Address of the admin endpoint. Without it the daemon has no admin endpoint.
    pub admin_address: Option<SocketAddr>,
    /// The replicated map, if the operator's file configures one.
    pub store: Option<StoreConfig>,
    /// Limits that all connections of both fronts share.
    pub resource_limits: ResourceLimits,
    /// Levels and format of the log.
    pub log: LogConfig,
}
