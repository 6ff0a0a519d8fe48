//! JSON with a memory of where one is, so that what is wrong can be told by its key.

use simd_json::prelude::*;
use simd_json::OwnedValue;

use crate::Micros;

/// What is wrong with a document: the key, and what is wrong with it.
#[derive(Debug, Clone, PartialEq)]
pub struct Fault {
    /// Path of the faulty key, such as `settings.limits.try-limit`.
    pub key: String,
    /// What is wrong.
    pub what: String,
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", if self.key.is_empty() { "document" } else { &self.key }, self.what)
    }
}

/// Reads a document.
pub fn document(text: &[u8]) -> Result<OwnedValue, Fault> {
    let mut bytes = text.to_vec();
    simd_json::to_owned_value(&mut bytes)
        .map_err(|e| Fault { key: String::new(), what: format!("not JSON: {e}") })
}

/// A place in a document, there or not.
#[derive(Clone)]
pub struct Place<'a> {
    value: Option<&'a OwnedValue>,
    path: String,
}

impl<'a> Place<'a> {
    /// The whole document.
    pub fn root(value: &'a OwnedValue) -> Place<'a> {
        Place { value: Some(value), path: String::new() }
    }

    /// The value under a key.
    pub fn at(&self, key: &str) -> Place<'a> {
        let path = if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) };
        Place { value: self.value.and_then(|v| v.get(key)).filter(|v| !v.is_null()), path }
    }

    /// Whether anything is there.
    pub fn exists(&self) -> bool {
        self.value.is_some()
    }

    /// A message about this key.
    pub fn fault(&self, what: &str) -> Fault {
        Fault { key: self.path.clone(), what: what.to_owned() }
    }

    /// Complains of a key that is not one of these: a slip of the pen must not pass for a default.
    pub fn only(&self, known: &[&str]) -> Result<(), Fault> {
        let Some(value) = self.value else { return Ok(()) };
        let object = value.as_object().ok_or_else(|| self.fault("an object is wanted"))?;
        match object.keys().find(|key| !known.contains(&key.as_str())) {
            Some(key) => Err(self.at(key).fault("no such key is known")),
            None => Ok(()),
        }
    }

    /// The items of a list; none where there is no list.
    pub fn items(&self) -> Result<Vec<Place<'a>>, Fault> {
        let Some(value) = self.value else { return Ok(Vec::new()) };
        let list = value.as_array().ok_or_else(|| self.fault("a list is wanted"))?;
        let item = |(n, value)| Place { value: Some(value), path: format!("{}[{n}]", self.path) };
        Ok(list.iter().enumerate().map(item).collect())
    }

    fn get<T>(&self, what: &str, read: impl FnOnce(&'a OwnedValue) -> Option<T>) -> Result<Option<T>, Fault> {
        self.value.map(|value| read(value).ok_or_else(|| self.fault(what))).transpose()
    }

    /// Text, if there.
    pub fn text(&self) -> Result<Option<String>, Fault> {
        self.get("text is wanted", |v| v.as_str().map(str::to_owned))
    }

    /// Text that has to be there.
    pub fn must_text(&self) -> Result<String, Fault> {
        self.text()?.filter(|t| !t.is_empty()).ok_or_else(|| self.fault("is missing"))
    }

    /// Texts of a list.
    pub fn texts(&self) -> Result<Vec<String>, Fault> {
        self.items()?.iter().map(|item| item.must_text()).collect()
    }

    /// A number of at least 0, or the default.
    pub fn number(&self, default: f64) -> Result<f64, Fault> {
        let read = |v: &OwnedValue| v.cast_f64().filter(|n| n.is_finite() && *n >= 0.0);
        Ok(self.get("a number of 0 or more is wanted", read)?.unwrap_or(default))
    }

    /// Milliseconds, or the default.
    pub fn millis(&self, default: Micros) -> Result<Micros, Fault> {
        let ms = self.number(default as f64 / 1000.0)?;
        if ms > 1e14 {
            return Err(self.fault("too many milliseconds"));
        }
        Ok((ms * 1000.0).round() as Micros)
    }

    /// Milliseconds of which there have to be some, or the default.
    pub fn some_millis(&self, default: Micros) -> Result<Micros, Fault> {
        match self.millis(default)? {
            0 if self.exists() => Err(self.fault("more than 0 milliseconds are wanted")),
            time => Ok(time),
        }
    }

    /// A number in this range, or the default.
    pub fn within(&self, range: std::ops::RangeInclusive<f64>, default: f64) -> Result<f64, Fault> {
        let number = self.number(default)?;
        if self.exists() && !range.contains(&number) {
            return Err(self.fault(&format!("a number from {} to {} is wanted", range.start(), range.end())));
        }
        Ok(number)
    }

    /// A count of at least one, or the default.
    pub fn count(&self, default: u32) -> Result<u32, Fault> {
        let count = self.within(1.0..=1e6, default.into())?;
        if count.fract() != 0.0 {
            return Err(self.fault("a whole number is wanted"));
        }
        Ok(count as u32)
    }

    /// A flag, or the default.
    pub fn flag(&self, default: bool) -> Result<bool, Fault> {
        let read = |v: &OwnedValue| v.as_bool().or_else(|| v.cast_f64().map(|n| n != 0.0));
        Ok(self.get("true or false is wanted", read)?.unwrap_or(default))
    }
}
