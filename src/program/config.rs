//! The one place where configuration is read, checked and given its defaults. What is wrong is told by
//! the key that holds it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use super::log::LogConfig;
use crate::protocol::http::{self, EndpointListUpdate};
use crate::protocol::irc;
use crate::protocol::json::{self, Fault, Place};
use crate::routing::store::LONGEST_NODE;
use crate::routing::{stored_endpoint, Budget, Endpoint, Lifecycle, PoolConfig, MOST_PROBES};
use crate::transport::MOST_CALLERS;
use crate::{rebalance, Class, Idempotency, KeyScope, Micros, Settings, Tenant, ZoneId};

/// The client of the platform has so long for its first line, which it sends at once. One that says
/// nothing is to be closed within 3 s, the wait to be accepted included.
const PLATFORM_GREETING: Micros = 1_500_000;
/// The platform's clients send a line every 2 s and have one back at once: after this long without, a
/// standing connection's server is taken to be lost. 7 s are allowed.
const PLATFORM_SILENCE: Micros = 5_000_000;

/// All that a daemon is told: at least one front.
#[derive(Debug)]
pub struct Config {
    /// The platform's front.
    pub platform: Option<Platform>,
    /// The IRC front.
    pub irc: Option<Irc>,
    /// The operators' door, if there is to be one.
    pub mgmt: Option<SocketAddr>,
    /// The store, where an operator's file sets one up.
    pub store: Option<StoreConfig>,
    /// What both fronts together may hold.
    pub budget: Budget,
    /// How the log is written.
    pub log: LogConfig,
}

/// What this machine gives the process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Descriptors.
    pub sockets: usize,
    /// Megabytes of memory.
    pub memory_mb: usize,
}

impl Default for Limits {
    /// What the system gives, and a modest memory, where nobody says more.
    fn default() -> Limits {
        let files = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
        Limits { sockets: files.map_or(1 << 20, |files| files.min(1 << 20) as usize), memory_mb: 256 }
    }
}

impl Limits {
    /// Descriptors that are not connections: listeners, discovery, the log and what the runtime needs.
    const OWN: usize = 20;
    /// The operators' door: its listener, its callers, and one more before the oldest of them goes.
    const DOOR: usize = MOST_CALLERS + 2;
    const LEAST: usize = 64;
    /// Bytes of a buffer: a few lines in each direction of a connection.
    const LEAST_BUFFER: usize = 8 << 10;
    const MOST_BUFFER: usize = 16 << 10;

    fn read(place: &Place<'_>) -> Result<Limits, Fault> {
        let default = Limits::default();
        let limits = Limits {
            sockets: place.at("sockets").number(default.sockets as f64)? as usize,
            memory_mb: place.at("memory_mb").number(default.memory_mb as f64)? as usize,
        };
        if limits.sockets < Limits::LEAST {
            return Err(place.at("sockets").fault("at least 64 descriptors are wanted"));
        }
        if limits.memory_mb < 8 {
            return Err(place.at("memory_mb").fault("at least 8 megabytes are wanted"));
        }
        Ok(limits)
    }

    fn tighter(self, other: Limits) -> Limits {
        let (sockets, memory_mb) = (self.sockets.min(other.sockets), self.memory_mb.min(other.memory_mb));
        Limits { sockets, memory_mb }
    }

    /// About a quarter of the descriptors is for connections without an attempt, the rest for those with one, who
    /// take two each. Half of the memory is for the buffers of all of them: one each, two with an attempt. The
    /// operators' door and probes of servers, where there are any, have their own set aside.
    pub fn budget(self, door: bool, probes: bool) -> Budget {
        let own = Limits::OWN + if door { Limits::DOOR } else { 0 } + if probes { MOST_PROBES } else { 0 };
        let (free, memory) = (self.sockets - own, (self.memory_mb << 20) / 2);
        let most = memory / Limits::LEAST_BUFFER;
        // Danger: usual clients alone may hold a third of all descriptors, with an attempt for each.
        let held = (free * 3 / 8).max(self.sockets / 3 + 1).min(free * 7 / 16).min(most * 3 / 8);
        let waiting = (free - 2 * held).min(most / 4);
        let buffer = memory / (waiting + 2 * held);
        Budget { waiting, held, buffer: buffer.clamp(Limits::LEAST_BUFFER, Limits::MOST_BUFFER) }
    }
}

