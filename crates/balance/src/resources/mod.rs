//! Limits on the memory and the connections of an instance: what traffic may take, and who is refused
//! or closed first when it runs low. Addresses clients that send many large bodies at once, stop
//! before the end, do not read their responses, or open connections without using them.

mod connection_table;
mod listener;
mod memory_account;
mod resource_limits;

pub use self::{
    connection_table::ConnectionTable,
    listener::Listener,
    memory_account::{Charge, MemoryAccount},
    resource_limits::ResourceLimits,
};
