//! Client of the administration API. Addresses are tried in turn, beginning with the one that
//! answered last, so that a pending proposal is asked for where it was taken.

use std::{cell::Cell, env, net::SocketAddr};

use http_types::Method;
use model::Code;
use serde::{Serialize, de::DeserializeOwned};
use store::{HttpAnswer, HttpRequest, exchange};
use wire::ErrorBody;

use crate::{args::Args, failure::Failure, token::read_token};

/// Environment variable that holds administration addresses.
const ADMIN_VARIABLE: &str = "HIBISCUS_ADMIN";
/// Largest time limit of one request, in milliseconds.
const MAX_LIMIT_MS: u64 = 600_000;

/// The API at several addresses.
#[derive(Debug)]
pub struct Client {
    addrs: Vec<SocketAddr>,
    token: String,
    limit_ms: u64,
    last: Cell<usize>,
}

impl Client {
    /// The client that the command line describes.
    pub fn new(args: &Args) -> Result<Self, Failure> {
        if !(1..=MAX_LIMIT_MS).contains(&args.limit_ms) {
            let text = format!("limit-ms: allowed: 1 to {MAX_LIMIT_MS}");
            return Err(Failure::Usage(text));
        }
        Ok(Self {
            addrs: addresses(&args.admin)?,
            token: read_token(args.token_file.as_deref())?,
            limit_ms: args.limit_ms,
            last: Cell::new(0),
        })
    }

    /// Reads `path`.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Failure> {
        parse(&self.send(Method::Get, path, &[]).await?)
    }

    /// Sends `value` to `path`. A repeat at the next address is harmless because proposals carry ids.
    pub async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        value: &impl Serialize,
    ) -> Result<T, Failure> {
        let body = serde_json::to_vec(value).map_err(|e| Failure::Usage(e.to_string()))?;
        parse(&self.send(Method::Post, path, &body).await?)
    }

    async fn send(&self, method: Method, path: &str, body: &[u8]) -> Result<HttpAnswer, Failure> {
        let mut reports = Vec::new();
        for turn in 0..self.addrs.len() {
            let index = (self.last.get() + turn) % self.addrs.len();
            let request = HttpRequest {
                addr: self.addrs[index],
                method,
                path,
                token: Some(&self.token),
                body,
                limit_ms: self.limit_ms,
            };
            match exchange(&request).await {
                Ok(answer) if answer.status != 503 => {
                    self.last.set(index);
                    return Ok(answer);
                }
                Ok(answer) => reports.push(format!("{}: {}", request.addr, busy_text(&answer))),
                Err(error) => reports.push(error.to_string()),
            }
        }
        Err(Failure::Unreachable(reports.join("; ")))
    }
}

fn addresses(given: &[String]) -> Result<Vec<SocketAddr>, Failure> {
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

fn busy_text(answer: &HttpAnswer) -> String {
    match serde_json::from_slice::<ErrorBody>(&answer.body) {
        Ok(body) => format!("{}: {}", body.code, body.detail),
        Err(_) => format!("status {}", answer.status),
    }
}

/// Reads an answer. Rejected proposals come with status 409 or 403 and are answers all the same.
fn parse<T: DeserializeOwned>(answer: &HttpAnswer) -> Result<T, Failure> {
    let bytes = &answer.body;
    if let Ok(value) = serde_json::from_slice(bytes) {
        return Ok(value);
    }
    match serde_json::from_slice::<ErrorBody>(bytes) {
        Ok(body) => Err(Failure::Refused(body)),
        Err(error) => Err(Failure::Malformed(format!(
            "status {}: {error}",
            answer.status
        ))),
    }
}

/// Whether a failure means that the proposal is not known where it was asked for.
pub fn is_unknown(failure: &Failure) -> bool {
    matches!(failure, Failure::Refused(body) if body.code == Code::UnknownProposal)
}