/// What the store is told.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreConfig {
    /// Name of this node.
    pub node: String,
    /// Where it hears the others' stores, and operators' commands.
    pub listen: SocketAddr,
    /// The others.
    pub peers: Vec<SocketAddr>,
    /// Where it keeps what it holds; without it, in memory only.
    pub data: Option<PathBuf>,
}

/// What the platform's front is told.
#[derive(Debug)]
pub struct Platform {
    /// Its balancer's name.
    pub name: String,
    /// Where the platform's client connects.
    pub listen: SocketAddr,
    /// The endpoint list as last held.
    pub known: EndpointListUpdate,
    /// The platform's pool.
    pub pool: PoolConfig,
    /// What the platform gives the process.
    pub limits: Limits,
    /// The operators' door.
    pub mgmt: Option<SocketAddr>,
    /// How the other balancers of the tier are reached, where the settings allow that.
    pub peers: Option<PeersAt>,
}

/// How balancers of a tier reach each other.
#[derive(Clone, Debug, PartialEq)]
pub struct PeersAt {
    /// Where this one hears the others.
    pub listen: SocketAddr,
    /// An address that all of them hear.
    pub all: SocketAddr,
    /// From where words come.
    pub from: Vec<SocketAddr>,
}

/// Where the configuration stands; it is read again on SIGHUP.
#[derive(Debug)]
pub struct Sources {
    /// The platform's configuration.
    pub platform: Option<PathBuf>,
    /// An operator's file.
    pub irc: Option<PathBuf>,
    /// An operator's file on rebalancing.
    pub rebalance: Option<PathBuf>,
    /// The operators' door where neither file names one.
    pub mgmt: Option<String>,
}

impl Sources {
    /// Reads and checks all of it.
    pub fn read(&self) -> Result<Config, String> {
        let mgmt = self.mgmt.as_deref().map(|text| {
            let problem =
                |_| "NODE_MGMT: an address with a port is wanted, such as 127.0.0.1:19000".to_owned();
            text.parse().map_err(problem)
        });
        let mut config = read(self.platform.as_deref(), self.irc.as_deref(), mgmt.transpose()?)?;
        if let Some(path) = &self.rebalance {
            let text = read_file(path)?;
            let setups = parse_rebalance(&text).map_err(|fault| format!("{}: {fault}", path.display()))?;
            let platform = config.platform.as_mut().map(|platform| &mut platform.pool);
            let irc = config.irc.as_mut().map(|irc| &mut irc.pool);
            for pool in platform.into_iter().chain(irc) {
                pool.rebalance = setups.get(pool.name).copied().unwrap_or_default();
            }
        }
        Ok(config)
    }
}

/// Reads a file, with its name in the message when that fails.
pub fn read_file(path: &Path) -> Result<Vec<u8>, String> {
    std::fs::read(path).map_err(|e| format!("{}: {e}", path.display()))
}

