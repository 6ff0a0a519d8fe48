//! The one place where configuration is read, checked and given its defaults. What is wrong is told by
//! the key that holds it.

use std::net::SocketAddr;
use std::path::Path;

use crate::protocol::http::{self, News};
use crate::protocol::json::{self, Fault, Place};
use crate::routing::PoolSetup;
use crate::{Class, Micros, Repeat, Scope, Settings, Tenant, ZoneId};

/// The acquirer side of the platform has so long for its first line.
const PLATFORM_GREETING: Micros = 60_000_000;
/// The platform's clients send a line every 2 s and have one back at once: after this long without, a
/// standing connection's host is taken to be lost. 7 s are allowed.
const PLATFORM_SILENCE: Micros = 5_000_000;

/// All that a daemon is told.
#[derive(Debug)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where the platform's acquirer side connects.
    pub listen: SocketAddr,
    /// Discovery.
    pub discovery: SocketAddr,
    /// File descriptors it may hold.
    pub sockets: usize,
    /// The routing table as last held.
    pub known: News,
    /// The platform's pool.
    pub pool: PoolSetup,
}

/// Reads a file, with its name in the message when that fails.
pub fn read_file(path: &Path) -> Result<Vec<u8>, String> {
    std::fs::read(path).map_err(|e| format!("{}: {e}", path.display()))
}

/// Reads and checks a configuration file.
pub fn read(path: &Path) -> Result<Config, String> {
    parse(&read_file(path)?).map_err(|fault| format!("{}: {fault}", path.display()))
}

/// Reads and checks the text of a configuration.
pub fn parse(text: &[u8]) -> Result<Config, Fault> {
    let document = json::document(text)?;
    let root = Place::root(&document);
    let known = root.at("known");
    Ok(Config {
        name: root.at("name").text()?.unwrap_or_else(|| "sagemount".to_owned()),
        listen: address(&root.at("listen"))?,
        discovery: address(&root.at("discovery"))?,
        sockets: root.at("limits").at("sockets").number(1024.0)? as usize,
        known: http::news(&known)?,
        pool: pool(&root.at("settings"), seed(&root.at("seed"))?)?,
    })
}

/// An address with its port, in figures: there is no DNS.
pub fn address(place: &Place<'_>) -> Result<SocketAddr, Fault> {
    place
        .must_text()?
        .parse()
        .map_err(|_| place.fault("an address with a port is wanted, such as 127.0.0.1:8081"))
}

fn seed(place: &Place<'_>) -> Result<u64, Fault> {
    let Some(text) = place.text()? else { return Ok(0) };
    u64::from_str_radix(&text, 16).map_err(|_| place.fault("up to 16 hexadecimal digits are wanted"))
}

/// The platform's settings, in the module's terms.
pub fn pool(settings: &Place<'_>, seed: u64) -> Result<PoolSetup, Fault> {
    let default = Settings::default();
    let (info, limits) = (settings.at("family-info"), settings.at("limits"));
    let (charges, rules) = (settings.at("charges"), settings.at("invariants"));
    let mut setup = PoolSetup {
        classes: Vec::new(),
        tenants: Vec::new(),
        zones: settings.at("zones").texts()?,
        settings: default.clone(),
        seed,
        greeting: PLATFORM_GREETING,
        silence: PLATFORM_SILENCE,
        tells_delay: info.at("tells-delay").flag(false)?,
        longest_wait: 0,
    };
    let mut classes = Vec::new();
    let aims = info.at("message-aim").items()?;
    for (n, class) in settings.at("classes").items()?.iter().enumerate() {
        setup.classes.push(class.at("name").must_text()?);
        setup.longest_wait = setup.longest_wait.max(class.at("deadline").millis(0)?);
        classes.push(Class {
            worth: class.at("gain").number(1.0)?,
            setup_aim: class.at("objective").millis(0)?,
            message_aim: aims.get(n).map_or(Ok(0), |aim| aim.millis(0))?,
            repeat: repeat(class)?,
        });
    }
    let mut tenants = Vec::new();
    let quotas = info.at("tenant-quota-connections").items()?;
    for (n, tenant) in settings.at("accounts").items()?.iter().enumerate() {
        setup.tenants.push(tenant.at("name").must_text()?);
        tenants.push(Tenant {
            quota_per_s: tenant.at("quota-per-s").number(0.0)?,
            quota_connections: quotas.get(n).map_or(Ok(0.0), |quota| quota.number(0.0))?,
        });
    }
    let zone = settings.at("zone").text()?;
    let zone = setup.zones.iter().position(|z| Some(z) == zone.as_ref()).unwrap_or(0);
    setup.settings = Settings {
        balancers: settings.at("balancers").number(1.0)?.max(1.0) as u32,
        zone: ZoneId(zone as u16),
        classes,
        tenants,
        over_share_worth: settings.at("over-share-worth").number(default.over_share_worth)?,
        max_attempts: limits.at("try-limit").number(default.max_attempts.into())? as u32,
        cancel: limits.at("cancel").flag(false)?,
        retry_after: limits.at("retry-after").flag(false)?,
        max_retry_after: limits.at("max-retry-after").millis(default.max_retry_after)?,
        connect_timeout: limits.at("connect-timeout").millis(default.connect_timeout)?,
        must_ask: settings.at("discovery").text()?.as_deref() == Some("on_request"),
        must_ask_in: rules.at("must-ask-in").millis(default.must_ask_in)?,
        // No issuer host of this shop may be probed, nor does one report its load.
        probes: false,
        probe_reports: false,
        probe_price: 0.0,
        cross_zone_price: charges.at("cross-zone").number(0.0)?,
        move_price: charges.at("moves").number(0.0)?,
        cold_share: rules.at("cold-share").number(default.cold_share)?,
        warm_up: rules.at("warm-up").millis(default.warm_up)?,
        fall_multiple: rules.at("tip-multiple").number(default.fall_multiple)?,
        fall_window: rules.at("overload-for").millis(default.fall_window)?,
    };
    Ok(setup)
}

fn repeat(class: &Place<'_>) -> Result<Repeat, Fault> {
    let (place, group) = (class.at("repeat"), class.at("group"));
    let scope = match group.text()?.as_deref() {
        Some("all") => Scope::All,
        Some("zone") => Scope::Zone,
        Some("cell") | None => Scope::Cell,
        Some(_) => return Err(group.fault("all, zone or cell is wanted")),
    };
    match place.text()?.as_deref() {
        Some("repeatable") => Ok(Repeat::Safe),
        Some("by_key") => Ok(Repeat::Keyed { scope, window: class.at("window").millis(0)? }),
        Some("once") | None => Ok(Repeat::Unsafe),
        Some(_) => Err(place.fault("repeatable, by_key or once is wanted")),
    }
}
