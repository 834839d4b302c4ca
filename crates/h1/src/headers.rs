//! Header lines of one message.

use std::{collections::HashSet, mem::size_of, ops::Range};

/// Headers that apply to a single connection and are not forwarded.
const HOP_BY_HOP: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    "content-length",
];

/// Header lines in the order in which they were sent. Names are looked up without regard to case.
#[derive(Clone, Debug, Default)]
pub struct Headers {
    /// Names and values of all lines.
    bytes: Vec<u8>,
    /// Ranges of each line's name and value in `bytes`.
    lines: Vec<(Range<usize>, Range<usize>)>,
}

impl Headers {
    /// Copies header lines that `httparse` has parsed.
    #[must_use]
    pub fn from_parsed(parsed: &[httparse::Header<'_>]) -> Self {
        let bytes = parsed.iter().map(|h| h.name.len() + h.value.len()).sum();
        let mut headers = Self {
            bytes: Vec::with_capacity(bytes),
            lines: Vec::with_capacity(parsed.len()),
        };
        for header in parsed {
            headers.push(header.name, header.value);
        }
        headers
    }

    /// Appends a line.
    pub fn push(&mut self, name: &str, value: &[u8]) {
        let start = self.bytes.len();
        self.bytes.extend_from_slice(name.as_bytes());
        let value_start = self.bytes.len();
        self.bytes.extend_from_slice(value);
        self.lines
            .push((start..value_start, value_start..self.bytes.len()));
    }

    /// Returns the memory that the lines take, in bytes. Short lines take many times their own bytes.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        self.bytes.capacity() + self.lines.capacity() * size_of::<(Range<usize>, Range<usize>)>()
    }

    /// Returns the names and values of all lines.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.lines.iter().map(|(name, value)| {
            let name = str::from_utf8(&self.bytes[name.clone()]).unwrap_or_default();
            (name, &self.bytes[value.clone()])
        })
    }

    /// Returns the values of all lines with the header `name`.
    pub fn values<'a, 'n>(&'a self, name: &'n str) -> impl Iterator<Item = &'a [u8]> + use<'a, 'n> {
        self.iter()
            .filter(move |(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, value)| value)
    }

    /// Returns the value of the header `name`, or `None` if the header is absent, repeated or not
    /// valid UTF-8.
    #[must_use]
    pub fn single_value(&self, name: &str) -> Option<&str> {
        let mut values = self.values(name);
        let value = str::from_utf8(values.next()?).ok()?;
        values.next().is_none().then_some(value.trim())
    }

    /// Returns whether the header `name` is present.
    #[must_use]
    pub fn has(&self, name: &str) -> bool {
        self.values(name).next().is_some()
    }

    /// Returns whether the comma-separated header `name` contains `token`, without regard to case.
    #[must_use]
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.tokens(name).any(|t| t.eq_ignore_ascii_case(token))
    }

    /// Returns the lines that are forwarded with the message: those without a hop-by-hop header.
    pub fn end_to_end(&self) -> impl Iterator<Item = (&str, &[u8])> {
        // A set keeps the work linear in the bytes of a head with many lines and many tokens.
        let named: HashSet<String> = self
            .tokens("connection")
            .map(str::to_ascii_lowercase)
            .collect();
        self.iter().filter(move |(name, _)| {
            !HOP_BY_HOP
                .iter()
                .any(|header| name.eq_ignore_ascii_case(header))
                && (named.is_empty() || !named.contains(&name.to_ascii_lowercase()))
        })
    }

    fn tokens<'a, 'n>(&'a self, name: &'n str) -> impl Iterator<Item = &'a str> + use<'a, 'n> {
        self.values(name)
            .filter_map(|value| str::from_utf8(value).ok())
            .flat_map(|value| value.split(','))
            .map(str::trim)
    }
}

/// Appends header lines to `out`.
pub fn write_headers<'a>(out: &mut Vec<u8>, lines: impl Iterator<Item = (&'a str, &'a [u8])>) {
    for (name, value) in lines {
        out.extend_from_slice(name.as_bytes());
        out.extend_from_slice(b": ");
        out.extend_from_slice(value);
        out.extend_from_slice(b"\r\n");
    }
}
