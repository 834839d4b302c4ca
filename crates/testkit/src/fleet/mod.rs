//! Stand-ins of the users' platform: its store, targets that register there, a client, and gateway
//! instances as processes. Written from the platform's pages, not from the code under test.

mod client;
mod gateway;
mod http;
mod proxy;
mod rig;
mod soak;
mod store;
mod target;

pub use self::{
    client::{FleetAnswer, FleetRequest, ask_directory, fetch, send},
    gateway::GatewayProcess,
    proxy::{FleetProxy, ProxyMode},
    rig::{FleetRig, RigSpec},
    soak::{SoakReport, soak},
    store::{FleetStore, StoreFault},
    target::{FleetTarget, TargetFault, TargetSpec},
};
