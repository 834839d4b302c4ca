//! Client of the platform's instance list.

use std::net::SocketAddr;

use http_types::Method;
use serde_json::Value;
use wire::{ListAnswer, ListEntry};

use crate::{
    HttpRequest, StoreError, exchange,
    log_client::{json_exchange, parse_response, to_json},
};

/// Time limit of an exchange, in milliseconds.
const TIMEOUT_MS: u64 = 2_000;
/// HTTP status of a response without entries: the list did not change.
const NOT_MODIFIED: u16 = 304;

/// A client of the instance list at one address.
#[derive(Clone, Copy, Debug)]
pub struct ListClient {
    addr: SocketAddr,
}

impl ListClient {
    /// Returns a client of the list at `addr`.
    #[must_use]
    pub const fn new(addr: SocketAddr) -> Self {
        Self { addr }
    }

    /// Reads all entries.
    ///
    /// # Errors
    ///
    /// Returns any [`StoreError`].
    pub async fn entries(&self) -> Result<ListAnswer, StoreError> {
        json_exchange(&self.request(Method::Get, "/v1/instances", &[])).await
    }

    /// Reads all entries, or returns `None` if the list's version is still `version`. A list
    /// service that does not support the `after` parameter returns all entries each time.
    ///
    /// # Errors
    ///
    /// Returns any [`StoreError`].
    pub async fn changes(&self, version: u64) -> Result<Option<ListAnswer>, StoreError> {
        let path = format!("/v1/instances?after={version}");
        let request = self.request(Method::Get, &path, &[]);
        let response = exchange(&request).await?;
        if response.status == NOT_MODIFIED {
            return Ok(None);
        }
        parse_response(&request, &response).map(Some)
    }

    /// Registers or updates an entry.
    ///
    /// # Errors
    ///
    /// Returns any [`StoreError`]; the change may still have taken effect.
    pub async fn register(&self, entry: &ListEntry) -> Result<(), StoreError> {
        let body = to_json(self.addr, entry)?;
        let path = format!("/v1/instances/{}", entry.id);
        json_exchange::<Value>(&self.request(Method::Put, &path, &body)).await?;
        Ok(())
    }

    /// Removes an entry.
    ///
    /// # Errors
    ///
    /// Returns any [`StoreError`]; the change may still have taken effect.
    pub async fn remove(&self, id: &str) -> Result<(), StoreError> {
        let path = format!("/v1/instances/{id}");
        json_exchange::<Value>(&self.request(Method::Delete, &path, &[])).await?;
        Ok(())
    }

    const fn request<'a>(&self, method: Method, path: &'a str, body: &'a [u8]) -> HttpRequest<'a> {
        HttpRequest {
            addr: self.addr,
            method,
            path,
            token: None,
            body,
            limit_ms: TIMEOUT_MS,
        }
    }
}