/// Reads and checks the platform's configuration and an operator's, as far as given. The operators' door is
/// where the first that names it says, or else here.
pub fn read(platform: Option<&Path>, irc: Option<&Path>, mgmt: Option<SocketAddr>) -> Result<Config, String> {
    fn file<T>(path: Option<&Path>, parse: impl Fn(&[u8]) -> Result<T, Fault>) -> Result<Option<T>, String> {
        let Some(path) = path else { return Ok(None) };
        parse(&read_file(path)?).map(Some).map_err(|fault| format!("{}: {fault}", path.display()))
    }
    let operator = file(irc, parse_operator)?;
    let operator_limits = operator.as_ref().map(|operator| operator.limits);
    let operator_mgmt = operator.as_ref().and_then(|operator| operator.mgmt);
    let log = operator.as_ref().map(|operator| operator.log.clone()).unwrap_or_default();
    let (irc, store) = operator.map_or((None, None), |operator| (Some(operator.irc), operator.store));
    let platform = file(platform, parse_platform)?;
    // Both fronts share one process: the tighter limits hold.
    let limits = [platform.as_ref().map(|p| p.limits), operator_limits].into_iter().flatten();
    let mgmt = platform.as_ref().and_then(|p| p.mgmt).or(operator_mgmt).or(mgmt);
    let probes = platform.as_ref().is_some_and(|p| p.pool.settings.probes && p.pool.settings.probe_reports);
    let budget = limits.reduce(Limits::tighter).unwrap_or_default().budget(mgmt.is_some(), probes);
    let config = Config { platform, irc, mgmt, store, budget, log };
    if config.platform.is_none() && config.irc.is_none() {
        return Err("no front to serve: give --config FILE, set NODE_CONFIG or give --irc FILE".to_owned());
    }
    Ok(config)
}

/// Reads and checks the text of the platform's configuration.
pub fn parse_platform(text: &[u8]) -> Result<Platform, Fault> {
    let document = json::document(text)?;
    let root = Place::root(&document);
    let known = root.at("known");
    let (listen, discovery) = (address(&root.at("listen"))?, address(&root.at("discovery"))?);
    let mut pool = pool(&root.at("settings"), seed(&root.at("seed"))?)?;
    pool.discovery = Some(discovery);
    let (peer_listen, all) = (maybe_address(&root.at("peer_listen"))?, maybe_address(&root.at("peers_all"))?);
    let from = root.at("peers").items()?.iter().map(address).collect::<Result<Vec<_>, _>>()?;
    let reached = peer_listen.zip(all).filter(|_| pool.peers.is_some());
    let peers = reached.map(|(listen, all)| PeersAt { listen, all, from });
    // Where nobody is reached, nobody is told.
    pool.peers = pool.peers.filter(|_| peers.is_some());
    Ok(Platform {
        name: root.at("name").text()?.unwrap_or_else(|| "sagemount".to_owned()),
        listen,
        known: http::endpoint_list_update(&known)?,
        pool,
        limits: Limits::read(&root.at("limits"))?,
        mgmt: maybe_address(&root.at("mgmt"))?,
        peers,
    })
}

/// What the IRC front is told.
#[derive(Debug)]
pub struct Irc {
    /// Where its client connects.
    pub listen: SocketAddr,
    /// How it speaks.
    pub setup: irc::IrcConfig,
    /// Its servers.
    pub endpoints: Vec<Endpoint>,
    /// Its pool.
    pub pool: PoolConfig,
}

impl Irc {
    /// Port 0 asks the system for one: that is where clients come again.
    pub fn take_port(&mut self, at: SocketAddr) {
        if self.setup.address.1 == 0 {
            self.setup.address.1 = at.port();
        }
    }
}

/// An operator's file.
#[derive(Debug)]
pub struct Operator {
    /// The IRC front.
    pub irc: Irc,
    /// The store.
    pub store: Option<StoreConfig>,
    /// What the process may use.
    pub limits: Limits,
    /// The operators' door.
    pub mgmt: Option<SocketAddr>,
    /// How the log is written.
    pub log: LogConfig,
}

