//! Stand-in for the platform's log service.

mod faults;
mod records;
mod server;

pub use self::{faults::LogFaults, server::LogServer};
