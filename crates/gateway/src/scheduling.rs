//! Scheduling of the tasks of one instance, all of which run on one thread.

mod delay;

pub use delay::{control_delay_ms, watch_control_delay};
