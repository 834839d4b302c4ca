//! Clients of the platform's log service and instance list. They turn HTTP responses into typed
//! values and never retry.

mod error;
mod http;
mod list_client;
mod log_client;

pub use crate::{
    error::StoreError,
    http::{HttpAnswer, HttpRequest, exchange},
    list_client::ListClient,
    log_client::LogClient,
};
