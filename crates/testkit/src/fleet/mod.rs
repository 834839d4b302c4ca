//! Stand-ins for the systems around the gateway: the platform's store, targets that register in it
//! and a client, together with gateway instances as processes. They implement the platform's
//! documented protocols independently of the code under test.

mod client;
mod cloud;
mod crowd;
mod gateway;
mod http;
mod odd_caller;
mod partition;
mod proxy;
mod rig;
mod soak;
mod soak_call;
mod soak_crowds;
mod soak_keys;
mod soak_series;
mod store;
mod target;
mod throttle;

pub use self::{
    client::{FleetRequest, FleetResult, fetch, query_directory, send},
    cloud::{FleetCloud, UsageCall},
    crowd::Crowd,
    gateway::GatewayProcess,
    partition::Partition,
    proxy::{FleetProxy, OutageKind, ProxyMode},
    rig::{FleetRig, RigSpec},
    soak::{SMALL_SOAK, SoakBuilds, SoakReport, soak},
    store::{FleetStore, StoreCopy, StoreFault},
    target::{FleetTarget, TargetFault, TargetSpec},
    throttle::Throttle,
};
