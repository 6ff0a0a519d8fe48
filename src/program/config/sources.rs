//! Reads the configuration files and merges them into one [`Config`].

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use super::daemon::Config;
use super::error::ConfigError;
use super::limits::Limits;
use super::operator::parse_operator;
use super::platform::parse_platform;
use super::rebalance::parse_rebalance;
use crate::protocol::json::DecodeError;

/// Paths of the configuration files, and the address of the admin endpoint from the environment. The files
/// are read at start and again on each SIGHUP.
#[derive(Debug)]
pub struct Sources {
    /// Path of the platform's configuration.
    pub platform: Option<PathBuf>,
    /// Path of the operator's file, which configures the IRC front.
    pub operator: Option<PathBuf>,
    /// Path of the operator's file on rebalancing.
    pub rebalance: Option<PathBuf>,
    /// Address of the admin endpoint, from the environment. It applies if neither file has one.
    pub admin_address: Option<String>,
}

impl Sources {
    /// Reads and validates all files.
    ///
    /// # Errors
    /// [`ConfigError`] for the first file that cannot be read or the first invalid value.
    pub fn read(&self) -> Result<Config, ConfigError> {
        let parse_address = |text: &str| {
            text.parse().map_err(|source| ConfigError::AdminAddress { value: text.to_owned(), source })
        };
        let admin_address = self.admin_address.as_deref().map(parse_address).transpose()?;
        let mut config = read_config(self.platform.as_deref(), self.operator.as_deref(), admin_address)?;
        if let Some(rebalance_by_front) = read_and_parse(self.rebalance.as_deref(), parse_rebalance)? {
            let platform = config.platform.as_mut().map(|platform| &mut platform.pool);
            let irc = config.irc.as_mut().map(|irc| &mut irc.pool);
            for pool in platform.into_iter().chain(irc) {
                pool.rebalance = rebalance_by_front.get(pool.name).copied().unwrap_or_default();
            }
        }
        Ok(config)
    }
}

/// Returns the content of a file.
///
/// # Errors
/// [`ConfigError::Read`] with the file's path.
pub fn read_file(path: &Path) -> Result<Vec<u8>, ConfigError> {
    std::fs::read(path).map_err(|source| ConfigError::Read { path: path.to_owned(), source })
}

fn read_and_parse<T>(
    path: Option<&Path>,
    parse: impl Fn(&[u8]) -> Result<T, DecodeError>,
) -> Result<Option<T>, ConfigError> {
    let Some(path) = path else { return Ok(None) };
    let parsed = parse(&read_file(path)?);
    parsed.map(Some).map_err(|source| ConfigError::Decode { path: path.to_owned(), source })
}

/// Reads and validates the platform's configuration and the operator's file, each if its path is given.
///
/// The address of the admin endpoint is taken from the platform's configuration, else from the operator's
/// file, else from `default_admin_address`.
///
/// # Errors
/// [`ConfigError`] for the first file that cannot be read or the first invalid value, and if no front is
/// configured.
pub fn read_config(
    platform: Option<&Path>,
    operator: Option<&Path>,
    default_admin_address: Option<SocketAddr>,
) -> Result<Config, ConfigError> {
    let operator = read_and_parse(operator, parse_operator)?;
    let operator_limits = operator.as_ref().map(|operator| operator.limits);
    let operator_admin_address = operator.as_ref().and_then(|operator| operator.admin_address);
    let log = operator.as_ref().map(|operator| operator.log.clone()).unwrap_or_default();
    let (irc, store) = operator.map_or((None, None), |operator| (Some(operator.irc), operator.store));
    let platform = read_and_parse(platform, parse_platform)?;
    // Both fronts share one process, so the lower limits apply.
    let platform_limits = platform.as_ref().map(|platform| platform.limits);
    let limits = [platform_limits, operator_limits].into_iter().flatten().reduce(Limits::min);
    let platform_admin_address = platform.as_ref().and_then(|platform| platform.admin_address);
    let admin_address = platform_admin_address.or(operator_admin_address).or(default_admin_address);
    let has_probes = platform.as_ref().is_some_and(|platform| {
        platform.pool.settings.probes_allowed && platform.pool.settings.probes_report_load
    });
    let resource_limits = limits.unwrap_or_default().resource_limits(admin_address.is_some(), has_probes);
    if platform.is_none() && irc.is_none() {
        return Err(ConfigError::NoFront);
    }
    Ok(Config { platform, irc, admin_address, store, resource_limits, log })
}
