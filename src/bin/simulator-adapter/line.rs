//! Splits a line of the simulator's protocol into its message name and fields.

use thiserror::Error;

/// Number of fields at the start of a line that [`Line::text`] can find. [`Line::all_fields`] has no limit,
/// as settings need more fields.
const MAX_FIELDS: usize = 24;
/// Separates the fields of a line.
pub(crate) const FIELD_SEPARATOR: char = '\t';
/// Separates a field's name from its value.
pub(crate) const VALUE_SEPARATOR: char = '=';

/// Error in a field of a message.
#[derive(Debug, Error, PartialEq)]
pub(crate) enum MalformedField {
    /// The value of the field cannot be parsed.
    #[error("{message}: cannot read field '{field}' from '{value}'")]
    Unreadable { message: String, field: String, value: String },
    /// The message does not have the field.
    #[error("{message}: field '{field}' is missing")]
    Missing { message: String, field: String },
}

impl MalformedField {
    /// Creates the error for a field of a message: [`MalformedField::Unreadable`] with its value, or
    /// [`MalformedField::Missing`] without one.
    pub(crate) fn new(message: &str, field: &str, value: Option<&str>) -> MalformedField {
        let (message, field) = (message.to_owned(), field.to_owned());
        match value {
            Some(value) => MalformedField::Unreadable { message, field, value: value.to_owned() },
            None => MalformedField::Missing { message, field },
        }
    }
}

/// Name and value of a field.
#[derive(Clone, Copy, Default)]
pub(crate) struct Field<'a> {
    pub name: &'a str,
    pub value: &'a str,
}

/// One line, split into the name of its message and its fields without copying.
pub(crate) struct Line<'a> {
    pub message: &'a str,
    /// Text of the line after the name of its message.
    field_text: &'a str,
    fields: [Field<'a>; MAX_FIELDS],
    field_count: usize,
}

impl<'a> Line<'a> {
    pub(crate) fn split(text: &'a str) -> Line<'a> {
        let (message, field_text) = text.split_once(FIELD_SEPARATOR).unwrap_or((text, ""));
        let mut line = Line { message, field_text, fields: [Field::default(); MAX_FIELDS], field_count: 0 };
        for (entry, field) in line.fields.iter_mut().zip(split_fields(field_text)) {
            *entry = field;
            line.field_count += 1;
        }
        line
    }

    /// Returns all fields of the line, without a limit on their number.
    pub(crate) fn all_fields(&self) -> impl Iterator<Item = Field<'a>> {
        split_fields(self.field_text)
    }

    /// Returns the value of a field. Searches only the first [`MAX_FIELDS`] fields.
    pub(crate) fn text(&self, name: &str) -> Option<&'a str> {
        self.fields[..self.field_count].iter().find(|field| field.name == name).map(|field| field.value)
    }

    /// Creates the error for a missing or unreadable field.
    pub(crate) fn malformed(&self, name: &str) -> MalformedField {
        MalformedField::new(self.message, name, self.text(name))
    }

    /// Parses an optional field.
    ///
    /// # Errors
    ///
    /// If the field is present and its value cannot be parsed.
    pub(crate) fn optional<T>(
        &self,
        name: &str,
        parse: impl FnOnce(&'a str) -> Option<T>,
    ) -> Result<Option<T>, MalformedField> {
        self.text(name).map(|value| parse(value).ok_or_else(|| self.malformed(name))).transpose()
    }

    /// Parses a required field.
    ///
    /// # Errors
    ///
    /// If the field is missing or its value cannot be parsed.
    pub(crate) fn required<T>(
        &self,
        name: &str,
        parse: impl FnOnce(&'a str) -> Option<T>,
    ) -> Result<T, MalformedField> {
        self.optional(name, parse)?.ok_or_else(|| self.malformed(name))
    }
}

/// Splits text into fields. Ignores parts without a [`VALUE_SEPARATOR`].
fn split_fields(text: &str) -> impl Iterator<Item = Field<'_>> {
    let parts = text.split(FIELD_SEPARATOR);
    parts.filter_map(|part| part.split_once(VALUE_SEPARATOR)).map(|(name, value)| Field { name, value })
}
