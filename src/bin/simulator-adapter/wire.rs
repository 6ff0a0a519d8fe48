//! Reads and prints the simulator's wire. Nothing is decided here, and nothing kept.

use std::io::Write;

use connection_balancer::*;

/// What is wrong with a line, said plainly.
#[derive(Debug, PartialEq)]
pub struct Malformed {
    /// The message's name.
    pub message: String,
    /// The field that is missing or cannot be read.
    pub field: String,
    /// What it held, if it was there.
    pub value: Option<String>,
}

impl std::fmt::Display for Malformed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match &self.value {
            Some(value) => write!(f, "{}: cannot read field '{}' from '{}'", self.message, self.field, value),
            None => write!(f, "{}: field '{}' is missing", self.message, self.field),
        }
    }
}

/// Most fields that a message of this wire carries (settings apart), with some to spare.
const FIELDS: usize = 24;

/// One line, cut into its name and fields without copying.
pub struct Line<'a> {
    pub name: &'a str,
    rest: &'a str,
    fields: [(&'a str, &'a str); FIELDS],
    count: usize,
}

impl<'a> Line<'a> {
    pub fn cut(text: &'a str) -> Line<'a> {
        let (name, rest) = text.split_once('\t').unwrap_or((text, ""));
        let mut line = Line { name, rest, fields: [("", ""); FIELDS], count: 0 };
        for (slot, pair) in line.fields.iter_mut().zip(pairs(rest)) {
            *slot = pair;
            line.count += 1;
        }
        line
    }

    fn text(&self, field: &str) -> Option<&'a str> {
        self.fields[..self.count].iter().find(|(name, _)| *name == field).map(|&(_, value)| value)
    }

    fn bad(&self, field: &str) -> Malformed {
        let value = self.text(field).map(str::to_owned);
        Malformed { message: self.name.to_owned(), field: field.to_owned(), value }
    }

    /// A field that may be absent, but not unreadable.
    fn maybe<T>(&self, field: &str, read: impl FnOnce(&'a str) -> Option<T>) -> Result<Option<T>, Malformed> {
        self.text(field).map(|value| read(value).ok_or_else(|| self.bad(field))).transpose()
    }

    fn must<T>(&self, field: &str, read: impl FnOnce(&'a str) -> Option<T>) -> Result<T, Malformed> {
        self.maybe(field, read)?.ok_or_else(|| self.bad(field))
    }
}

fn pairs(rest: &str) -> impl Iterator<Item = (&str, &str)> {
    rest.split('\t').filter_map(|part| part.split_once('='))
}

/// A line of a batch, still in the wire's terms where those need an instance to resolve.
pub enum Message<'a> {
    /// A batch opens at this time.
    Open(Time),
    /// It closes: the reply is due.
    Close,
    /// The lines that follow are for this instance.
    For(u32),
    /// The instance starts.
    Hello { seed: u64, config: Box<Config> },
    /// The instance is killed.
    Kill,
    /// A numbered list of so many entries, in the lines that follow.
    Table { set: usize },
    /// An entry of it.
    Item(Item<'a>),
    /// The instance is told a list, or that it cannot be had.
    Sync { set: usize, scope: Scoped },
    /// A request, new or (with a server) a connection open at the start.
    Request(Arrival<'a>),
    /// What happened to a request.
    About { request: &'a str, what: What },
    /// A timer is due.
    Due,
    /// A probe came back.
    Probed { server: ServerId, outcome: Outcome, report: &'a str },
    /// Nothing that this adapter uses.
    Other,
}

/// What a list told to an instance holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Scoped {
    Whole,
    Changes,
    Failed,
}

/// A list entry; its zone is still a name.
pub struct Item<'a> {
    pub zone: &'a str,
    pub listed: EndpointEntry,
}

pub struct Arrival<'a> {
    pub request: &'a str,
    pub class: &'a str,
    pub tenant: Option<&'a str>,
    pub group: Option<GroupId>,
    pub load: Option<f64>,
    pub deadline: Option<Time>,
    pub server: Option<ServerId>,
}

pub enum What {
    Started { attempt: u32 },
    Noted(Option<Measurement>),
    Ended { attempt: u32, outcome: Outcome, answered: bool },
    Left,
}

/// Reads one line.
pub fn read<'a>(line: &Line<'a>) -> Result<Message<'a>, Malformed> {
    let about = |what| Ok(Message::About { request: line.must("xid", Some)?, what });
    Ok(match line.name {
        "FRAME" => Message::Open(line.must("t", time)?),
        "OVER_TO_YOU" => Message::Close,
        "TARGET_INSTANCE" => Message::For(line.must("i", number)?),
        "HELLO" => Message::Hello { seed: line.must("prng", number)?, config: Box::new(config(line)?) },
        "KILL" => Message::Kill,
        "TABLE" => Message::Table { set: set(line)? },
        "ITEM" => Message::Item(item(line)?),
        "SYNC" => match line.must("scope", Some)? {
            "C" | "F" => Message::Sync { set: set(line)?, scope: Scoped::Whole },
            "D" => Message::Sync { set: set(line)?, scope: Scoped::Changes },
            "X" => Message::Sync { set: 0, scope: Scoped::Failed },
            _ => return Err(line.bad("scope")),
        },
        "INGRESS" | "INHERITED" => Message::Request(arrival(line)?),
        "ACK_FIRST" => return about(What::Started { attempt: line.must("leg", number)? }),
        "INTERIM" => return about(What::Noted(measurement(line)?)),
        "RESULT" => {
            return about(What::Ended {
                attempt: line.must("leg", number)?,
                outcome: line.must("ending", outcome)?,
                answered: line.maybe("last", flag)?.unwrap_or(false),
            });
        }
        "ABORTED" => return about(What::Left),
        "TICK_DUE" => Message::Due,
        "PONG" => Message::Probed {
            server: line.must("backend", number).map(ServerId)?,
            outcome: line.must("ending", outcome)?,
            report: line.text("feedback").unwrap_or(""),
        },
        _ => Message::Other,
    })
}

