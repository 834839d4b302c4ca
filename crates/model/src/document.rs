//! Access to a TOML table that remembers the path of each key, so that every error can name it.

use std::fmt::Display;

use toml::{Table, Value};

use crate::{Code, ConfigError};

/// A TOML table of a document, with its path, whose methods check the values that they return.
pub struct Document<'a> {
    file: &'a str,
    path: String,
    table: &'a Table,
}

impl<'a> Document<'a> {
    /// Returns the root table of the document `file`.
    #[must_use]
    pub fn new(file: &'a str, table: &'a Table) -> Self {
        Self {
            file,
            path: String::new(),
            table,
        }
    }

    /// Returns the path of `key` within the document.
    #[must_use]
    pub fn key(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_owned()
        } else {
            format!("{}.{key}", self.path)
        }
    }

    /// Returns an error that names the path of `key`, the value found and the values allowed.
    #[must_use]
    pub fn error(&self, code: Code, key: &str, value: impl Display, allowed: &str) -> ConfigError {
        ConfigError {
            code,
            file: self.file.to_owned(),
            key: self.key(&printable(key)),
            value: printable(&value.to_string()),
            allowed: allowed.to_owned(),
        }
    }

    /// Adds an error to `errors` for every key that is not in `known`.
    pub fn check_keys(&self, known: &[&str], errors: &mut Vec<ConfigError>) {
        for key in self.table.keys().filter(|k| !known.contains(&k.as_str())) {
            let allowed = format!("one of {}", known.join(", "));
            errors.push(self.error(Code::UnknownKey, key, key, &allowed));
        }
    }

    /// Returns a required string for which `accept` returns true, or adds an error.
    pub fn text(
        &self,
        key: &str,
        allowed: &str,
        accept: impl Fn(&str) -> bool,
        errors: &mut Vec<ConfigError>,
    ) -> Option<&'a str> {
        let value = self.required(key, allowed, errors)?;
        match value.as_str() {
            Some(text) if accept(text) => Some(text),
            _ => self.reject(key, value, allowed, errors),
        }
    }

    /// Returns an optional string for which `accept` returns true. Adds an error if it is another
    /// value.
    pub fn optional_text(
        &self,
        key: &str,
        allowed: &str,
        accept: impl Fn(&str) -> bool,
        errors: &mut Vec<ConfigError>,
    ) -> Option<&'a str> {
        self.table.get(key)?;
        self.text(key, allowed, accept, errors)
    }

    /// Returns a required whole number from `min` to `max`, or adds an error.
    pub fn number(
        &self,
        key: &str,
        min: u64,
        max: u64,
        errors: &mut Vec<ConfigError>,
    ) -> Option<u64> {
        let allowed = format!("a whole number from {min} to {max}");
        let value = self.required(key, &allowed, errors)?;
        let number = value.as_integer().and_then(|n| u64::try_from(n).ok());
        match number {
            Some(n) if (min..=max).contains(&n) => Some(n),
            _ => self.reject(key, value, &allowed, errors),
        }
    }

    /// Returns an optional whole number from `min` to `max`. Adds an error if it is another value.
    pub fn optional_number(
        &self,
        key: &str,
        min: u64,
        max: u64,
        errors: &mut Vec<ConfigError>,
    ) -> Option<u64> {
        self.table.get(key)?;
        self.number(key, min, max, errors)
    }

    /// Returns a required boolean, or adds an error.
    pub fn flag(&self, key: &str, errors: &mut Vec<ConfigError>) -> Option<bool> {
        let allowed = "true or false";
        let value = self.required(key, allowed, errors)?;
        match value.as_bool() {
            Some(flag) => Some(flag),
            None => self.reject(key, value, allowed, errors),
        }
    }

    /// Returns an optional boolean, false if the key is missing. Adds an error if it is another
    /// value.
    pub fn optional_flag(&self, key: &str, errors: &mut Vec<ConfigError>) -> Option<bool> {
        if self.table.contains_key(key) {
            self.flag(key, errors)
        } else {
            Some(false)
        }
    }

    /// Returns a required value of any type, or adds an error.
    pub fn required(
        &self,
        key: &str,
        allowed: &str,
        errors: &mut Vec<ConfigError>,
    ) -> Option<&'a Value> {
        let value = self.table.get(key);
        if value.is_none() {
            errors.push(self.error(Code::MissingKey, key, "nothing", allowed));
        }
        value
    }

    /// Adds an error that `value` is not allowed for `key`. Always returns `None`.
    pub fn reject<T>(
        &self,
        key: &str,
        value: &Value,
        allowed: &str,
        errors: &mut Vec<ConfigError>,
    ) -> Option<T> {
        errors.push(self.error(Code::BadValue, key, value, allowed));
        None
    }

    /// Returns the tables of the array `key`, none if the key is missing. Adds an error and returns
    /// none if there are more than `max`; adds an error for each entry that is not a table.
    pub fn tables(
        &self,
        key: &str,
        max: usize,
        errors: &mut Vec<ConfigError>,
    ) -> Vec<Document<'a>> {
        let Some(value) = self.table.get(key) else {
            return Vec::new();
        };
        let allowed = "an array of tables";
        let Some(items) = value.as_array() else {
            self.reject::<()>(key, value, allowed, errors);
            return Vec::new();
        };
        if items.len() > max {
            let allowed = format!("at most {max} entries");
            errors.push(self.error(Code::BadValue, key, items.len(), &allowed));
            return Vec::new();
        }
        let mut tables = Vec::new();
        for (index, item) in items.iter().enumerate() {
            let path = format!("{}[{index}]", self.key(key));
            match item.as_table() {
                Some(table) => tables.push(Document {
                    file: self.file,
                    path,
                    table,
                }),
                None => {
                    self.reject::<()>(key, item, allowed, errors);
                }
            }
        }
        tables
    }
}

/// Number of characters of a key or value that an error shows.
const MAX_SHOWN_CHARS: usize = 80;

/// Returns text from a document for an error message: shortened, and with control characters
/// escaped so that they cannot control a terminal or split a log line.
pub(crate) fn printable(text: &str) -> String {
    let mut escaped = String::new();
    for (index, c) in text.chars().enumerate() {
        if index == MAX_SHOWN_CHARS {
            escaped.push_str("...");
            break;
        }
        if c.is_control() {
            escaped.extend(c.escape_default());
        } else {
            escaped.push(c);
        }
    }
    escaped
}