/// Reads and checks the text of an operator's file.
pub fn parse_operator(text: &[u8]) -> Result<Operator, Fault> {
    let document = json::document(text)?;
    let root = Place::root(&document);
    let known = [
        "listen",
        "mgmt",
        "name",
        "public",
        "seed",
        "class",
        "tenant",
        "capabilities",
        "balancers",
        "limits",
        "drain_over_ms",
        "zone",
        "zones",
        "hosts",
        "store",
        "log",
    ];
    root.only(&known)?;
    let listen = address(&root.at("listen"))?;
    let public = if root.at("public").exists() { address(&root.at("public"))? } else { listen };
    let class = root.at("class");
    class.only(&["name", "worth", "setup_aim_ms", "give_up_ms"])?;
    let limits = root.at("limits");
    let known = ["legs", "connect_ms", "retry_after_ms", "warm_up_ms", "cold_share", "connections"];
    limits.only(&[&known[..], &["sockets", "memory_mb"]].concat())?;
    let name = class.at("name").text()?.unwrap_or_else(|| "irc".to_owned());
    let tenant = root.at("tenant").text()?;
    let give_up = class.at("give_up_ms").some_millis(10_000_000)?;
    let default = Settings::default();
    let zones = root.at("zones").texts()?;
    let settings = Settings {
        balancers: root.at("balancers").count(1)?,
        zone: zone(&root.at("zone"), &zones)?,
        classes: vec![Class {
            priority_weight: class.at("worth").number(1.0)?,
            setup_objective: class.at("setup_aim_ms").millis(give_up / 4)?,
            message_objective: 0,
            idempotency: Idempotency::Idempotent,
        }],
        tenants: tenant.iter().map(|_| Tenant::default()).collect(),
        max_attempts: limits.at("legs").count(6)?.min(6),
        cancel: true,
        retry_after: true,
        max_retry_after: limits.at("retry_after_ms").millis(10_000_000)?,
        connect_timeout: limits.at("connect_ms").some_millis(1_000_000)?,
        slow_start_share: limits.at("cold_share").within(LEAST_SHARE..=1.0, default.slow_start_share)?,
        slow_start_duration: limits.at("warm_up_ms").millis(default.slow_start_duration)?,
        ..default
    };
    let irc = Irc {
        listen,
        setup: irc::IrcConfig {
            name: root.at("name").text()?.unwrap_or_else(|| "irc.sagemount".to_owned()),
            address: (public.ip().to_string(), public.port()),
            class: name.clone(),
            tenant: tenant.clone(),
            capabilities: root.at("capabilities").texts()?,
        },
        endpoints: root.at("hosts").items()?.iter().map(irc_server).collect::<Result<_, _>>()?,
        pool: PoolConfig {
            name: "irc",
            classes: vec![name],
            tenants: tenant.into_iter().collect(),
            zones,
            settings,
            seed: seed(&root.at("seed"))?,
            discovery: None,
            greeting: give_up,
            from_store: true,
            most_held: limits.at("connections").number(10_000.0)? as usize,
            drain_over: root.at("drain_over_ms").millis(20_000_000)?,
            silence: 0,
            tells_delay: false,
            tells_load: true,
            reports: Vec::new(),
            longest_wait: give_up,
            rebalance: rebalance::RebalanceConfig::default(),
            peers: None,
        },
    };
    let mgmt = maybe_address(&root.at("mgmt"))?;
    let (store, log) = (store(&root.at("store"))?, log(&root.at("log"))?);
    Ok(Operator { irc, store, limits: Limits::read(&limits)?, mgmt, log })
}

fn log(place: &Place<'_>) -> Result<LogConfig, Fault> {
    place.only(&["levels", "format"])?;
    let default = LogConfig::default();
    let (levels, format) = (place.at("levels"), place.at("format"));
    // Danger: to the library a level that is misspelt is a module's name, all of which is written.
    let parsed = levels.text()?.map(|text| LogConfig::levels(&text).ok_or(()));
    let wanted = "levels are wanted, such as info or warn,connection_balancer::transport=debug";
    let json = match format.text()?.as_deref() {
        None | Some("text") => false,
        Some("json") => true,
        Some(_) => return Err(format.fault("text or json is wanted")),
    };
    let levels = parsed.transpose().map_err(|()| levels.fault(wanted))?.unwrap_or(default.levels);
    Ok(LogConfig { levels, json })
}

