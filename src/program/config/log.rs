//! Decodes the configuration of the log from the operator's file.

use crate::program::log::LogConfig;
use crate::protocol::json::{DecodeError, JsonNode};

mod key {
    pub(super) const LEVELS: &str = "levels";
    pub(super) const FORMAT: &str = "format";
}

const FORMAT_TEXT: &str = "text";
const FORMAT_JSON: &str = "json";

/// Decodes the levels and the format of the log, each with its default.
pub(super) fn decode_log(node: &JsonNode<'_>) -> Result<LogConfig, DecodeError> {
    node.reject_unknown_fields(&[key::LEVELS, key::FORMAT])?;
    let (levels, format) = (node.field(key::LEVELS), node.field(key::FORMAT));
    let levels_text = levels.optional_text()?;
    let json = match format.optional_text()?.as_deref() {
        None | Some(FORMAT_TEXT) => false,
        Some(FORMAT_JSON) => true,
        Some(other) => {
            let reason = format!("expected {FORMAT_TEXT} or {FORMAT_JSON}, got {other:?}");
            return Err(format.error(&reason));
        }
    };
    let levels = match levels_text {
        None => LogConfig::default().levels,
        // The logging library treats a misspelt level as a module's name and would enable all levels of that
        // module. The text is therefore validated before the library parses it.
        Some(text) => LogConfig::parse_levels(&text).ok_or_else(|| {
            levels.error(&format!(
                "expected levels such as info or warn,connection_balancer::transport=debug, got {text:?}"
            ))
        })?,
    };
    Ok(LogConfig { levels, json })
}
