//! The operator's file on rebalancing.

use std::collections::BTreeMap;

use crate::protocol::json::{self, DecodeError, JsonNode};
use crate::rebalance::RebalanceConfig;

/// Names of the fronts, which are the keys of the file.
const FRONTS: [&str; 2] = ["platform", "irc"];

/// Shares of the capacity that may be assumed; at 1 an inferred message time would be infinite.
const ASSUMED_UTILISATION_RANGE: std::ops::RangeInclusive<f64> = 0.1..=0.9;

mod key {
    pub(super) const ENABLED: &str = "on";
    pub(super) const MAX_MIGRATIONS_PER_SECOND: &str = "most_per_s";
    pub(super) const MIN_GAIN_OVER_COST: &str = "margin";
    pub(super) const ASSUMED_UTILISATION: &str = "assumed_use";
}

const KEYS: [&str; 4] =
    [key::ENABLED, key::MAX_MIGRATIONS_PER_SECOND, key::MIN_GAIN_OVER_COST, key::ASSUMED_UTILISATION];

/// Parses the text of an operator's file on rebalancing: a part for each front, by its name.
///
/// # Errors
/// [`DecodeError`] if it is not JSON, or with the key that is wrong.
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
        enabled: node.field(key::ENABLED).flag(default.enabled)?,
        max_migrations_per_second: max_migrations_per_second.number(default.max_migrations_per_second)?,
        min_gain_over_cost: min_gain_over_cost.number(default.min_gain_over_cost)?,
        assumed_utilisation: assumed_utilisation.number(default.assumed_utilisation)?,
    };
    if config.max_migrations_per_second <= 0.0 {
        return Err(max_migrations_per_second.error("more than 0 is wanted; to move nobody set on to false"));
    }
    if config.min_gain_over_cost < 1.0 {
        return Err(min_gain_over_cost.error("at least 1 is wanted: less moves clients at a loss"));
    }
    if !ASSUMED_UTILISATION_RANGE.contains(&config.assumed_utilisation) {
        return Err(assumed_utilisation.error("a share from 0.1 to 0.9 is wanted"));
    }
    Ok(config)
}