/// Reads and checks the text of an operator's file on rebalancing: a part for each front, by its name.
pub fn parse_rebalance(text: &[u8]) -> Result<BTreeMap<&'static str, rebalance::RebalanceConfig>, Fault> {
    let document = json::document(text)?;
    let root = Place::root(&document);
    let fronts = ["platform", "irc"];
    root.only(&fronts)?;
    let setup = |place: &Place<'_>| {
        place.only(&["on", "most_per_s", "margin", "assumed_use"])?;
        let default = rebalance::RebalanceConfig::default();
        let setup = rebalance::RebalanceConfig {
            enabled: place.at("on").flag(default.enabled)?,
            max_moves_per_s: place.at("most_per_s").number(default.max_moves_per_s)?,
            margin: place.at("margin").number(default.margin)?,
            assumed_use: place.at("assumed_use").number(default.assumed_use)?,
        };
        let sound = [
            (
                "most_per_s",
                setup.max_moves_per_s > 0.0,
                "more than 0 is wanted; to move nobody set on to false",
            ),
            ("margin", setup.margin >= 1.0, "at least 1 is wanted: less moves clients at a loss"),
            ("assumed_use", (0.1..=0.9).contains(&setup.assumed_use), "a share from 0.1 to 0.9 is wanted"),
        ];
        match sound.into_iter().find(|(_, sound, _)| !sound) {
            Some((key, _, what)) => Err(place.at(key).fault(what)),
            None => Ok(setup),
        }
    };
    fronts.into_iter().map(|front| Ok((front, setup(&root.at(front))?))).collect()
}

fn store(place: &Place<'_>) -> Result<Option<StoreConfig>, Fault> {
    place.only(&["node", "listen", "peers", "data"])?;
    if !place.exists() {
        return Ok(None);
    }
    let node = place.at("node").must_text()?;
    if node.len() > LONGEST_NODE {
        return Err(place.at("node").fault("at most 32 bytes are wanted"));
    }
    let peers = place.at("peers").items()?.iter().map(address).collect::<Result<_, _>>()?;
    let data = place.at("data").text()?.map(PathBuf::from);
    Ok(Some(StoreConfig { node, listen: address(&place.at("listen"))?, peers, data }))
}

fn irc_server(endpoint: &Place<'_>) -> Result<Endpoint, Fault> {
    endpoint.only(&["name", "address", "zone", "weight"])?;
    Ok(Endpoint {
        name: endpoint.at("name").must_text()?,
        address: address(&endpoint.at("address"))?.to_string(),
        zone: endpoint.at("zone").text()?.unwrap_or_default(),
        cell: 0,
        lifecycle: Lifecycle::Ready,
        weight: endpoint.at("weight").number(1.0)?,
        started: None,
    })
}

/// An address with its port, in figures: there is no DNS.
pub fn address(place: &Place<'_>) -> Result<SocketAddr, Fault> {
    place
        .must_text()?
        .parse()
        .map_err(|_| place.fault("an address with a port is wanted, such as 127.0.0.1:8081"))
}

fn maybe_address(place: &Place<'_>) -> Result<Option<SocketAddr>, Fault> {
    place.exists().then(|| address(place)).transpose()
}

fn seed(place: &Place<'_>) -> Result<u64, Fault> {
    let Some(text) = place.text()? else { return Ok(0) };
    u64::from_str_radix(&text, 16).map_err(|_| place.fault("up to 16 hexadecimal digits are wanted"))
}

