//! Decoding of JSON documents. A [`JsonNode`] knows its key path, so that every error names the key it is about.

use std::ops::RangeInclusive;

use simd_json::prelude::*;
use simd_json::OwnedValue;
use thiserror::Error;

use crate::Micros;

/// The longest duration that is accepted, in milliseconds. Above it, microseconds would not fit a [`Micros`].
const MAX_DURATION_MS: f64 = 1e14;
/// The highest count that is accepted.
const MAX_COUNT: f64 = 1e6;
const MICROS_PER_MS: f64 = 1000.0;

/// Why a document could not be decoded.
#[derive(Debug, Error)]
pub enum DecodeError {
    /// The text is not JSON at all.
    #[error("document: not JSON: {source}")]
    Syntax {
        /// The parser's error.
        source: simd_json::Error,
    },
    /// The value at a key is missing, or is not what is wanted there.
    #[error("{}: {reason}", if .key_path.is_empty() { "document" } else { .key_path.as_str() })]
    InvalidValue {
        /// Path of the faulty key, such as `settings.limits.try-limit`; empty for the document as a whole.
        key_path: String,
        /// What is wrong with its value.
        reason: String,
    },
}

/// Parses the text of a document.
///
/// # Errors
/// [`DecodeError::Syntax`] if the text is not JSON.
pub fn parse_document(text: &[u8]) -> Result<OwnedValue, DecodeError> {
    let mut bytes = text.to_vec();
    simd_json::to_owned_value(&mut bytes).map_err(|source| DecodeError::Syntax { source })
}

/// The value at one key path of a document, which may be absent. A `null` counts as absent.
///
/// All decoding methods return [`DecodeError::InvalidValue`] with the node's key path if its value is of another type
/// or out of range. Methods that take a default return it for an absent value.
#[derive(Clone)]
pub struct JsonNode<'a> {
    value: Option<&'a OwnedValue>,
    key_path: String,
}

impl<'a> JsonNode<'a> {
    /// The whole document.
    pub fn root(value: &'a OwnedValue) -> JsonNode<'a> {
        JsonNode { value: Some(value), key_path: String::new() }
    }

    /// The value of a field.
    pub fn field(&self, key: &str) -> JsonNode<'a> {
        let key_path =
            if self.key_path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.key_path) };
        let value = self.value.and_then(|value| value.get(key)).filter(|value| !value.is_null());
        JsonNode { value, key_path }
    }

    /// Whether there is a value.
    pub fn is_present(&self) -> bool {
        self.value.is_some()
    }

    /// An error about this key.
    pub fn error(&self, reason: &str) -> DecodeError {
        DecodeError::InvalidValue { key_path: self.key_path.clone(), reason: reason.to_owned() }
    }

    /// Checks that an object has no other fields than these: a misspelt key must not pass for a default.
    ///
    /// # Errors
    /// [`DecodeError::InvalidValue`] for the first unknown key, and for a value that is no object.
    pub fn reject_unknown_fields(&self, known: &[&str]) -> Result<(), DecodeError> {
        let Some(value) = self.value else { return Ok(()) };
        let object = value.as_object().ok_or_else(|| self.error("an object is wanted"))?;
        match object.keys().find(|key| !known.contains(&key.as_str())) {
            Some(key) => Err(self.field(key).error("no such key is known")),
            None => Ok(()),
        }
    }

    /// The elements of a list; none where there is no list.
    ///
    /// # Errors
    /// [`DecodeError::InvalidValue`] for a value that is no list.
    pub fn elements(&self) -> Result<Vec<JsonNode<'a>>, DecodeError> {
        let Some(value) = self.value else { return Ok(Vec::new()) };
        let list = value.as_array().ok_or_else(|| self.error("a list is wanted"))?;
        let element =
            |(index, value)| JsonNode { value: Some(value), key_path: format!("{}[{index}]", self.key_path) };
        Ok(list.iter().enumerate().map(element).collect())
    }

    fn decode<T>(
        &self,
        reason: &str,
        convert: impl FnOnce(&'a OwnedValue) -> Option<T>,
    ) -> Result<Option<T>, DecodeError> {
        self.value.map(|value| convert(value).ok_or_else(|| self.error(reason))).transpose()
    }

    /// Text, if there is any.
    ///
    /// # Errors
    /// See [`JsonNode`].
    pub fn optional_text(&self) -> Result<Option<String>, DecodeError> {
        self.decode("text is wanted", |value| value.as_str().map(str::to_owned))
    }

    /// Text that has to be there, and not be empty.
    ///
    /// # Errors
    /// See [`JsonNode`].
    pub fn required_text(&self) -> Result<String, DecodeError> {
        self.optional_text()?.filter(|text| !text.is_empty()).ok_or_else(|| self.error("is missing"))
    }

    /// A list of texts, of which none may be empty.
    ///
    /// # Errors
    /// See [`JsonNode`].
    pub fn text_list(&self) -> Result<Vec<String>, DecodeError> {
        self.elements()?.iter().map(|element| element.required_text()).collect()
    }

    /// A finite number of at least 0, or the default.
    ///
    /// # Errors
    /// See [`JsonNode`].
    pub fn number(&self, default: f64) -> Result<f64, DecodeError> {
        let convert =
            |value: &OwnedValue| value.cast_f64().filter(|number| number.is_finite() && *number >= 0.0);
        Ok(self.decode("a number of 0 or more is wanted", convert)?.unwrap_or(default))
    }

    /// A duration given in milliseconds, or the default.
    ///
    /// # Errors
    /// See [`JsonNode`].
    pub fn duration_ms(&self, default: Micros) -> Result<Micros, DecodeError> {
        let milliseconds = self.number(default.as_f64() / MICROS_PER_MS)?;
        if milliseconds > MAX_DURATION_MS {
            return Err(self.error("too many milliseconds"));
        }
        Ok(Micros::from_f64((milliseconds * MICROS_PER_MS).round()))
    }

    /// A duration of more than 0 given in milliseconds, or the default.
    ///
    /// # Errors
    /// See [`JsonNode`].
    pub fn positive_duration_ms(&self, default: Micros) -> Result<Micros, DecodeError> {
        match self.duration_ms(default)? {
            Micros::ZERO if self.is_present() => Err(self.error("more than 0 milliseconds are wanted")),
            duration => Ok(duration),
        }
    }

    /// A number in this range, or the default.
    ///
    /// # Errors
    /// See [`JsonNode`].
    pub fn number_in_range(&self, range: RangeInclusive<f64>, default: f64) -> Result<f64, DecodeError> {
        let number = self.number(default)?;
        if self.is_present() && !range.contains(&number) {
            let reason = format!("a number from {} to {} is wanted", range.start(), range.end());
            return Err(self.error(&reason));
        }
        Ok(number)
    }

    /// A whole number of at least one, or the default.
    ///
    /// # Errors
    /// See [`JsonNode`].
    pub fn positive_count(&self, default: u32) -> Result<u32, DecodeError> {
        let count = self.number_in_range(1.0..=MAX_COUNT, default.into())?;
        if count.fract() != 0.0 {
            return Err(self.error("a whole number is wanted"));
        }
        Ok(count as u32)
    }

    /// A flag, or the default. A number counts as set unless it is 0.
    ///
    /// # Errors
    /// See [`JsonNode`].
    pub fn flag(&self, default: bool) -> Result<bool, DecodeError> {
        let convert =
            |value: &OwnedValue| value.as_bool().or_else(|| value.cast_f64().map(|number| number != 0.0));
        Ok(self.decode("true or false is wanted", convert)?.unwrap_or(default))
    }
}
