//! The configuration of an instance, from the fields of the message that starts it.

use std::collections::HashMap;

use connection_balancer::{Class, Idempotency, KeyScope, Micros, Settings, Tenant, ZoneId};

use crate::line::{Line, MalformedField};
use crate::values::{parse_decimal, parse_flag, parse_span};

/// How settings write a value that is not there.
const ABSENT: &str = "null";
/// Lists of names and of values are separated by this.
const LIST_SEPARATOR: char = ',';
const MESSAGE_OBJECTIVES: &str = "family-info.message-aim";
const TENANT_CONNECTION_QUOTAS: &str = "family-info.tenant-quota-connections";
const FIRST_REPORT_FIELD: &str = "family-info.report-x0";

/// The settings of an instance, with the names for what the decision module numbers.
#[derive(Default)]
pub(crate) struct InstanceConfig {
    pub settings: Settings,
    pub zones: Vec<String>,
    pub classes: Vec<String>,
    pub tenants: Vec<String>,
    /// Names under which a load report may carry the utilisation.
    pub utilisation_fields: Vec<&'static str>,
}

/// Something with the name that the protocol uses for it.
struct Named<T> {
    name: String,
    value: T,
}

/// Separates the names from what they name.
fn unzip_named<T>(named: Vec<Named<T>>) -> (Vec<String>, Vec<T>) {
    named.into_iter().map(|named| (named.name, named.value)).unzip()
}

/// The fields of a message, by name.
struct SettingsReader<'a> {
    message: &'a str,
    values: HashMap<&'a str, &'a str>,
}

impl<'a> SettingsReader<'a> {
    fn new(line: &Line<'a>) -> SettingsReader<'a> {
        let values = line.all_fields().map(|field| (field.name, field.value)).collect();
        SettingsReader { message: line.message, values }
    }

    fn malformed(&self, key: &str) -> MalformedField {
        MalformedField::new(self.message, key, self.values.get(key).copied())
    }

    fn text(&self, key: &str) -> Option<&'a str> {
        self.values.get(key).copied().filter(|&value| value != ABSENT)
    }

