//! Client of the platform's instance list.

use std::net::SocketAddr;

use http_types::Method;
use serde_json::Value;
use wire::{ListAnswer, ListEntry};

use crate::{
    HttpRequest, PlatformError,
    log_client::{json_exchange, to_json},
};

/// Time limit of an exchange, in milliseconds.
const LIMIT_MS: u64 = 2_000;

/// The instance list at one address.
#[derive(Clone, Copy, Debug)]
pub struct ListClient {
    addr: SocketAddr,
}

impl ListClient {
    /// A client of the list at `addr`.
    #[must_use]
    pub const fn new(addr: SocketAddr) -> Self {
        Self { addr }
    }

    /// All entries.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`].
    pub async fn entries(&self) -> Result<ListAnswer, PlatformError> {
        json_exchange(&self.request(Method::Get, "/v1/instances", &[])).await
    }

    /// Registers or updates an entry.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`]; the change may have taken effect all the same.
    pub async fn register(&self, entry: &ListEntry) -> Result<(), PlatformError> {
        let body = to_json(self.addr, entry)?;
        let path = format!("/v1/instances/{}", entry.id);
        json_exchange::<Value>(&self.request(Method::Put, &path, &body)).await?;
        Ok(())
    }

    /// Removes an entry.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`]; the change may have taken effect all the same.
    pub async fn remove(&self, id: &str) -> Result<(), PlatformError> {
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
            limit_ms: LIMIT_MS,
        }
    }
}
