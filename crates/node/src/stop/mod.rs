//! Planned stop: the instance registers as leaving, serves calls until callers no longer use its
//! address, and stops when its calls have ended.

mod planned;
mod progress;

pub use self::{
    planned::{Stopped, stop_planned},
    progress::Progress,
};
