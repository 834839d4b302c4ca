//! Gives a process a share of a core, like a small machine.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use rustix::process::{Pid, Signal, kill_process};

/// Time in which a process runs once.
const PERIOD: Duration = Duration::from_millis(100);

/// Stops a process for a part of each tenth of a second until dropped.
#[derive(Debug)]
pub struct Throttle {
    is_over: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Throttle {
    /// Lets the process `id` run for `share` of the time.
    #[must_use]
    pub fn start(id: u32, share: f64) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let pid = i32::try_from(id).ok().and_then(Pid::from_raw);
        let running = PERIOD.mul_f64(share);
        let stopped = PERIOD.saturating_sub(running);
        let ended = Arc::clone(&is_over);
        let thread = pid.map(|pid| {
            thread::spawn(move || {
                while !ended.load(Ordering::Relaxed) {
                    // Fails once the process has ended, which nothing has to be done about.
                    let _ = kill_process(pid, Signal::STOP);
                    thread::sleep(stopped);
                    let _ = kill_process(pid, Signal::CONT);
                    thread::sleep(running);
                }
            })
        });
        Self { is_over, thread }
    }
}

impl Drop for Throttle {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // The thread only signals and sleeps.
            let _ = thread.join();
        }
    }
}