/// List numbers run from 0 to 15.
pub const SETS: usize = 16;

fn set(line: &Line<'_>) -> Result<usize, Malformed> {
    line.must("set-id", |value| number(value).filter(|&set: &usize| set < SETS))
}

fn item<'a>(line: &Line<'a>) -> Result<Item<'a>, Malformed> {
    let standing = |value| match value {
        "in_service" => Some(EndpointState::Serving),
        "terminating" => Some(EndpointState::Draining),
        "terminated" => Some(EndpointState::Gone),
        _ => None,
    };
    Ok(Item {
        zone: line.text("site").unwrap_or(""),
        listed: EndpointEntry {
            server: line.must("backend", number).map(ServerId)?,
            zone: ZoneId(0),
            cell: CellId(line.maybe("cell", number)?.unwrap_or(0)),
            state: line.must("mode", standing)?,
            started: line.maybe("launched", time)?.filter(|&at| at > Time(0)),
            weight: line.maybe("units", decimal)?.unwrap_or(0.0),
        },
    })
}

fn arrival<'a>(line: &Line<'a>) -> Result<Arrival<'a>, Malformed> {
    let open = line.name == "INHERITED";
    Ok(Arrival {
        request: line.must("xid", Some)?,
        class: line.must("service", Some)?,
        tenant: line.text("owner").filter(|&owner| owner != "0"),
        group: line.maybe("channel", number)?.map(GroupId),
        load: line.maybe("hint", decimal)?,
        deadline: if open { None } else { Some(line.must("give-up-at", time)?) },
        server: if open { Some(line.must("backend", number).map(ServerId)?) } else { None },
    })
}

/// Notes of a topic that is not known are skipped.
fn measurement(line: &Line<'_>) -> Result<Option<Measurement>, Malformed> {
    Ok(match line.must("topic", number::<u32>)? {
        1 => Some(Measurement::Load(line.must("amount", decimal)?)),
        2 => Some(Measurement::MessageTime(line.must("amount", span)?)),
        _ => None,
    })
}

/// A load report, if it holds load over capacity under the first known of `names`.
pub fn report(text: &str, names: &[&str]) -> Option<LoadReport> {
    let value = |name: &str| {
        let mut pairs = text.split(',').filter_map(|pair| pair.split_once(':'));
        pairs.find(|(key, _)| *key == name).and_then(|(_, value)| decimal(value))
    };
    let utilisation = names.iter().find_map(|name| value(name))?;
    Some(LoadReport { utilisation, connections: value("outstanding") })
}

// ---- Settings ----

/// How settings write a value that is not there.
const ABSENT: &str = "null";

