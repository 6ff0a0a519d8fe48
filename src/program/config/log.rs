//! The log, from the operator's file.

use crate::program::log::LogConfig;
use crate::protocol::json::{DecodeError, JsonNode};

mod key {
    pub(super) const LEVELS: &str = "levels";
    pub(super) const FORMAT: &str = "format";
}

const FORMAT_TEXT: &str = "text";
const FORMAT_JSON: &str = "json";

/// Decodes how the log is written.
pub(super) fn decode_log(node: &JsonNode<'_>) -> Result<LogConfig, DecodeError> {
    node.reject_unknown_fields(&[key::LEVELS, key::FORMAT])?;
    let (levels, format) = (node.field(key::LEVELS), node.field(key::FORMAT));
    let levels_text = levels.optional_text()?;
    let json = match format.optional_text()?.as_deref() {
        None | Some(FORMAT_TEXT) => false,
        Some(FORMAT_JSON) => true,
        Some(_) => return Err(format.error("text or json is wanted")),
    };
    let levels = match levels_text {
        None => LogConfig::default().levels,
        // The logging library takes a misspelt level for a module's name, and would write all of that module. So levels
        // are checked here.
        Some(text) => LogConfig::levels(&text).ok_or_else(|| {
            levels.error("levels are wanted, such as info or warn,connection_balancer::transport=debug")
        })?,
    };
    Ok(LogConfig { levels, json })
}