/// Checks what an operator writes to the store.
pub fn store_entry(key: &str, value: Option<&str>) -> Result<(), String> {
    let (sound, wanted) = match (key.split_once('/'), value) {
        (Some(("host", name)), value) => {
            let sound = value.is_none_or(|text| stored_endpoint(name, text).is_some());
            (sound && !name.is_empty(), "ADDRESS [ZONE [WEIGHT]] is wanted")
        }
        (Some(("life", name)), value) => {
            let sound = value.is_none_or(|text| text == "gone");
            (sound && !name.is_empty(), "gone is wanted; to take a host out for a while, exclude it")
        }
        (Some(("limit", "connections")), value) => {
            (value.is_none_or(|text| text.parse::<usize>().is_ok()), "a number is wanted")
        }
        _ => (false, "host/NAME, life/NAME or limit/connections is wanted"),
    };
    if sound {
        Ok(())
    } else {
        Err(format!("{key}: {wanted}"))
    }
}

/// The platform's settings, in the module's terms.
pub fn pool(settings: &Place<'_>, seed: u64) -> Result<PoolConfig, Fault> {
    let default = Settings::default();
    let (info, limits) = (settings.at("family-info"), settings.at("limits"));
    let (charges, rules) = (settings.at("charges"), settings.at("invariants"));
    let mut setup = PoolConfig {
        name: "platform",
        classes: Vec::new(),
        tenants: Vec::new(),
        zones: settings.at("zones").texts()?,
        settings: default.clone(),
        seed,
        discovery: None,
        greeting: PLATFORM_GREETING,
        from_store: false,
        most_held: usize::MAX,
        drain_over: 0,
        silence: PLATFORM_SILENCE,
        tells_delay: info.at("tells-delay").flag(false)?,
        tells_load: info.at("tells-load").flag(true)?,
        reports: reports(settings)?,
        longest_wait: 0,
        rebalance: rebalance::RebalanceConfig::default(),
        peers: None,
    };
    if limits.at("peers").flag(false)? {
        setup.peers = Some(charges.at("peer").number(0.0)?);
    }
    let mut classes = Vec::new();
    let aims = info.at("message-aim").items()?;
    for (n, class) in settings.at("classes").items()?.iter().enumerate() {
        new_name(&mut setup.classes, &class.at("name"))?;
        setup.longest_wait = setup.longest_wait.max(class.at("deadline").some_millis(0)?);
        classes.push(Class {
            priority_weight: class.at("gain").number(1.0)?,
            setup_objective: class.at("objective").millis(0)?,
            message_objective: aims.get(n).map_or(Ok(0), |aim| aim.millis(0))?,
            idempotency: idempotency(class)?,
        });
    }
    let mut tenants = Vec::new();
    let quotas = info.at("tenant-quota-connections").items()?;
    for (n, tenant) in settings.at("accounts").items()?.iter().enumerate() {
        new_name(&mut setup.tenants, &tenant.at("name"))?;
        tenants.push(Tenant {
            quota_per_s: tenant.at("quota-per-s").number(0.0)?,
            quota_connections: quotas.get(n).map_or(Ok(0.0), |quota| quota.number(0.0))?,
        });
    }
    setup.settings = Settings {
        balancers: settings.at("balancers").count(1)?,
        zone: zone(&settings.at("zone"), &setup.zones)?,
        classes,
        tenants,
        over_quota_weight: settings.at("over-share-worth").within(0.0..=1.0, default.over_quota_weight)?,
        max_attempts: limits.at("try-limit").count(default.max_attempts)?,
        cancel: limits.at("cancel").flag(false)?,
        retry_after: limits.at("retry-after").flag(false)?,
        max_retry_after: limits.at("max-retry-after").millis(default.max_retry_after)?,
        connect_timeout: limits.at("connect-timeout").some_millis(default.connect_timeout)?,
        // On sockets a list comes only when it is asked for, whatever the simulator does.
        poll_required: true,
        poll_interval: rules.at("must-ask-in").some_millis(default.poll_interval)?,
        endpoints_pushed: endpoints_pushed(&settings.at("discovery"))?,
        drain_grace: rules.at("drain-grace").some_millis(default.drain_grace)?,
        probes: limits.at("probing").flag(false)?,
        probe_reports: !setup.reports.is_empty(),
        probe_cost: charges.at("probe").number(0.0)?,
        cross_zone_cost: charges.at("cross-zone").number(0.0)?,
        migration_cost: charges.at("moves").number(0.0)?,
        slow_start_share: rules.at("cold-share").within(LEAST_SHARE..=1.0, default.slow_start_share)?,
        slow_start_duration: rules.at("warm-up").millis(default.slow_start_duration)?,
        slow_start_overload_factor: rules
            .at("tip-multiple")
            .within(1.0..=1e6, default.slow_start_overload_factor)?,
        slow_start_window: rules.at("overload-for").some_millis(default.slow_start_window)?,
    };
    Ok(setup)
}

