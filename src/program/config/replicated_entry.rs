//! The check of what an operator writes to the replicated map.

use super::error::ReplicatedEntryError;
use crate::routing::stored_endpoint;

// The first parts of the keys.
const ENDPOINT: &str = "host";
const EXCLUSION: &str = "life";
const LIMIT: &str = "limit";
/// The value that removes a server for good.
const GONE: &str = "gone";

/// Checks an entry before it is written; no value deletes the key.
///
/// # Errors
/// [`ReplicatedEntryError`] if the key is unknown, or does not take this value.
pub fn check_replicated_entry(key: &str, value: Option<&str>) -> Result<(), ReplicatedEntryError> {
    let (is_valid, expected) = match key.split_once('/') {
        Some((ENDPOINT, name)) => {
            let valid_value = value.is_none_or(|text| stored_endpoint(name, text).is_some());
            (valid_value && !name.is_empty(), "ADDRESS [ZONE [WEIGHT]] is wanted")
        }
        Some((EXCLUSION, name)) => {
            let valid_value = value.is_none_or(|text| text == GONE);
            let expected = "gone is wanted; to take a host out for a while, exclude it";
            (valid_value && !name.is_empty(), expected)
        }
        Some((LIMIT, "connections")) => {
            (value.is_none_or(|text| text.parse::<usize>().is_ok()), "a number is wanted")
        }
        _ => (false, "host/NAME, life/NAME or limit/connections is wanted"),
    };
    if is_valid {
        Ok(())
    } else {
        Err(ReplicatedEntryError { key: key.to_owned(), expected })
    }
}
