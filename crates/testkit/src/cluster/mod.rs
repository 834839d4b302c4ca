//! A complete deployment in one process on loopback: log service, instance list, upstreams in three
//! zones and instances. Network latencies between zones and to callers are not simulated.

mod cluster_error;
mod instance;
mod publish;
mod running;
mod target;

pub(crate) use self::instance::{free_addrs, settings_text};
pub use self::{
    cluster_error::ClusterError,
    instance::Instance,
    running::{Cluster, ClusterSpec},
    target::Target,
};
