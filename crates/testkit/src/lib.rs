//! Test doubles of the platform and of upstreams, speaking the documented protocols over loopback,
//! with faults that tests switch on. For tests, the demo and measurements only; never shipped.

mod caller;
mod http_server;
mod list_server;
mod log_server;
mod upstream;

pub use crate::{
    caller::{CallAnswer, CallSpec, send_call},
    http_server::{HttpServer, json_response},
    list_server::ListServer,
    log_server::{LogFaults, LogServer},
    upstream::{Upstream, UpstreamFaults, UpstreamSpec},
};
