//! Splits a line of the simulator's protocol into its message name and fields.

use thiserror::Error;

/// The most fields of a message that can be looked up, apart from settings.
const MAX_FIELDS: usize = 24;
/// Separates the fields of a line.
pub(crate) const FIELD_SEPARATOR: char = '\t';
/// Separates a field's name from its value.
pub(crate) const VALUE_SEPARATOR: char = '=';

/// Why a field that a message needs cannot be used.
#[derive(Debug, Error, PartialEq)]
pub(crate) enum MalformedField {
    /// Its value cannot be parsed.
    #[error("{message}: cannot read field '{field}' from '{value}'")]
    Unreadable { message: String, field: String, value: String },
    /// It is not there.
    #[error("{message}: field '{field}' is missing")]
    Missing { message: String, field: String },
}

impl MalformedField {
    /// The error for a field of a message, which holds this value if it is there.
    pub(crate) fn new(message: &str, field: &str, value: Option<&str>) -> MalformedField {
        let (message, field) = (message.to_owned(), field.to_owned());
        match value {
            Some(value) => MalformedField::Unreadable { message, field, value: value.to_owned() },
            None => MalformedField::Missing { message, field },
        }
    }
}

/// A field's name and its value.
#[derive(Clone, Copy, Default)]
pub(crate) struct Field<'a> {
    pub name: &'a str,
    pub value: &'a str,
}

/// One line, split into its message name and fields without copying.
pub(crate) struct Line<'a> {
    pub message: &'a str,
    rest: &'a str,
    fields: [Field<'a>; MAX_FIELDS],
    count: usize,
}

impl<'a> Line<'a> {
    pub(crate) fn split(text: &'a str) -> Line<'a> {
        let (message, rest) = text.split_once(FIELD_SEPARATOR).unwrap_or((text, ""));
        let mut line = Line { message, rest, fields: [Field::default(); MAX_FIELDS], count: 0 };
        for (slot, field) in line.fields.iter_mut().zip(split_fields(rest)) {
            *slot = field;
            line.count += 1;
        }
        line
    }

    /// All fields, however many there are.
    pub(crate) fn all_fields(&self) -> impl Iterator<Item = Field<'a>> {
        split_fields(self.rest)
    }

    /// A field's value.
    pub(crate) fn text(&self, name: &str) -> Option<&'a str> {
        self.fields[..self.count].iter().find(|field| field.name == name).map(|field| field.value)
    }

    /// The error for a field.
    pub(crate) fn malformed(&self, name: &str) -> MalformedField {
        MalformedField::new(self.message, name, self.text(name))
    }

    /// Parses a field that may be missing, but not unreadable.
    pub(crate) fn optional<T>(
        &self,
        name: &str,
        parse: impl FnOnce(&'a str) -> Option<T>,
    ) -> Result<Option<T>, MalformedField> {
        self.text(name).map(|value| parse(value).ok_or_else(|| self.malformed(name))).transpose()
    }

    /// Parses a field that has to be there.
    pub(crate) fn required<T>(
        &self,
        name: &str,
        parse: impl FnOnce(&'a str) -> Option<T>,
    ) -> Result<T, MalformedField> {
        self.optional(name, parse)?.ok_or_else(|| self.malformed(name))
    }
}

fn split_fields(text: &str) -> impl Iterator<Item = Field<'_>> {
    let parts = text.split(FIELD_SEPARATOR);
    parts.filter_map(|part| part.split_once(VALUE_SEPARATOR)).map(|(name, value)| Field { name, value })
}
