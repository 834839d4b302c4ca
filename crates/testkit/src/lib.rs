//! Stand-ins for the platform and for upstreams, a caller, a load tool and a cluster in one
//! process.
//!
//! The stand-ins speak the documented protocols over loopback and have faults that tests switch on.
//! The crate is used by tests, the demo and measurements only and is not part of the product.

#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "statistics are shown with few digits, and times of runs are far below the limits of the types"
)]

mod caller;
mod child;
mod cluster;
pub mod fleet;
mod free_addr;
mod http_server;
mod list;
pub mod load;
mod log;
pub mod options;
mod send;
mod upstream;

pub use crate::{
    caller::{AddressResponse, CallResult, Caller, CallerSpec, query_addresses},
    child::{ChildInstance, built_binary},
    cluster::{Cluster, ClusterError, ClusterSpec, Instance, Target},
    free_addr::free_addr,
    http_server::{HttpServer, json_response},
    list::ListServer,
    log::{LogFaults, LogServer},
    send::{CallResponse, CallSpec, send_call},
    upstream::{
        BadVersion, ColdStart, RESPONSE_BYTES, ResponseFault, ServiceTimes, Upstream,
        UpstreamCounts, UpstreamFaults, UpstreamSpec,
    },
};

/// Request header with the id that the caller gave the call. Upstreams count runs by this id and
/// begin the response body with it.
pub const CALL_ID_HEADER: &str = "x-call-id";
