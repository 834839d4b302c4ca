//! A caller that implements the documented rules for callers: address queries, connections and
//! retries.

mod addresses;
mod calls;
mod pool;

pub use self::{
    addresses::{AddressResponse, query_addresses},
    calls::{CallResult, Caller, CallerSpec},
};
