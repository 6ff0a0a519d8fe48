//! Decoding of JSON documents. Each [`JsonNode`] holds its key path, so that an error names the key of the
//! faulty value.

use std::ops::RangeInclusive;

use simd_json::prelude::*;
use simd_json::OwnedValue;
use thiserror::Error;

use crate::Micros;

/// Longest accepted duration, in milliseconds. A longer one in microseconds would not fit in a [`Micros`].
const MAX_DURATION_MS: f64 = 1e14;
/// Highest accepted count.
const MAX_COUNT: f64 = 1e6;
/// Maximum number of characters that an error quotes of a value. Values from discovery can be megabytes long.
const MAX_QUOTED_CHARS: usize = 64;
/// Maximum number of values of a document, several times that of the endpoint list of the largest fleet. A
/// parsed value takes many times the memory of a short value's text.
pub const MAX_VALUES: usize = 1 << 16;
const MICROS_PER_MS: f64 = 1000.0;

/// Why a document could not be decoded.
#[derive(Debug, Error)]
pub enum DecodeError {
    /// The text is not valid JSON.
    #[error("document: not JSON: {source}")]
    Syntax {
        /// The parser's error.
        source: simd_json::Error,
    },
    /// The document has more values than [`MAX_VALUES`].
    #[error("document: {values} values exceed the limit of {MAX_VALUES}")]
    TooManyValues {
        /// Number of values, counted by the bytes that precede them.
        values: usize,
    },
    /// The value of a key is missing, has the wrong type or is out of range.
    #[error("{}: {reason}", if .key_path.is_empty() { "document" } else { .key_path.as_str() })]
    InvalidValue {
        /// Path of the key, such as `settings.limits.try-limit`; empty for the document as a whole.
        key_path: String,
        /// Fault of the value, usually with the expected and the actual value.
        reason: String,
    },
}

/// Parses a JSON document.
///
/// # Errors
/// [`DecodeError::TooManyValues`] if there are more than [`MAX_VALUES`], and [`DecodeError::Syntax`] if the text
/// is not JSON.
pub fn parse_document(text: &[u8]) -> Result<OwnedValue, DecodeError> {
    parse_document_in_place(&mut text.to_vec())
}

/// Parses a JSON document without a copy of the text, which is overwritten.
///
/// # Errors
/// See [`parse_document`].
pub fn parse_document_in_place(text: &mut [u8]) -> Result<OwnedValue, DecodeError> {
    let values = count_values(text);
    if values > MAX_VALUES {
        return Err(DecodeError::TooManyValues { values });
    }
    simd_json::to_owned_value(text).map_err(|source| DecodeError::Syntax { source })
}

/// Returns an upper bound of the number of values: one of these bytes precedes each value but the first, or the
/// key of the value.
fn count_values(text: &[u8]) -> usize {
    1 + text.iter().filter(|byte| matches!(byte, b',' | b'[' | b'{')).count()
}

/// Value at one key path of a document, which may be absent. A `null` counts as absent.
///
/// Decoding methods return [`DecodeError::InvalidValue`] with the node's key path if the value has the wrong
/// type or is out of range. Methods with a `default` parameter return it if the value is absent.
#[derive(Clone)]
pub struct JsonNode<'a> {
    value: Option<&'a OwnedValue>,
    key_path: String,
}

