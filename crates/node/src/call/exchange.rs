//! The state of one attempt. Its end is reported to the dispatcher exactly once, also if the task
//! that runs the attempt is cancelled.

use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicU64, Ordering},
};

use model::Code;
use policy::{AttemptEnd, AttemptReport, TargetView};

use crate::{
    call::{active_call::ActiveCall, route::route},
    dispatch::DispatchMsg,
    pool::Conn,
    tap::ReadState,
};

/// Records how much of the request was sent. Shared with the writer inside the HTTP library.
#[derive(Debug)]
pub struct SendState {
    active_call: Arc<ActiveCall>,
    first_sent_us: AtomicU64,
    complete: AtomicBool,
}

impl SendState {
    /// Records that bytes were sent to the upstream. Only the first call has an effect.
    pub fn record_sent(&self) {
        if self.first_sent_us.load(Ordering::Acquire) != 0 {
            return;
        }
        let now = self.active_call.ctx.clock.now().0.max(1);
        self.first_sent_us.store(now, Ordering::Release);
        if !self.active_call.idempotent && self.active_call.ledger.may_have_run() {
            self.active_call
                .ctx
                .violation(Code::SentTwice, &self.active_call.wire_id);
        }
        self.active_call.ledger.record_sent();
    }

    /// Records that the whole request was sent.
    pub fn record_complete(&self) {
        self.complete.store(true, Ordering::Release);
    }

    /// Returns whether at least one byte was sent.
    pub fn is_sent(&self) -> bool {
        self.first_sent_us.load(Ordering::Acquire) != 0
    }

    /// Returns whether the whole request was sent.
    pub fn is_complete(&self) -> bool {
        self.complete.load(Ordering::Acquire)
    }
}

/// One attempt: the exchange of a request and its response with one target. Dropping it closes its
/// connection and reports its end, unless the end was reported before.
#[derive(Debug)]
#[allow(clippy::struct_excessive_bools)] // The flags are independent of each other.
pub struct Exchange {
    /// The call that the attempt belongs to.
    pub active_call: Arc<ActiveCall>,
    /// Target that the attempt is sent to.
    pub target: Arc<TargetView>,
    /// Connection to the target, once it is open.
    pub conn: Option<Conn>,
    /// Record of the bytes received on the connection, once the connection is open.
    pub read_state: Option<Arc<ReadState>>,
    /// Record of the bytes sent on the connection.
    pub send_state: Arc<SendState>,
    /// Whether the upstream reported that it is draining.
    pub draining: bool,
    /// Whether the upstream reported that it is cold.
    pub cold: bool,
    /// Whether the attempt waits for the upstream. `false` while it waits for the caller to read the
    /// response.
    pub waiting: bool,
    ended: bool,
}

impl Exchange {
    /// Creates the state of an attempt that the dispatcher started.
    pub fn new(active_call: Arc<ActiveCall>, target: Arc<TargetView>) -> Self {
        let send_state = SendState {
            active_call: Arc::clone(&active_call),
            first_sent_us: AtomicU64::new(0),
            complete: AtomicBool::new(false),
        };
        Self {
            active_call,
            target,
            conn: None,
            read_state: None,
            send_state: Arc::new(send_state),
            draining: false,
            cold: false,
            waiting: true,
            ended: false,
        }
    }

    /// Reports the end of the attempt to the dispatcher, unless it was reported before.
    pub fn end(&mut self, end: AttemptEnd, retryable: bool) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let msg = DispatchMsg::Ended {
            call: self.active_call.policy_call.id,
            target: self.target.id.clone(),
            route: route(&self.active_call.head),
            report: AttemptReport {
                end,
                service_us: self.service_us(),
                retryable,
                draining: self.draining,
                cold: self.cold,
            },
        };
        let _ = self.active_call.dispatcher.try_send(msg);
    }

    /// Returns the time since the first byte was sent, in microseconds, or 0 if none was sent.
    pub fn service_us(&self) -> u64 {
        let first_sent_us = self.send_state.first_sent_us.load(Ordering::Acquire);
        if first_sent_us == 0 {
            return 0;
        }
        self.active_call
            .ctx
            .clock
            .now()
            .0
            .saturating_sub(first_sent_us)
    }

    /// Returns the connection to the pool.
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
        let late = self.active_call.ctx.clock.now() >= self.active_call.policy_call.deadline;
        let silent = self.read_state.as_ref().is_none_or(|s| s.read() == 0);
        // The target sent nothing before the deadline, so its idle connections are not reused either.
        if let Some(conn) = &self.conn
            && late
            && silent
            && self.send_state.is_sent()
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
