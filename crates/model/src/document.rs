//! Access to a TOML table that remembers the path of each key, so that every error can name it.

use std::fmt::Display;

use toml::{Table, Value};

use crate::{Code, ConfigError};

/// A table of a document under check, and where it stands.
pub struct Document<'a> {
    file: &'a str,
    path: String,
    table: &'a Table,
}

impl<'a> Document<'a> {
    /// The top table of `file`.
    #[must_use]
    pub fn new(file: &'a str, table: &'a Table) -> Self {
        Self {
            file,
            path: String::new(),
            table,
        }
    }

    /// Path of `key` within the document.
    #[must_use]
    pub fn key(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_owned()
        } else {
            format!("{}.{key}", self.path)
        }
    }

    /// An error about `key`.
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

    /// Reports every key that is not in `known`.
    pub fn check_keys(&self, known: &[&str], errors: &mut Vec<ConfigError>) {
        for key in self.table.keys().filter(|k| !known.contains(&k.as_str())) {
            let allowed = format!("one of {}", known.join(", "));
            errors.push(self.error(Code::UnknownKey, key, key, &allowed));
        }
    }

    /// A required string that `accept` approves.
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

    /// An optional string that `accept` approves.
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

    /// A required whole number from `min` to `max`.
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

    /// An optional whole number from `min` to `max`.
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

    /// A required true or false.
    pub fn flag(&self, key: &str, errors: &mut Vec<ConfigError>) -> Option<bool> {
        let allowed = "true or false";
        let value = self.required(key, allowed, errors)?;
        match value.as_bool() {
            Some(flag) => Some(flag),
            None => self.reject(key, value, allowed, errors),
        }
    }

    /// An optional true or false; absent means false.
    pub fn optional_flag(&self, key: &str, errors: &mut Vec<ConfigError>) -> Option<bool> {
        if self.table.contains_key(key) {
            self.flag(key, errors)
        } else {
            Some(false)
        }
    }

    /// A required value of any type.
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

    /// Reports `value` as not allowed.
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

    /// The tables of the array `key`, at most `max`; absent means none.
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
        let mut found = Vec::new();
        for (index, item) in items.iter().enumerate() {
            let path = format!("{}[{index}]", self.key(key));
            match item.as_table() {
                Some(table) => found.push(Document {
                    file: self.file,
                    path,
                    table,
                }),
                None => {
                    self.reject::<()>(key, item, allowed, errors);
                }
            }
        }
        found
    }
}

/// Longest part of a key or value that an error shows, in characters.
const MAX_SHOWN_CHARS: usize = 80;

/// Text from a document as errors show it: bounded, and with control characters escaped so that they
/// cannot steer a terminal or split a log line.
pub(crate) fn printable(text: &str) -> String {
    let mut shown = String::new();
    for (index, c) in text.chars().enumerate() {
        if index == MAX_SHOWN_CHARS {
            shown.push_str("...");
            break;
        }
        if c.is_control() {
            shown.extend(c.escape_default());
        } else {
            shown.push(c);
        }
    }
    shown
}
