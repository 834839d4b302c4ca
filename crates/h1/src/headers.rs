//! Header lines of one message, kept as they were sent.

use std::ops::Range;

/// Headers that concern one connection only.
const HOP_HEADERS: &[&str] = &[
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

/// Header lines in their order. Names compare without case.
#[derive(Clone, Debug, Default)]
pub struct Headers {
    raw: Vec<u8>,
    lines: Vec<(Range<usize>, Range<usize>)>,
}

impl Headers {
    /// Copies parsed header lines.
    #[must_use]
    pub fn from_parsed(parsed: &[httparse::Header<'_>]) -> Self {
        let mut headers = Self::default();
        for header in parsed {
            headers.push(header.name, header.value);
        }
        headers
    }

    /// Adds a line.
    pub fn push(&mut self, name: &str, value: &[u8]) {
        let start = self.raw.len();
        self.raw.extend_from_slice(name.as_bytes());
        let mid = self.raw.len();
        self.raw.extend_from_slice(value);
        self.lines.push((start..mid, mid..self.raw.len()));
    }

    /// All lines.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.lines.iter().map(|(name, value)| {
            let name = str::from_utf8(&self.raw[name.clone()]).unwrap_or_default();
            (name, &self.raw[value.clone()])
        })
    }

    /// All values of a header.
    pub fn values<'a, 'n>(&'a self, name: &'n str) -> impl Iterator<Item = &'a [u8]> + use<'a, 'n> {
        self.iter()
            .filter(move |(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, value)| value)
    }

    /// The only value of a header as text; `None` if it is absent, repeated or not text.
    #[must_use]
    pub fn single_value(&self, name: &str) -> Option<&str> {
        let mut values = self.values(name);
        let value = str::from_utf8(values.next()?).ok()?;
        values.next().is_none().then_some(value.trim())
    }

    /// Whether a header is present.
    #[must_use]
    pub fn has(&self, name: &str) -> bool {
        self.values(name).next().is_some()
    }

    /// Whether a comma-separated header holds `token`, without case.
    #[must_use]
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.tokens(name).any(|t| t.eq_ignore_ascii_case(token))
    }

    /// Lines that may be passed on to the next connection.
    pub fn end_to_end(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.iter().filter(|(name, _)| {
            !HOP_HEADERS.iter().any(|hop| name.eq_ignore_ascii_case(hop))
                && !self
                    .tokens("connection")
                    .any(|t| name.eq_ignore_ascii_case(t))
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
