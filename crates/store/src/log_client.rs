//! Client of the platform's log service.

use std::net::SocketAddr;

use http_types::Method;
use serde::de::DeserializeOwned;
use wire::{AppendAnswer, AppendRequest, ReadAnswer};

use crate::{HttpAnswer, HttpRequest, StoreError, exchange};

/// Time limit of an append, in milliseconds.
const APPEND_TIMEOUT_MS: u64 = 2_000;
/// Time that a read may take beyond its wait for records, in milliseconds.
const READ_MARGIN_MS: u64 = 2_000;

/// A client of one stream of the log service.
#[derive(Clone, Debug)]
pub struct LogClient {
    addr: SocketAddr,
    stream: String,
}

impl LogClient {
    /// Returns a client of `stream` at `addr`.
    #[must_use]
    pub fn new(addr: SocketAddr, stream: &str) -> Self {
        Self {
            addr,
            stream: stream.to_owned(),
        }
    }

    /// Reads up to `limit` records from offset `from` on, waiting up to `wait_ms` for the first.
    ///
    /// # Errors
    ///
    /// Returns any [`StoreError`].
    pub async fn read(
        &self,
        from: u64,
        limit: u32,
        wait_ms: u64,
    ) -> Result<ReadAnswer, StoreError> {
        let stream = &self.stream;
        let path =
            format!("/v1/streams/{stream}/records?from={from}&limit={limit}&wait_ms={wait_ms}");
        self.call(Method::Get, &path, &[], wait_ms + READ_MARGIN_MS)
            .await
    }

    /// Appends records and returns the offset of the first.
    ///
    /// # Errors
    ///
    /// Returns any [`StoreError`]; the records may still have been appended, unless
    /// [`StoreError::is_unsent`] returns true.
    pub async fn append(&self, records: Vec<String>) -> Result<u64, StoreError> {
        let path = format!("/v1/streams/{}/records", self.stream);
        let body = to_json(self.addr, &AppendRequest { records })?;
        let response: AppendAnswer = self
            .call(Method::Post, &path, &body, APPEND_TIMEOUT_MS)
            .await?;
        Ok(response.offset)
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: &[u8],
        limit_ms: u64,
    ) -> Result<T, StoreError> {
        let request = HttpRequest {
            addr: self.addr,
            method,
            path,
            token: None,
            body,
            limit_ms,
        };
        json_exchange(&request).await
    }
}

/// Encodes a request body for the server at `addr`, which an error names.
pub(crate) fn to_json<T: serde::Serialize>(
    addr: SocketAddr,
    value: &T,
) -> Result<Vec<u8>, StoreError> {
    serde_json::to_vec(value).map_err(|e| StoreError::Encode {
        addr,
        detail: e.to_string(),
    })
}

/// Sends a request and decodes the JSON body of the response, whose status must be 200.
pub(crate) async fn json_exchange<T: DeserializeOwned>(
    request: &HttpRequest<'_>,
) -> Result<T, StoreError> {
    let response = exchange(request).await?;
    parse_response(request, &response)
}

/// Decodes the JSON body of a response, whose status must be 200.
pub(crate) fn parse_response<T: DeserializeOwned>(
    request: &HttpRequest<'_>,
    response: &HttpAnswer,
) -> Result<T, StoreError> {
    if response.status != 200 {
        return Err(StoreError::Status {
            addr: request.addr,
            request: request.name(),
            status: response.status,
        });
    }
    serde_json::from_slice(&response.body).map_err(|e| StoreError::Body {
        addr: request.addr,
        request: request.name(),
        detail: e.to_string(),
    })
}