    fn parse<T>(
        &self,
        key: &str,
        default: T,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Result<T, MalformedField> {
        self.text(key).map_or(Ok(default), |value| parse(value).ok_or_else(|| self.malformed(key)))
    }

    fn decimal(&self, key: &str, default: f64) -> Result<f64, MalformedField> {
        self.parse(key, default, parse_decimal)
    }

    fn span(&self, key: &str, default: Micros) -> Result<Micros, MalformedField> {
        self.parse(key, default, parse_span)
    }

    fn flag(&self, key: &str) -> Result<bool, MalformedField> {
        self.parse(key, false, parse_flag)
    }

    /// A list without its empty elements.
    fn list(&self, key: &str) -> Vec<String> {
        let elements = self.text(key).unwrap_or("").split(LIST_SEPARATOR);
        elements.filter(|element| !element.is_empty()).map(str::to_owned).collect()
    }
}

/// Parses the configuration.
///
/// # Errors
///
/// If a value is unreadable. Unknown settings are ignored, missing ones have their defaults.
pub(crate) fn parse(line: &Line<'_>) -> Result<InstanceConfig, MalformedField> {
    let reader = SettingsReader::new(line);
    let zones = reader.list("zones");
    let zone = zones.iter().position(|zone| Some(zone.as_str()) == reader.text("zone")).unwrap_or(0);
    let (classes, class_settings) = unzip_named(parse_classes(&reader)?);
    let (tenants, tenant_settings) = unzip_named(parse_tenants(&reader)?);
    let utilisation_fields = match reader.text(FIRST_REPORT_FIELD) {
        Some(_) => vec!["x0", "utilization"],
        None => vec!["utilization"],
    };
    let reported_fields = reader.list("reporting.fields");
    let reports_utilisation =
        reported_fields.iter().any(|field| utilisation_fields.contains(&field.as_str()));
    let probe_reports = reports_utilisation && reader.text("reporting.how") != Some("off");
    let settings = Settings {
        zone: ZoneId(zone as u16),
        classes: class_settings,
        tenants: tenant_settings,
        probe_reports,
        ..parse_settings(&reader)?
    };
    Ok(InstanceConfig { settings, zones, classes, tenants, utilisation_fields })
}

fn parse_classes(reader: &SettingsReader<'_>) -> Result<Vec<Named<Class>>, MalformedField> {
    let message_objectives = reader.list(MESSAGE_OBJECTIVES);
    let count = reader.decimal("classes.count", 0.0)? as usize;
    let mut classes = Vec::new();
    for index in 0..count {
        let key = |name: &str| format!("classes.{index}.{name}");
        let idempotency = parse_idempotency(reader, key)?;
        let message_objective = match message_objectives.get(index).filter(|&text| text != ABSENT) {
            Some(text) => parse_span(text).ok_or_else(|| reader.malformed(MESSAGE_OBJECTIVES))?,
            None => Micros::ZERO,
        };
        let value = Class {
            priority_weight: reader.decimal(&key("gain"), 1.0)?,
            setup_objective: reader.span(&key("objective"), Micros::ZERO)?,
            message_objective,
            idempotency,
        };
        classes.push(Named { name: reader.text(&key("name")).unwrap_or("").to_owned(), value });
    }
    Ok(classes)
}

/// Whether a class's requests may be repeated; `key` gives the class's keys.
fn parse_idempotency(
    reader: &SettingsReader<'_>,
    key: impl Fn(&str) -> String,
) -> Result<Idempotency, MalformedField> {
    let scope = match reader.text(&key("group")) {
        Some("all") => KeyScope::All,
        Some("zone") => KeyScope::Zone,
        Some("cell") | None => KeyScope::Cell,
        Some(_) => return Err(reader.malformed(&key("group"))),
    };
    match reader.text(&key("repeat")) {
        Some("repeatable") => Ok(Idempotency::Idempotent),
        Some("by_key") => {
            Ok(Idempotency::IdempotencyKey { scope, window: reader.span(&key("window"), Micros::ZERO)? })
        }
        Some("once") | None => Ok(Idempotency::NotIdempotent),
        Some(_) => Err(reader.malformed(&key("repeat"))),
    }
}

fn parse_tenants(reader: &SettingsReader<'_>) -> Result<Vec<Named<Tenant>>, MalformedField> {
    let connection_quotas = reader.list(TENANT_CONNECTION_QUOTAS);
    let count = reader.decimal("accounts.count", 0.0)? as usize;
    let mut tenants = Vec::new();
    for index in 0..count {
        let key = |name: &str| format!("accounts.{index}.{name}");
        let quota_connections = match connection_quotas.get(index).filter(|&text| text != ABSENT) {
            Some(text) => parse_decimal(text).ok_or_else(|| reader.malformed(TENANT_CONNECTION_QUOTAS))?,
            None => 0.0,
        };
        let quota_per_s = reader.decimal(&key("quota-per-s"), 0.0)?;
        let value = Tenant { quota_per_s, quota_connections };
        tenants.push(Named { name: reader.text(&key("name")).unwrap_or("").to_owned(), value });
    }
    Ok(tenants)
}

/// The settings that are single values.
fn parse_settings(reader: &SettingsReader<'_>) -> Result<Settings, MalformedField> {
    let default = Settings::default();
    Ok(Settings {
        balancers: reader.decimal("balancers", 1.0)?.max(1.0) as u32,
        over_quota_weight: reader.decimal("over-share-worth", default.over_quota_weight)?,
        max_attempts: reader.decimal("limits.try-limit", default.max_attempts as f64)? as u32,
        cancel: reader.flag("limits.cancel")?,
        retry_after: reader.flag("limits.retry-after")?,
        max_retry_after: reader.span("limits.max-retry-after", default.max_retry_after)?,
        connect_timeout: reader.span("limits.connect-timeout", default.connect_timeout)?,
        poll_required: reader.text("discovery") == Some("on_request"),
        poll_interval: reader.span("invariants.must-ask-in", default.poll_interval)?,
        endpoints_pushed: reader.text("discovery") == Some("pushed"),
        drain_grace: reader.span("invariants.drain-grace", default.drain_grace)?,
        probes: reader.flag("limits.probing")?,
        probe_cost: reader.decimal("charges.probe", 0.0)?,
        cross_zone_cost: reader.decimal("charges.cross-zone", 0.0)?,
        migration_cost: reader.decimal("charges.moves", 0.0)?,
        slow_start_share: reader.decimal("invariants.cold-share", default.slow_start_share)?,
        slow_start_duration: reader.span("invariants.warm-up", default.slow_start_duration)?,
        slow_start_overload_factor: reader
            .decimal("invariants.tip-multiple", default.slow_start_overload_factor)?,
        slow_start_window: reader.span("invariants.overload-for", default.slow_start_window)?,
        ..default
    })
}
