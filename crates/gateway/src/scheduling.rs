//! Scheduling of the tasks of one instance, all of which run on one thread. Control tasks, which keep the
//! instance up to date, run whenever they can; those that serve callers share what is left.

mod caller_tasks;
mod delay;

pub use caller_tasks::CallerTasks;
pub use delay::{control_delay_ms, is_noticed_late, watch_control_delay};
