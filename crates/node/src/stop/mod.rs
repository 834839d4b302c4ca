//! Planned stop: the instance is listed as leaving, serves on until callers know, and ends when its
//! calls have ended.

mod planned;
mod progress;

pub use self::{
    planned::{Stopped, stop_planned},
    progress::Progress,
};
