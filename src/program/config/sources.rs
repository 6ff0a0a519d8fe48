//! Where the configuration comes from, and how its parts are put together.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use super::daemon::Config;
use super::error::ConfigError;
use super::limits::Limits;
use super::operator::parse_operator;
use super::platform::parse_platform;
use super::rebalance::parse_rebalance;
use crate::protocol::json::DecodeError;

/// Where the configuration is; it is read again on SIGHUP.
#[derive(Debug)]
pub struct Sources {
    /// The platform's configuration.
    pub platform: Option<PathBuf>,
    /// An operator's file.
    pub irc: Option<PathBuf>,
    /// An operator's file on rebalancing.
    pub rebalance: Option<PathBuf>,
    /// Address of the admin endpoint where neither file names one.
    pub mgmt: Option<String>,
}

impl Sources {
    /// Reads and checks all of it.
    ///
    /// # Errors
    /// [`ConfigError`] for the first file or key that is wrong.
    pub fn read(&self) -> Result<Config, ConfigError> {
        let mgmt = self.mgmt.as_deref().map(str::parse).transpose();
        let mgmt = mgmt.map_err(|source| ConfigError::AdminAddress { source })?;
        let mut config = read_config(self.platform.as_deref(), self.irc.as_deref(), mgmt)?;
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

/// Reads a file.
///
/// # Errors
/// [`ConfigError::Read`] with the file's name.
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

/// Reads and checks the platform's configuration and an operator's, as far as given. The address of the admin
/// endpoint is the first that is named: by the platform, by the operator, or by `mgmt`.
///
/// # Errors
/// [`ConfigError`] for the first file or key that is wrong, or if there is no front.
pub fn read_config(
    platform: Option<&Path>,
    irc: Option<&Path>,
    mgmt: Option<SocketAddr>,
) -> Result<Config, ConfigError> {
    let operator = read_and_parse(irc, parse_operator)?;
    let operator_limits = operator.as_ref().map(|operator| operator.limits);
    let operator_mgmt = operator.as_ref().and_then(|operator| operator.mgmt);
    let log = operator.as_ref().map(|operator| operator.log.clone()).unwrap_or_default();
    let (irc, store) = operator.map_or((None, None), |operator| (Some(operator.irc), operator.store));
    let platform = read_and_parse(platform, parse_platform)?;
    // Both fronts share one process, so the tighter limits apply.
    let platform_limits = platform.as_ref().map(|platform| platform.limits);
    let limits = [platform_limits, operator_limits].into_iter().flatten().reduce(Limits::min);
    let mgmt = platform.as_ref().and_then(|platform| platform.mgmt).or(operator_mgmt).or(mgmt);
    let has_probes = platform
        .as_ref()
        .is_some_and(|platform| platform.pool.settings.probes && platform.pool.settings.probe_reports);
    let budget = limits.unwrap_or_default().budget(mgmt.is_some(), has_probes);
    if platform.is_none() && irc.is_none() {
        return Err(ConfigError::NoFront);
    }
    Ok(Config { platform, irc, mgmt, store, budget, log })
}
