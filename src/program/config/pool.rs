//! Decodes the configuration of the platform's pool from the platform's settings.

use super::fields::{decode_zone, MIN_SLOW_START_SHARE};
use crate::protocol::json::{DecodeError, JsonNode};
use crate::protocol::platform_settings::{
    charge_key, class_key, family_key, key, limit_key, reporting_key, rule_key, tenant_key, DISCOVERY_POLLED,
    DISCOVERY_PUSHED, FIRST_FIELD, IDEMPOTENT, IDEMPOTENT_BY_KEY, NOT_IDEMPOTENT, REPORTING_OFF, SCOPE_ALL,
    SCOPE_CELL, SCOPE_ZONE, UTILISATION, UTILISATION_SHORT,
};
use crate::rebalance::RebalanceConfig;
use crate::routing::PoolConfig;
use crate::{Class, Idempotency, KeyScope, Micros, Settings, Tenant};

/// Time that a client of the platform has to send its first line, which it sends immediately after
/// connecting. The platform expects a silent connection to be closed within 3 s, including its time in the
/// accept queue.
const REQUEST_TIMEOUT: Micros = Micros::from_millis(1500);
/// Time without an answer after which the server of an established connection counts as lost. The platform's
/// clients send a line every 2 s, and servers answer immediately. The platform expects a lost server to be
/// detected within 7 s.
const SERVER_SILENCE_TIMEOUT: Micros = Micros::from_secs(5);
/// Highest value of the setting for the multiple of the usual load above which slow start detects an
/// overload.
const MAX_OVERLOAD_FACTOR: f64 = 1e6;

/// Decodes the pool from the platform's settings. `seed` is the seed of the pool's random draws.
pub(super) fn decode_platform_pool(settings: &JsonNode<'_>, seed: u64) -> Result<PoolConfig, DecodeError> {
    let family = settings.field(key::FAMILY_INFO);
    let mut pool = PoolConfig {
        name: "platform",
        classes: Vec::new(),
        tenants: Vec::new(),
        zones: settings.field(key::ZONES).text_list()?,
        settings: Settings::default(),
        seed,
        discovery: None,
        request_timeout: REQUEST_TIMEOUT,
        uses_replicated_map: false,
        max_connections: usize::MAX,
        drain_duration: Micros::ZERO,
        server_silence_timeout: SERVER_SILENCE_TIMEOUT,
        reports_message_time: family.field(family_key::REPORTS_MESSAGE_TIME).flag_or(false)?,
        reports_load: family.field(family_key::REPORTS_LOAD).flag_or(true)?,
        load_report_fields: decode_report_fields(settings)?,
        max_client_wait: Micros::ZERO,
        rebalance: RebalanceConfig::default(),
        gossip_price: None,
    };
    if settings.field(key::LIMITS).field(limit_key::PEERS).flag_or(false)? {
        pool.gossip_price = Some(settings.field(key::CHARGES).field(charge_key::GOSSIP).number_or(0.0)?);
    }
    let classes = decode_classes(settings, &mut pool)?;
    let tenants = decode_tenants(settings, &mut pool)?;
    pool.settings = decode_settings(settings, &pool, classes, tenants)?;
    Ok(pool)
}

/// Decodes the classes. Stores their names and their longest deadline in the pool.
fn decode_classes(settings: &JsonNode<'_>, pool: &mut PoolConfig) -> Result<Vec<Class>, DecodeError> {
    let mut classes = Vec::new();
    let message_objectives =
        settings.field(key::FAMILY_INFO).field(family_key::MESSAGE_OBJECTIVES).elements()?;
    for (index, class) in settings.field(key::CLASSES).elements()?.iter().enumerate() {
        push_unique_name(&mut pool.classes, &class.field(class_key::NAME))?;
        pool.max_client_wait =
            pool.max_client_wait.max(class.field(class_key::DEADLINE_MS).positive_duration_ms(Micros::ZERO)?);
        classes.push(Class {
            priority_weight: class.field(class_key::PRIORITY_WEIGHT).number_or(1.0)?,
            setup_objective: class.field(class_key::SETUP_OBJECTIVE_MS).duration_ms_or(Micros::ZERO)?,
            message_objective: message_objectives
                .get(index)
                .map_or(Ok(Micros::ZERO), |objective| objective.duration_ms_or(Micros::ZERO))?,
            idempotency: decode_idempotency(class)?,
        });
    }
    Ok(classes)
}