/// The settings of an instance, with the names that the wire uses for what the module numbers.
#[derive(Default)]
pub struct Config {
    pub settings: Settings,
    pub zones: Vec<String>,
    pub classes: Vec<String>,
    pub tenants: Vec<String>,
    /// Names under which a report may carry load over capacity.
    pub utilisation: Vec<&'static str>,
}

fn config(line: &Line<'_>) -> Result<Config, Malformed> {
    let found: std::collections::HashMap<&str, &str> = pairs(line.rest).collect();
    let bad = |key: &str| Malformed {
        message: line.name.to_owned(),
        field: key.to_owned(),
        value: found.get(key).map(|v| (*v).to_owned()),
    };
    let text = |key: &str| found.get(key).copied().filter(|&value| value != ABSENT);
    let read = |key: &str, default: f64| match text(key) {
        Some(value) => decimal(value).ok_or_else(|| bad(key)),
        None => Ok(default),
    };
    let time = |key: &str, default: Micros| match text(key) {
        Some(value) => span(value).ok_or_else(|| bad(key)),
        None => Ok(default),
    };
    let flag = |key: &str| match text(key) {
        Some(value) => flag(value).ok_or_else(|| bad(key)),
        None => Ok(false),
    };
    let names = |key: &str| -> Vec<String> {
        text(key).unwrap_or("").split(',').filter(|n| !n.is_empty()).map(str::to_owned).collect()
    };

    let zones = names("zones");
    let zone = zones.iter().position(|z| Some(z.as_str()) == text("zone")).unwrap_or(0);
    let aims = names("family-info.message-aim");
    let quotas = names("family-info.tenant-quota-connections");
    let mut classes = (Vec::new(), Vec::new());
    for i in 0..read("classes.count", 0.0)? as usize {
        let key = |name: &str| format!("classes.{i}.{name}");
        let scope = match text(&key("group")) {
            Some("all") => KeyScope::All,
            Some("zone") => KeyScope::Zone,
            Some("cell") | None => KeyScope::Cell,
            Some(_) => return Err(bad(&key("group"))),
        };
        let idempotency = match text(&key("repeat")) {
            Some("repeatable") => Idempotency::Idempotent,
            Some("by_key") => Idempotency::IdempotencyKey { scope, window: time(&key("window"), 0)? },
            Some("once") | None => Idempotency::NotIdempotent,
            Some(_) => return Err(bad(&key("repeat"))),
        };
        let message_objective = match aims.get(i).filter(|&aim| aim != ABSENT) {
            Some(aim) => span(aim).ok_or_else(|| bad("family-info.message-aim"))?,
            None => 0,
        };
        classes.0.push(text(&key("name")).unwrap_or("").to_owned());
        classes.1.push(Class {
            priority_weight: read(&key("gain"), 1.0)?,
            setup_objective: time(&key("objective"), 0)?,
            message_objective,
            idempotency,
        });
    }
    let mut tenants = (Vec::new(), Vec::new());
    for i in 0..read("accounts.count", 0.0)? as usize {
        tenants.0.push(text(&format!("accounts.{i}.name")).unwrap_or("").to_owned());
        let quota_connections = match quotas.get(i).filter(|&quota| quota != ABSENT) {
            Some(quota) => decimal(quota).ok_or_else(|| bad("family-info.tenant-quota-connections"))?,
            None => 0.0,
        };
        tenants.1.push(Tenant {
            quota_per_s: read(&format!("accounts.{i}.quota-per-s"), 0.0)?,
            quota_connections,
        });
    }
    let utilisation = match text("family-info.report-x0") {
        Some(_) => vec!["x0", "utilization"],
        None => vec!["utilization"],
    };
    let told = names("reporting.fields").iter().any(|f| utilisation.contains(&f.as_str()));
    let default = Settings::default();
    let settings = Settings {
        balancers: read("balancers", 1.0)?.max(1.0) as u32,
        zone: ZoneId(zone as u16),
        classes: classes.1,
        tenants: tenants.1,
        over_quota_weight: read("over-share-worth", default.over_quota_weight)?,
        max_attempts: read("limits.try-limit", default.max_attempts as f64)? as u32,
        cancel: flag("limits.cancel")?,
        retry_after: flag("limits.retry-after")?,
        max_retry_after: time("limits.max-retry-after", default.max_retry_after)?,
        connect_timeout: time("limits.connect-timeout", default.connect_timeout)?,
        poll_required: text("discovery") == Some("on_request"),
        poll_interval: time("invariants.must-ask-in", default.poll_interval)?,
        endpoints_pushed: text("discovery") == Some("pushed"),
        drain_grace: time("invariants.drain-grace", default.drain_grace)?,
        probes: flag("limits.probing")?,
        probe_reports: told && text("reporting.how") != Some("off"),
        probe_cost: read("charges.probe", 0.0)?,
        cross_zone_cost: read("charges.cross-zone", 0.0)?,
        migration_cost: read("charges.moves", 0.0)?,
        slow_start_share: read("invariants.cold-share", default.slow_start_share)?,
        slow_start_duration: time("invariants.warm-up", default.slow_start_duration)?,
        slow_start_overload_factor: read("invariants.tip-multiple", default.slow_start_overload_factor)?,
        slow_start_window: time("invariants.overload-for", default.slow_start_window)?,
    };
    Ok(Config { settings, zones, classes: classes.0, tenants: tenants.0, utilisation })
}

