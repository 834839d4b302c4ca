//! The path of one call: admission, sending to the target, passing the answer on.

mod attempt;
mod handle;
mod request;
mod response;

pub use self::{handle::handle_call, response::refusal};
