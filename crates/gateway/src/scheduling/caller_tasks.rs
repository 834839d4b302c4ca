//! Tasks that serve callers. A crowd of callers has hundreds of them ready at any moment; in one queue with
//! the control tasks, each step of a call to the store would wait for all of them.

use std::time::{Duration, Instant};

use async_executor::{LocalExecutor, Task};
use async_std::task;

/// Time for which tasks of callers run before control tasks and I/O events get their turn. A call to the store
/// takes about five turns.
const SLICE: Duration = Duration::from_millis(5);

/// Tasks that serve callers, run by [`Self::run`] in the future that the thread blocks on.
#[derive(Debug, Default)]
pub struct CallerTasks {
    executor: LocalExecutor<'static>,
}

impl CallerTasks {
    /// Starts a task. Dropping the returned handle cancels it.
    pub fn spawn<T: 'static>(&self, task: impl Future<Output = T> + 'static) -> Task<T> {
        self.executor.spawn(task)
    }

    /// Runs the tasks for ever. It has to be part of the future that the thread blocks on: that future is polled
    /// once between two rounds of the control tasks, and I/O events are taken before each round.
    pub async fn run(&self) {
        loop {
            self.executor.tick().await;
            if self.run_slice() {
                task::yield_now().await;
            }
        }
    }

    /// Runs ready tasks for [`SLICE`]. Returns whether more may be ready.
    fn run_slice(&self) -> bool {
        let start = Instant::now();
        while start.elapsed() < SLICE {
            if !self.executor.try_tick() {
                return false;
            }
        }
        true
    }
}

#[cfg(test)]
mod tests;
