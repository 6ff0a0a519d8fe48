//! Parses the configuration of an instance from the fields of the message that starts it.

use std::collections::HashMap;

use connection_balancer::protocol::platform_settings::{
    charge_key, class_key, family_key, key, limit_key, reporting_key, rule_key, tenant_key, DISCOVERY_POLLED,
    DISCOVERY_PUSHED, FIRST_FIELD, IDEMPOTENT, IDEMPOTENT_BY_KEY, NOT_IDEMPOTENT, REPORTING_OFF, SCOPE_ALL,
    SCOPE_CELL, SCOPE_ZONE, UTILISATION,
};
use connection_balancer::{Class, Idempotency, KeyScope, Micros, Settings, Tenant, ZoneId};

use crate::line::{Line, MalformedField};
use crate::values::{parse_decimal, parse_duration, parse_flag};

/// Text in place of an absent value.
const ABSENT: &str = "null";
/// Separator of the elements of a list.
const LIST_SEPARATOR: char = ',';
/// Separator of the parts of a nested key.
const KEY_SEPARATOR: &str = ".";
/// Last part of the key that holds the number of elements of a list.
const COUNT: &str = "count";

/// Configuration of an instance: the settings of its balancer, and the names of the zones, classes and
/// tenants, which the settings identify by their indices.
#[derive(Default)]
pub(crate) struct InstanceConfig {
    pub settings: Settings,
    pub zones: Vec<String>,
    pub classes: Vec<String>,
    pub tenants: Vec<String>,
    /// Names under which a load report may hold the utilisation, in order of preference.
    pub utilisation_fields: Vec<&'static str>,
}

/// A value and its name in the protocol.
struct Named<T> {
    name: String,
    value: T,
}

/// Splits a list of named values into the list of names and the list of values.
fn unzip_named<T>(named: Vec<Named<T>>) -> (Vec<String>, Vec<T>) {
    named.into_iter().map(|named| (named.name, named.value)).unzip()
}

/// Joins the parts of a nested key.
fn nested_key(parts: &[&str]) -> String {
    parts.join(KEY_SEPARATOR)
}

/// Reads settings from the fields of a message by their keys.
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

    fn duration(&self, key: &str, default: Micros) -> Result<Micros, MalformedField> {
        self.parse(key, default, parse_duration)
    }

    fn flag(&self, key: &str) -> Result<bool, MalformedField> {
        self.parse(key, false, parse_flag)
    }

    /// Returns the elements of a list, without empty ones. An absent list is empty.
    fn list(&self, key: &str) -> Vec<String> {
        let elements = self.text(key).unwrap_or("").split(LIST_SEPARATOR);
        elements.filter(|element| !element.is_empty()).map(str::to_owned).collect()
    }
}

/// Parses the configuration.
///
/// # Errors
///
/// If a value cannot be parsed. Unknown settings are ignored, and absent ones have their defaults.
pub(crate) fn parse(line: &Line<'_>) -> Result<InstanceConfig, MalformedField> {
    let reader = SettingsReader::new(line);
    let zones = reader.list(key::ZONES);
    let zone = zones.iter().position(|zone| Some(zone.as_str()) == reader.text(key::ZONE)).unwrap_or(0);
    let (classes, class_settings) = unzip_named(parse_classes(&reader)?);
    let (tenants, tenant_settings) = unzip_named(parse_tenants(&reader)?);
    let utilisation_fields =
        match reader.text(&nested_key(&[key::FAMILY_INFO, family_key::FIRST_REPORT_FIELD])) {
            Some(_) => vec![FIRST_FIELD, UTILISATION],
            None => vec![UTILISATION],
        };
    let reported_fields = reader.list(&nested_key(&[key::REPORTING, reporting_key::FIELDS]));
    let reports_utilisation =
        reported_fields.iter().any(|field| utilisation_fields.contains(&field.as_str()));
    let report_mode = reader.text(&nested_key(&[key::REPORTING, reporting_key::MODE]));
    let probes_report_load = reports_utilisation && report_mode != Some(REPORTING_OFF);
    let settings = Settings {
        zone: ZoneId(zone as u16),
        classes: class_settings,
        tenants: tenant_settings,
        probes_report_load,
        ..parse_settings(&reader)?
    };
    Ok(InstanceConfig { settings, zones, classes, tenants, utilisation_fields })
}

fn parse_classes(reader: &SettingsReader<'_>) -> Result<Vec<Named<Class>>, MalformedField> {
    let message_objectives_key = nested_key(&[key::FAMILY_INFO, family_key::MESSAGE_OBJECTIVES]);
    let message_objectives = reader.list(&message_objectives_key);
    let count = reader.decimal(&nested_key(&[key::CLASSES, COUNT]), 0.0)? as usize;
    let mut classes = Vec::new();
    for index in 0..count {
        let class_field = |name: &str| nested_key(&[key::CLASSES, &index.to_string(), name]);
        let idempotency = parse_idempotency(reader, class_field)?;
        let message_objective = match message_objectives.get(index).filter(|&text| text != ABSENT) {
            Some(text) => parse_duration(text).ok_or_else(|| reader.malformed(&message_objectives_key))?,
            None => Micros::ZERO,
        };
        let value = Class {
            priority_weight: reader.decimal(&class_field(class_key::PRIORITY_WEIGHT), 1.0)?,
            setup_objective: reader.duration(&class_field(class_key::SETUP_OBJECTIVE_MS), Micros::ZERO)?,
            message_objective,
            idempotency,
        };
        let name = reader.text(&class_field(class_key::NAME)).unwrap_or("").to_owned();
        classes.push(Named { name, value });
    }
    Ok(classes)
}