/// Decodes the tenants. Stores their names in the pool.
fn decode_tenants(settings: &JsonNode<'_>, pool: &mut PoolConfig) -> Result<Vec<Tenant>, DecodeError> {
    let mut tenants = Vec::new();
    let connection_quotas =
        settings.field(key::FAMILY_INFO).field(family_key::TENANT_CONNECTION_QUOTAS).elements()?;
    for (index, tenant) in settings.field(key::TENANTS).elements()?.iter().enumerate() {
        push_unique_name(&mut pool.tenants, &tenant.field(tenant_key::NAME))?;
        tenants.push(Tenant {
            quota_per_second: tenant.field(tenant_key::QUOTA_PER_SECOND).number_or(0.0)?,
            quota_connections: connection_quotas.get(index).map_or(Ok(0.0), |quota| quota.number_or(0.0))?,
        });
    }
    Ok(tenants)
}

fn decode_settings(
    settings: &JsonNode<'_>,
    pool: &PoolConfig,
    classes: Vec<Class>,
    tenants: Vec<Tenant>,
) -> Result<Settings, DecodeError> {
    let default = Settings::default();
    let limits = settings.field(key::LIMITS);
    let charges = settings.field(key::CHARGES);
    let rules = settings.field(key::RULES);
    Ok(Settings {
        balancers: settings.field(key::BALANCERS).positive_count_or(1)?,
        zone: decode_zone(&settings.field(key::ZONE), &pool.zones)?,
        classes,
        tenants,
        over_quota_weight: settings
            .field(key::OVER_QUOTA_WEIGHT)
            .number_in_range_or(0.0..=1.0, default.over_quota_weight)?,
        max_attempts: limits.field(limit_key::MAX_ATTEMPTS).positive_count_or(default.max_attempts)?,
        cancellation_allowed: limits.field(limit_key::CANCEL).flag_or(false)?,
        retry_after_supported: limits.field(limit_key::RETRY_AFTER).flag_or(false)?,
        max_retry_after: limits
            .field(limit_key::MAX_RETRY_AFTER_MS)
            .duration_ms_or(default.max_retry_after)?,
        connect_timeout: limits
            .field(limit_key::CONNECT_TIMEOUT_MS)
            .positive_duration_ms(default.connect_timeout)?,
        // The daemon receives endpoint lists only in responses to its polls, whichever mode the simulator
        // uses.
        poll_required: true,
        poll_interval: rules.field(rule_key::POLL_INTERVAL_MS).positive_duration_ms(default.poll_interval)?,
        endpoints_pushed: decode_endpoints_pushed(&settings.field(key::DISCOVERY_MODE))?,
        drain_grace: rules.field(rule_key::DRAIN_GRACE_MS).positive_duration_ms(default.drain_grace)?,
        probes_allowed: limits.field(limit_key::PROBES).flag_or(false)?,
        probes_report_load: !pool.load_report_fields.is_empty(),
        probe_cost: charges.field(charge_key::PROBE).number_or(0.0)?,
        cross_zone_cost: charges.field(charge_key::CROSS_ZONE).number_or(0.0)?,
        migration_cost: charges.field(charge_key::MIGRATION).number_or(0.0)?,
        slow_start_share: rules
            .field(rule_key::SLOW_START_SHARE)
            .number_in_range_or(MIN_SLOW_START_SHARE..=1.0, default.slow_start_share)?,
        slow_start_duration: rules
            .field(rule_key::SLOW_START_DURATION_MS)
            .duration_ms_or(default.slow_start_duration)?,
        slow_start_overload_factor: rules
            .field(rule_key::SLOW_START_OVERLOAD_FACTOR)
            .number_in_range_or(1.0..=MAX_OVERLOAD_FACTOR, default.slow_start_overload_factor)?,
        slow_start_window: rules
            .field(rule_key::SLOW_START_WINDOW_MS)
            .positive_duration_ms(default.slow_start_window)?,
    })
}

