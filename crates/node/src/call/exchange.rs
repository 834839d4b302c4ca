//! The dispatcher's view of one attempt: whatever happens to the task that runs it, its end is
//! reported exactly once.

use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicU64, Ordering},
};

use model::Code;
use policy::{AttemptEnd, AttemptReport, TargetView};

use crate::{
    call::{job::Job, route::route},
    dispatch::DispatchMsg,
    pool::Conn,
    tap::ReadState,
};

/// What the sending half of an attempt did. Shared with the writer inside the HTTP library.
#[derive(Debug)]
pub struct Trace {
    job: Arc<Job>,
    first_us: AtomicU64,
    whole: AtomicBool,
}

impl Trace {
    /// Notes that bytes left for the upstream.
    pub fn note_sent(&self) {
        if self.first_us.load(Ordering::Acquire) != 0 {
            return;
        }
        let now = self.job.ctx.clock.now().0.max(1);
        self.first_us.store(now, Ordering::Release);
        if !self.job.idempotent && self.job.ledger.may_have_run() {
            self.job.ctx.violation(Code::SentTwice, &self.job.wire_id);
        }
        self.job.ledger.note_sent();
    }

    /// Notes that the whole request left.
    pub fn note_whole(&self) {
        self.whole.store(true, Ordering::Release);
    }

    /// Whether a byte left.
    pub fn is_sent(&self) -> bool {
        self.first_us.load(Ordering::Acquire) != 0
    }

    /// Whether the whole request left.
    pub fn is_whole(&self) -> bool {
        self.whole.load(Ordering::Acquire)
    }
}

/// One attempt. Dropping it closes its connection and reports its end.
#[derive(Debug)]
#[allow(clippy::struct_excessive_bools)] // Independent facts on one attempt.
pub struct Exchange {
    /// The call.
    pub job: Arc<Job>,
    /// Where it runs.
    pub target: Arc<TargetView>,
    /// Its connection, once there is one.
    pub conn: Option<Conn>,
    /// What arrived on the connection.
    pub seen: Option<Arc<ReadState>>,
    /// What left on the connection.
    pub trace: Arc<Trace>,
    /// The upstream said that it is draining.
    pub draining: bool,
    /// The upstream said that it is cold.
    pub cold: bool,
    /// Whether the attempt waits for the upstream, not for the caller.
    pub waiting: bool,
    ended: bool,
}

impl Exchange {
    /// An attempt that the dispatcher started.
    pub fn new(job: Arc<Job>, target: Arc<TargetView>) -> Self {
        let trace = Trace {
            job: Arc::clone(&job),
            first_us: AtomicU64::new(0),
            whole: AtomicBool::new(false),
        };
        Self {
            job,
            target,
            conn: None,
            seen: None,
            trace: Arc::new(trace),
            draining: false,
            cold: false,
            waiting: true,
            ended: false,
        }
    }

    /// Reports the end of the attempt.
    pub fn end(&mut self, end: AttemptEnd, retryable: bool) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let msg = DispatchMsg::Ended {
            call: self.job.call.id,
            target: self.target.id.clone(),
            route: route(&self.job.head),
            report: AttemptReport {
                end,
                service_us: self.service_us(),
                retryable,
                draining: self.draining,
                cold: self.cold,
            },
        };
        let _ = self.job.dispatcher.try_send(msg);
    }

    /// Time since the first byte was sent, in microseconds.
    pub fn service_us(&self) -> u64 {
        let first = self.trace.first_us.load(Ordering::Acquire);
        if first == 0 {
            return 0;
        }
        self.job.ctx.clock.now().0.saturating_sub(first)
    }

    /// Keeps the connection for other calls.
    pub fn keep_conn(&mut self) {
        if let Some(conn) = self.conn.take() {
            conn.keep();
        }
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let late = self.job.ctx.clock.now() >= self.job.call.deadline;
        let silent = self.seen.as_ref().is_none_or(|s| s.read() == 0);
        if let Some(conn) = &self.conn
            && late
            && silent
            && self.trace.is_sent()
        {
            conn.close_siblings();
        }
        let end = if late && self.waiting {
            AttemptEnd::Timeout
        } else {
            AttemptEnd::Cancelled
        };
        self.end(end, false);
    }
}