/// Parses whether requests of a class may be repeated. `class_field` returns the key of a setting of the
/// class.
fn parse_idempotency(
    reader: &SettingsReader<'_>,
    class_field: impl Fn(&str) -> String,
) -> Result<Idempotency, MalformedField> {
    let scope_key = class_field(class_key::KEY_SCOPE);
    let scope = match reader.text(&scope_key) {
        Some(SCOPE_ALL) => KeyScope::All,
        Some(SCOPE_ZONE) => KeyScope::Zone,
        Some(SCOPE_CELL) | None => KeyScope::Cell,
        Some(_) => return Err(reader.malformed(&scope_key)),
    };
    let idempotency_key = class_field(class_key::IDEMPOTENCY);
    match reader.text(&idempotency_key) {
        Some(IDEMPOTENT) => Ok(Idempotency::Idempotent),
        Some(IDEMPOTENT_BY_KEY) => {
            let window = reader.duration(&class_field(class_key::DEDUPLICATION_WINDOW_MS), Micros::ZERO)?;
            Ok(Idempotency::IdempotencyKey { scope, window })
        }
        Some(NOT_IDEMPOTENT) | None => Ok(Idempotency::NotIdempotent),
        Some(_) => Err(reader.malformed(&idempotency_key)),
    }
}

fn parse_tenants(reader: &SettingsReader<'_>) -> Result<Vec<Named<Tenant>>, MalformedField> {
    let quotas_key = nested_key(&[key::FAMILY_INFO, family_key::TENANT_CONNECTION_QUOTAS]);
    let connection_quotas = reader.list(&quotas_key);
    let count = reader.decimal(&nested_key(&[key::TENANTS, COUNT]), 0.0)? as usize;
    let mut tenants = Vec::new();
    for index in 0..count {
        let tenant_field = |name: &str| nested_key(&[key::TENANTS, &index.to_string(), name]);
        let quota_connections = match connection_quotas.get(index).filter(|&text| text != ABSENT) {
            Some(text) => parse_decimal(text).ok_or_else(|| reader.malformed(&quotas_key))?,
            None => 0.0,
        };
        let quota_per_second = reader.decimal(&tenant_field(tenant_key::QUOTA_PER_SECOND), 0.0)?;
        let value = Tenant { quota_per_second, quota_connections };
        let name = reader.text(&tenant_field(tenant_key::NAME)).unwrap_or("").to_owned();
        tenants.push(Named { name, value });
    }
    Ok(tenants)
}

/// Parses the settings that have a single value.
fn parse_settings(reader: &SettingsReader<'_>) -> Result<Settings, MalformedField> {
    let default = Settings::default();
    let limit = |name: &str| nested_key(&[key::LIMITS, name]);
    let charge = |name: &str| nested_key(&[key::CHARGES, name]);
    let rule = |name: &str| nested_key(&[key::RULES, name]);
    let discovery_mode = reader.text(key::DISCOVERY_MODE);
    Ok(Settings {
        balancers: reader.decimal(key::BALANCERS, 1.0)?.max(1.0) as u32,
        over_quota_weight: reader.decimal(key::OVER_QUOTA_WEIGHT, default.over_quota_weight)?,
        max_attempts: reader.decimal(&limit(limit_key::MAX_ATTEMPTS), default.max_attempts as f64)? as u32,
        cancellation_allowed: reader.flag(&limit(limit_key::CANCEL))?,
        retry_after_supported: reader.flag(&limit(limit_key::RETRY_AFTER))?,
        max_retry_after: reader.duration(&limit(limit_key::MAX_RETRY_AFTER_MS), default.max_retry_after)?,
        connect_timeout: reader.duration(&limit(limit_key::CONNECT_TIMEOUT_MS), default.connect_timeout)?,
        poll_required: discovery_mode == Some(DISCOVERY_POLLED),
        poll_interval: reader.duration(&rule(rule_key::POLL_INTERVAL_MS), default.poll_interval)?,
        endpoints_pushed: discovery_mode == Some(DISCOVERY_PUSHED),
        drain_grace: reader.duration(&rule(rule_key::DRAIN_GRACE_MS), default.drain_grace)?,
        probes_allowed: reader.flag(&limit(limit_key::PROBES))?,
        probe_cost: reader.decimal(&charge(charge_key::PROBE), 0.0)?,
        cross_zone_cost: reader.decimal(&charge(charge_key::CROSS_ZONE), 0.0)?,
        migration_cost: reader.decimal(&charge(charge_key::MIGRATION), 0.0)?,
        slow_start_share: reader.decimal(&rule(rule_key::SLOW_START_SHARE), default.slow_start_share)?,
        slow_start_duration: reader
            .duration(&rule(rule_key::SLOW_START_DURATION_MS), default.slow_start_duration)?,
        slow_start_overload_factor: reader
            .decimal(&rule(rule_key::SLOW_START_OVERLOAD_FACTOR), default.slow_start_overload_factor)?,
        slow_start_window: reader
            .duration(&rule(rule_key::SLOW_START_WINDOW_MS), default.slow_start_window)?,
        ..default
    })
}
