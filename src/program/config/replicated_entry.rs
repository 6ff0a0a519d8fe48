//! Validates entries that an operator writes to the replicated map.

use super::error::ReplicatedEntryError;
use crate::routing::parse_replicated_endpoint;

// Prefixes of the keys, up to the slash.
const ENDPOINT: &str = "host";
const EXCLUSION: &str = "life";
const LIMIT: &str = "limit";
/// Value that removes a server permanently.
const GONE: &str = "gone";

/// Validates an entry before it is written. An entry without a value deletes the key.
///
/// # Errors
/// [`ReplicatedEntryError`] if the key is unknown or does not allow this value.
pub fn check_replicated_entry(key: &str, value: Option<&str>) -> Result<(), ReplicatedEntryError> {
    let (is_valid, expected) = match key.split_once('/') {
        Some((ENDPOINT, name)) => {
            let valid_value = value.is_none_or(|text| parse_replicated_endpoint(name, text).is_some());
            (
                valid_value && !name.is_empty(),
                "host/NAME with a nonempty NAME, and value ADDRESS [ZONE [WEIGHT]] or none",
            )
        }
        Some((EXCLUSION, name)) => {
            let valid_value = value.is_none_or(|text| text == GONE);
            let expected = "life/NAME with a nonempty NAME, and value gone or none; \
                 to remove a server temporarily, use exclude";
            (valid_value && !name.is_empty(), expected)
        }
        Some((LIMIT, "connections")) => {
            (value.is_none_or(|text| text.parse::<usize>().is_ok()), "a number of connections or none")
        }
        _ => (false, "a key host/NAME, life/NAME or limit/connections"),
    };
    if is_valid {
        Ok(())
    } else {
        Err(ReplicatedEntryError { key: key.to_owned(), value: value.map(str::to_owned), expected })
    }
}