impl<'a> JsonNode<'a> {
    /// Returns the node of the whole document.
    pub fn root(value: &'a OwnedValue) -> JsonNode<'a> {
        JsonNode { value: Some(value), key_path: String::new() }
    }

    /// Returns the node of an object's field.
    pub fn field(&self, key: &str) -> JsonNode<'a> {
        let key_path =
            if self.key_path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.key_path) };
        let value = self.value.and_then(|value| value.get(key)).filter(|value| !value.is_null());
        JsonNode { value, key_path }
    }

    /// Returns whether the value is present.
    pub fn is_present(&self) -> bool {
        self.value.is_some()
    }

    /// Returns an error for this key.
    pub fn error(&self, reason: &str) -> DecodeError {
        DecodeError::InvalidValue { key_path: self.key_path.clone(), reason: reason.to_owned() }
    }

    /// Returns an error that names the expected value and quotes the present one.
    pub(super) fn unexpected(&self, expected: &str) -> DecodeError {
        let found = self.value.map_or("nothing".to_owned(), |value| value.encode());
        self.error(&format!("expected {expected}, got {found:.MAX_QUOTED_CHARS$}"))
    }

    /// Checks that an object has no fields besides `known`. A misspelt key would otherwise be ignored, and
    /// the default of the intended key would apply without notice.
    ///
    /// # Errors
    /// [`DecodeError::InvalidValue`] for the first unknown key, or if the value is not an object.
    pub fn reject_unknown_fields(&self, known: &[&str]) -> Result<(), DecodeError> {
        let Some(value) = self.value else { return Ok(()) };
        let object = value.as_object().ok_or_else(|| self.unexpected("an object"))?;
        match object.keys().find(|key| !known.contains(&key.as_str())) {
            Some(key) => {
                Err(self.field(key).error(&format!("unknown key; the known keys are {}", known.join(", "))))
            }
            None => Ok(()),
        }
    }

    /// Returns the elements of a list. An absent list has no elements.
    ///
    /// # Errors
    /// [`DecodeError::InvalidValue`] if the value is not a list.
    pub fn elements(&self) -> Result<Vec<JsonNode<'a>>, DecodeError> {
        let Some(value) = self.value else { return Ok(Vec::new()) };
        let list = value.as_array().ok_or_else(|| self.unexpected("a list"))?;
        let element =
            |(index, value)| JsonNode { value: Some(value), key_path: format!("{}[{index}]", self.key_path) };
        Ok(list.iter().enumerate().map(element).collect())
    }

    /// Converts the value, if present. `expected` describes the values that `convert` accepts.
    fn decode<T>(
        &self,
        expected: &str,
        convert: impl FnOnce(&'a OwnedValue) -> Option<T>,
    ) -> Result<Option<T>, DecodeError> {
        self.value.map(|value| convert(value).ok_or_else(|| self.unexpected(expected))).transpose()
    }

    /// Returns the text, or `None` if the value is absent.
    ///
    /// # Errors
    /// See [`JsonNode`].
    pub fn optional_text(&self) -> Result<Option<String>, DecodeError> {
        self.decode("text", |value| value.as_str().map(str::to_owned))
    }

    /// Returns the text, which must be present and not empty.
    ///
    /// # Errors
    /// See [`JsonNode`].
    pub fn required_text(&self) -> Result<String, DecodeError> {
        self.optional_text()?.filter(|text| !text.is_empty()).ok_or_else(|| self.error("is missing or empty"))
    }

    /// Returns the texts of a list, none of which may be empty.
    ///
    /// # Errors
    /// See [`JsonNode`].
    pub fn text_list(&self) -> Result<Vec<String>, DecodeError> {
        self.elements()?.iter().map(|element| element.required_text()).collect()
    }

    /// Returns a finite number of at least 0, or the default.
    ///
    /// # Errors
    /// See [`JsonNode`].
    pub fn number_or(&self, default: f64) -> Result<f64, DecodeError> {
        let convert =
            |value: &OwnedValue| value.cast_f64().filter(|number| number.is_finite() && *number >= 0.0);
        Ok(self.decode("a number of 0 or more", convert)?.unwrap_or(default))
    }

    /// Returns a duration, given in milliseconds, or the default.
    ///
    /// # Errors
    /// See [`JsonNode`].
    pub fn duration_ms_or(&self, default: Micros) -> Result<Micros, DecodeError> {
        let milliseconds = self.number_or(default.as_f64() / MICROS_PER_MS)?;
        if milliseconds > MAX_DURATION_MS {
            return Err(self.unexpected(&format!("at most {MAX_DURATION_MS} milliseconds")));
        }
        Ok(Micros::from_f64((milliseconds * MICROS_PER_MS).round()))
    }

    /// Returns a duration of more than 0, given in milliseconds, or the default.
    ///
    /// # Errors
    /// See [`JsonNode`].
    pub fn positive_duration_ms(&self, default: Micros) -> Result<Micros, DecodeError> {
        match self.duration_ms_or(default)? {
            Micros::ZERO if self.is_present() => Err(self.unexpected("more than 0 milliseconds")),
            duration => Ok(duration),
        }
    }

    /// Returns a number in this range, or the default.
    ///
    /// # Errors
    /// See [`JsonNode`].
    pub fn number_in_range_or(&self, range: RangeInclusive<f64>, default: f64) -> Result<f64, DecodeError> {
        let number = self.number_or(default)?;
        if self.is_present() && !range.contains(&number) {
            let expected = format!("a number from {} to {}", range.start(), range.end());
            return Err(self.unexpected(&expected));
        }
        Ok(number)
    }

    /// Returns a whole number from 1 to `MAX_COUNT`, or the default.
    ///
    /// # Errors
    /// See [`JsonNode`].
    pub fn positive_count_or(&self, default: u32) -> Result<u32, DecodeError> {
        let count = self.number_in_range_or(1.0..=MAX_COUNT, default.into())?;
        if count.fract() != 0.0 {
            return Err(self.unexpected("a whole number"));
        }
        Ok(count as u32)
    }

    /// Returns a flag, or the default. A number other than 0 counts as `true`.
    ///
    /// # Errors
    /// See [`JsonNode`].
    pub fn flag_or(&self, default: bool) -> Result<bool, DecodeError> {
        let convert =
            |value: &OwnedValue| value.as_bool().or_else(|| value.cast_f64().map(|number| number != 0.0));
        Ok(self.decode("true or false", convert)?.unwrap_or(default))
    }
}
