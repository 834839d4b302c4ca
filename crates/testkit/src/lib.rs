//! Test doubles of the platform and of upstreams, speaking the documented protocols over loopback,
//! with faults that tests switch on; a caller, a load tool and a cluster in one process. For tests,
//! the demo and measurements only; never shipped.

#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "figures are shown with few digits, and times of runs are far below the bounds"
)]

mod caller;
mod child;
mod cluster;
pub mod fleet;
mod http_server;
mod list;
pub mod load;
mod log;
pub mod options;
mod send;
mod upstream;

pub use crate::{
    caller::{AddressAnswer, CallDone, Caller, CallerSpec, ask_addresses},
    child::{ChildInstance, built_binary},
    cluster::{Cluster, ClusterError, ClusterSpec, Instance, Target},
    http_server::{HttpServer, json_response},
    list::ListServer,
    log::{LogFaults, LogServer},
    send::{CallAnswer, CallSpec, send_call},
    upstream::{
        BadVersion, ColdStart, RESPONSE_BYTES, ResponseFault, ServiceTimes, Upstream,
        UpstreamCounts, UpstreamFaults, UpstreamSpec,
    },
};

/// Header with the caller's id of a call. Upstreams count runs by it and begin their answer with
/// it.
pub const CALL_ID_HEADER: &str = "x-call-id";
