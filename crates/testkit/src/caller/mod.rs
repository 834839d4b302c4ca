//! A caller that behaves as the documentation asks.

mod addresses;
mod calls;
mod pool;

pub use self::{
    addresses::{AddressAnswer, ask_addresses},
    calls::{CallDone, Caller, CallerSpec},
};