/// Decodes a name that must differ from all previous ones. Requests are matched to settings by name, so one
/// of two entries with the same name would be served with the settings of the other.
fn push_unique_name(names: &mut Vec<String>, node: &JsonNode<'_>) -> Result<(), DecodeError> {
    let name = node.required_text()?;
    if names.contains(&name) {
        return Err(
            node.error(&format!("the name {name:?} is used by an earlier entry, expected a unique name"))
        );
    }
    names.push(name);
    Ok(())
}

/// Decodes whether endpoint lists are pushed. By default they have to be polled.
fn decode_endpoints_pushed(node: &JsonNode<'_>) -> Result<bool, DecodeError> {
    match node.optional_text()?.as_deref() {
        Some(DISCOVERY_PUSHED) => Ok(true),
        Some(DISCOVERY_POLLED) | None => Ok(false),
        Some(other) => {
            Err(node.error(&format!("expected {DISCOVERY_PUSHED} or {DISCOVERY_POLLED}, got {other:?}")))
        }
    }
}

/// Decodes the names under which the platform's load reports may hold the utilisation (load over capacity).
/// The list is empty if probes are answered without a load report that holds it.
fn decode_report_fields(settings: &JsonNode<'_>) -> Result<Vec<&'static str>, DecodeError> {
    let reporting = settings.field(key::REPORTING);
    let fields = reporting.field(reporting_key::FIELDS).text_list()?;
    let has_field = |name: &str| fields.iter().any(|field| field == name);
    let is_x0_utilisation =
        settings.field(key::FAMILY_INFO).field(family_key::FIRST_REPORT_FIELD).is_present();
    let is_off =
        reporting.field(reporting_key::MODE).optional_text()?.is_none_or(|mode| mode == REPORTING_OFF);
    if is_off {
        return Ok(Vec::new());
    }
    let mut names = Vec::new();
    if is_x0_utilisation && has_field(FIRST_FIELD) {
        names.push(FIRST_FIELD);
    }
    if has_field(UTILISATION) {
        names.extend([UTILISATION, UTILISATION_SHORT]);
    }
    Ok(names)
}

fn decode_idempotency(class: &JsonNode<'_>) -> Result<Idempotency, DecodeError> {
    let (idempotency, key_scope) = (class.field(class_key::IDEMPOTENCY), class.field(class_key::KEY_SCOPE));
    let scope = match key_scope.optional_text()?.as_deref() {
        Some(SCOPE_ALL) => KeyScope::All,
        Some(SCOPE_ZONE) => KeyScope::Zone,
        Some(SCOPE_CELL) | None => KeyScope::Cell,
        Some(other) => {
            let reason = format!("expected {SCOPE_ALL}, {SCOPE_ZONE} or {SCOPE_CELL}, got {other:?}");
            return Err(key_scope.error(&reason));
        }
    };
    match idempotency.optional_text()?.as_deref() {
        Some(IDEMPOTENT) => Ok(Idempotency::Idempotent),
        Some(IDEMPOTENT_BY_KEY) => {
            Ok(Idempotency::IdempotencyKey { scope, window: decode_deduplication_window(class)? })
        }
        Some(NOT_IDEMPOTENT) | None => Ok(Idempotency::NotIdempotent),
        Some(other) => {
            let reason =
                format!("expected {IDEMPOTENT}, {IDEMPOTENT_BY_KEY} or {NOT_IDEMPOTENT}, got {other:?}");
            Err(idempotency.error(&reason))
        }
    }
}

/// Decodes for how long servers recognise the idempotency key of a request and drop repeats of it.
fn decode_deduplication_window(class: &JsonNode<'_>) -> Result<Micros, DecodeError> {
    let window = class.field(class_key::DEDUPLICATION_WINDOW_MS);
    if !window.is_present() {
        let reason =
            format!("is missing; a class with {} {IDEMPOTENT_BY_KEY} requires it", class_key::IDEMPOTENCY);
        return Err(window.error(&reason));
    }
    window.positive_duration_ms(Micros::ZERO)
}