// ---- Values ----

fn number<T: std::str::FromStr>(text: &str) -> Option<T> {
    text.parse().ok()
}

fn decimal(text: &str) -> Option<f64> {
    text.parse().ok().filter(|value: &f64| value.is_finite())
}

/// Milliseconds with a fraction, as whole microseconds.
fn span(text: &str) -> Option<Micros> {
    decimal(text).filter(|ms| (0.0..1e15).contains(ms)).map(|ms| (ms * 1000.0).round() as Micros)
}

fn time(text: &str) -> Option<Time> {
    span(text).map(Time)
}

fn flag(text: &str) -> Option<bool> {
    match text {
        "1" | "true" => Some(true),
        "0" | "false" => Some(false),
        _ => None,
    }
}

fn outcome(text: &str) -> Option<Outcome> {
    Some(match text {
        "0" => Outcome::Error,
        "1" => Outcome::Ok,
        "2" => Outcome::Rejected,
        "3" => Outcome::TimedOut,
        "4" => Outcome::ConnectFailed,
        "5" => Outcome::Reset,
        "6" => Outcome::Cancelled,
        "7" => Outcome::NotSent,
        _ => return None,
    })
}

// ---- Printing ----

/// The actions that follow in the reply are this instance's.
pub fn print_speaker(out: &mut Vec<u8>, instance: u32) {
    let _ = writeln!(out, "SPEAKING\ti={instance}");
}

/// The reply is complete.
pub fn print_end(out: &mut Vec<u8>) {
    out.extend_from_slice(b"EOR\n");
}

/// Prints an action; `word` gives the wire's word for a request.
pub fn print<'a>(out: &mut Vec<u8>, action: &Action, word: impl Fn(RequestId) -> &'a str) {
    // Writing to memory cannot fail.
    let _ = match action {
        Action::StartAttempt { request, server, timeout, .. } => {
            writeln!(
                out,
                "ATTEMPT\txid={}\tbackend={}\tpatience={}",
                word(*request),
                server.0,
                Millis(*timeout)
            )
        }
        Action::Reject { request, retry_after } => {
            writeln!(out, "DENY\txid={}\thold-off={}", word(*request), Millis(*retry_after))
        }
        Action::Fail { request } => writeln!(out, "FINISH_ERROR\txid={}", word(*request)),
        Action::CancelAttempt { request, attempt } => {
            writeln!(out, "RETRACT\txid={}\tleg={attempt}", word(*request))
        }
        Action::Migrate { request } => writeln!(out, "MOVE\txid={}", word(*request)),
        Action::ProbeServer { server } => writeln!(out, "SOUND_OUT\tbackend={}", server.0),
        // The adapter tells other instances nothing.
        Action::ReportSlowSetup | Action::ReportDrop { .. } => Ok(()),
        Action::WatchEndpoints => writeln!(out, "SUBSCRIBE\ton=1"),
        Action::SetTimer(wait) => writeln!(out, "SLEEP\tfrom-now={}\tname=wake", Millis(*wait)),
    };
}

/// Microseconds, shown as milliseconds.
struct Millis(Micros);

impl std::fmt::Display for Millis {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{:03}", self.0 / 1000, self.0 % 1000)
    }
}
