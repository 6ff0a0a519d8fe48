//! Parses the operator's file on rebalancing.

use std::collections::BTreeMap;

use crate::protocol::json::{self, DecodeError, JsonNode};
use crate::rebalance::RebalanceConfig;

/// Names of the fronts. These are the top-level keys of the file.
const FRONTS: [&str; 2] = ["platform", "irc"];

/// Allowed range of the utilisation that is assumed of servers. The message time inferred from a utilisation
/// of 1 would be infinite.
const ASSUMED_UTILISATION_RANGE: std::ops::RangeInclusive<f64> = 0.1..=0.9;

mod key {
    pub(super) const ENABLED: &str = "on";
    pub(super) const MAX_MIGRATIONS_PER_SECOND: &str = "most_per_s";
    pub(super) const MIN_GAIN_OVER_COST: &str = "margin";
    pub(super) const ASSUMED_UTILISATION: &str = "assumed_use";
}

const KEYS: [&str; 4] =
    [key::ENABLED, key::MAX_MIGRATIONS_PER_SECOND, key::MIN_GAIN_OVER_COST, key::ASSUMED_UTILISATION];

/// Parses the text of the operator's file on rebalancing. Returns the configuration of each front by the
/// front's name.
///
/// # Errors
/// [`DecodeError`] if the text is not JSON, or for the first invalid value.
pub fn parse_rebalance(text: &[u8]) -> Result<BTreeMap<&'static str, RebalanceConfig>, DecodeError> {
    let document = json::parse_document(text)?;
    let root = JsonNode::root(&document);
    root.reject_unknown_fields(&FRONTS)?;
    FRONTS.into_iter().map(|front| Ok((front, decode_rebalance(&root.field(front))?))).collect()
}

fn decode_rebalance(node: &JsonNode<'_>) -> Result<RebalanceConfig, DecodeError> {
    node.reject_unknown_fields(&KEYS)?;
    let default = RebalanceConfig::default();
    let max_migrations_per_second = node.field(key::MAX_MIGRATIONS_PER_SECOND);
    let min_gain_over_cost = node.field(key::MIN_GAIN_OVER_COST);
    let assumed_utilisation = node.field(key::ASSUMED_UTILISATION);
    let config = RebalanceConfig {
        enabled: node.field(key::ENABLED).flag_or(default.enabled)?,
        max_migrations_per_second: max_migrations_per_second.number_or(default.max_migrations_per_second)?,
        min_gain_over_cost: min_gain_over_cost.number_or(default.min_gain_over_cost)?,
        assumed_utilisation: assumed_utilisation.number_or(default.assumed_utilisation)?,
    };
    if config.max_migrations_per_second <= 0.0 {
        let reason = format!(
            "expected more than 0 migrations per second, got {}; to disable rebalancing, set {} to false",
            config.max_migrations_per_second,
            key::ENABLED
        );
        return Err(max_migrations_per_second.error(&reason));
    }
    if config.min_gain_over_cost < 1.0 {
        let reason = format!(
            "expected at least 1, got {}; a lower value would allow migrations that cost more than they gain",
            config.min_gain_over_cost
        );
        return Err(min_gain_over_cost.error(&reason));
    }
    if !ASSUMED_UTILISATION_RANGE.contains(&config.assumed_utilisation) {
        let (min, max) = (ASSUMED_UTILISATION_RANGE.start(), ASSUMED_UTILISATION_RANGE.end());
        let reason = format!("expected a share from {min} to {max}, got {}", config.assumed_utilisation);
        return Err(assumed_utilisation.error(&reason));
    }
    Ok(config)
}