/// A server that starts with less than this share of what it can do could be sent nothing at all.
const LEAST_SHARE: f64 = 1e-6;

/// A name that none before has. Danger: of two alike one would be served by the other's terms.
fn new_name(names: &mut Vec<String>, place: &Place<'_>) -> Result<(), Fault> {
    let name = place.must_text()?;
    if names.contains(&name) {
        return Err(place.fault("another has this name"));
    }
    names.push(name);
    Ok(())
}

/// The zone that this balancer is in, by its place among all.
fn zone(place: &Place<'_>, zones: &[String]) -> Result<ZoneId, Fault> {
    let name = place.text()?.filter(|name| !name.is_empty() && !zones.is_empty());
    let Some(name) = name else { return Ok(ZoneId(0)) };
    let at = zones.iter().position(|zone| *zone == name);
    at.map(|at| ZoneId(at as u16)).ok_or_else(|| place.fault("one of the zones is wanted"))
}

/// How long repeats of a request are dropped by its key.
fn known_for(class: &Place<'_>) -> Result<Micros, Fault> {
    let window = class.at("window");
    if !window.exists() {
        return Err(window.fault("is missing"));
    }
    window.some_millis(0)
}

/// Whether lists are pushed, or have to be asked for.
fn endpoints_pushed(place: &Place<'_>) -> Result<bool, Fault> {
    match place.text()?.as_deref() {
        Some("pushed") => Ok(true),
        Some("on_request") | None => Ok(false),
        Some(_) => Err(place.fault("pushed or on_request is wanted")),
    }
}

/// Names under which the servers' reports hold load over capacity, on this wire, where a probe brings one.
fn reports(settings: &Place<'_>) -> Result<Vec<&'static str>, Fault> {
    let reporting = settings.at("reporting");
    let fields = reporting.at("fields").texts()?;
    let told = |name: &str| fields.iter().any(|field| field == name);
    let asked = settings.at("family-info").at("report-x0").exists() && told("x0");
    // In answers on sockets the short form is used as well.
    let names = [("x0", asked), ("utilization", told("utilization")), ("util", told("utilization"))];
    let off = reporting.at("how").text()?.is_none_or(|how| how == "off");
    Ok(names.into_iter().filter(|(_, told)| *told && !off).map(|(name, _)| name).collect())
}

fn idempotency(class: &Place<'_>) -> Result<Idempotency, Fault> {
    let (place, group) = (class.at("repeat"), class.at("group"));
    let scope = match group.text()?.as_deref() {
        Some("all") => KeyScope::All,
        Some("zone") => KeyScope::Zone,
        Some("cell") | None => KeyScope::Cell,
        Some(_) => return Err(group.fault("all, zone or cell is wanted")),
    };
    match place.text()?.as_deref() {
        Some("repeatable") => Ok(Idempotency::Idempotent),
        Some("by_key") => Ok(Idempotency::IdempotencyKey { scope, window: known_for(class)? }),
        Some("once") | None => Ok(Idempotency::NotIdempotent),
        Some(_) => Err(place.fault("repeatable, by_key or once is wanted")),
    }
}
