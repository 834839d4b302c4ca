//! Client of the administration API. It tries the addresses in turn, starting with the one that
//! responded last, because other instances do not know a pending proposal before it is in the log.

use std::{cell::Cell, env, net::SocketAddr};

use http_types::Method;
use model::Code;
use serde::{Serialize, de::DeserializeOwned};
use store::{HttpAnswer, HttpRequest, exchange};
use wire::ErrorBody;

use crate::{args::Args, failure::Failure, token::read_token};

/// Environment variable that holds administration addresses, separated by commas.
const ADMIN_VARIABLE: &str = "HIBISCUS_ADMIN";
/// Maximum value of `--limit-ms`, the time limit of one request.
const MAX_LIMIT_MS: u64 = 600_000;

/// A client of the administration API at one or more addresses.
#[derive(Debug)]
pub struct Client {
    addrs: Vec<SocketAddr>,
    token: String,
    limit_ms: u64,
    /// Index of the address that responded last.
    last: Cell<usize>,
}

/// Rejects a time limit that is out of range.
pub fn check_limit(limit_ms: u64) -> Result<(), Failure> {
    if (1..=MAX_LIMIT_MS).contains(&limit_ms) {
        return Ok(());
    }
    let text = format!("limit-ms: got {limit_ms}; allowed: 1 to {MAX_LIMIT_MS}");
    Err(Failure::Usage(text))
}

impl Client {
    /// Creates a client from the command line and the environment.
    pub fn new(args: &Args) -> Result<Self, Failure> {
        check_limit(args.limit_ms)?;
        Ok(Self {
            addrs: admin_addresses(&args.admin)?,
            token: read_token(args.token_file.as_deref())?,
            limit_ms: args.limit_ms,
            last: Cell::new(0),
        })
    }

    /// Sends `GET` for `path` and parses the response.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Failure> {
        parse(&self.send(Method::Get, path, &[]).await?)
    }

    /// Sends `POST` with `value` to `path` and parses the response. Sending the request again to the next
    /// address is safe, because instances recognize a repeated proposal by its id.
    pub async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        value: &impl Serialize,
    ) -> Result<T, Failure> {
        let body = serde_json::to_vec(value).map_err(|e| Failure::Usage(e.to_string()))?;
        parse(&self.send(Method::Post, path, &body).await?)
    }

    /// Sends the request to one address after another until one responds with a status other than 503.
    async fn send(&self, method: Method, path: &str, body: &[u8]) -> Result<HttpAnswer, Failure> {
        let mut errors = Vec::new();
        for attempt in 0..self.addrs.len() {
            let index = (self.last.get() + attempt) % self.addrs.len();
            let request = HttpRequest {
                addr: self.addrs[index],
                method,
                path,
                token: Some(&self.token),
                body,
                limit_ms: self.limit_ms,
            };
            match exchange(&request).await {
                Ok(response) if response.status != 503 => {
                    self.last.set(index);
                    return Ok(response);
                }
                Ok(response) => {
                    errors.push(format!("{}: {}", request.addr, unavailable_text(&response)));
                }
                Err(error) => errors.push(error.to_string()),
            }
        }
        Err(Failure::Unreachable(errors.join("; ")))
    }
}

/// Returns the addresses of `--admin`, or of the environment if the option is missing.
fn admin_addresses(given: &[String]) -> Result<Vec<SocketAddr>, Failure> {
    let from_env = env::var(ADMIN_VARIABLE).unwrap_or_default();
    let texts: Vec<&str> = if given.is_empty() {
        from_env
            .split(',')
            .map(str::trim)
            .filter(|a| !a.is_empty())
            .collect()
    } else {
        given.iter().map(String::as_str).collect()
    };
    if texts.is_empty() {
        let text = format!("no administration address: give --admin or set {ADMIN_VARIABLE}");
        return Err(Failure::Usage(text));
    }
    let parse = |text: &str| {
        text.parse().map_err(|_| {
            let rule = "allowed: an IP address and port, such as 127.0.0.1:8082";
            Failure::Usage(format!("admin: got {text}; {rule}"))
        })
    };
    texts.into_iter().map(parse).collect()
}

/// Describes a response with status 503.
fn unavailable_text(response: &HttpAnswer) -> String {
    match serde_json::from_slice::<ErrorBody>(&response.body) {
        Ok(body) => format!("{}: {}", body.code, body.detail),
        Err(_) => format!("status {}", response.status),
    }
}

/// Parses a response body, whatever its status: the decision on a rejected proposal comes with status
/// 409 or 403. A body that is not a `T` may be an error response.
fn parse<T: DeserializeOwned>(response: &HttpAnswer) -> Result<T, Failure> {
    let bytes = &response.body;
    if let Ok(value) = serde_json::from_slice(bytes) {
        return Ok(value);
    }
    match serde_json::from_slice::<ErrorBody>(bytes) {
        Ok(body) => Err(Failure::Refused(body)),
        Err(error) => Err(Failure::Malformed(format!(
            "status {}: {error}",
            response.status
        ))),
    }
}

/// Returns whether the failure means that the queried instance does not know the proposal.
pub fn is_unknown_proposal(failure: &Failure) -> bool {
    matches!(failure, Failure::Refused(body) if body.code == Code::UnknownProposal)
}
