//! Query of a request for an explanation.

use form_urlencoded::parse;

/// The request to explain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExplainQuery {
    /// Method; `GET` unless stated.
    pub method: String,
    /// Host, with or without a port.
    pub host: String,
    /// Path, with or without a query.
    pub path: String,
    /// Workspace of the caller.
    pub workspace: Option<String>,
}

impl ExplainQuery {
    /// Parses the query of a request target. Returns which parameter is wrong, and what is expected.
    pub fn parse(target: &str) -> Result<Self, String> {
        let (_, query) = target.split_once('?').unwrap_or_default();
        let value = |key: &str| {
            let mut pairs = parse(query.as_bytes());
            pairs.find(|(k, _)| k == key).map(|(_, v)| v.into_owned())
        };
        let host = value("host").filter(|host| !host.is_empty());
        let path = value("path").filter(|path| path.starts_with('/'));
        Ok(Self {
            method: value("method").unwrap_or_else(|| String::from("GET")),
            host: host.ok_or("host: expected the host of the request")?,
            path: path.ok_or("path: expected a path that begins with /")?,
            workspace: value("workspace"),
        })
    }

    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.path.split('?').next().unwrap_or_default()
    }
}
