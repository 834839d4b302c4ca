//! Clients of the log service and instance list. Thin edges that turn HTTP exchanges into
//! typed answers; nothing is decided or retried here.

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
