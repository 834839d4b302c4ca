//! The state of one call that its attempts share.

use std::sync::{
    Arc, OnceLock,
    atomic::{AtomicU64, Ordering},
};

use async_std::channel::Sender;
use http_types::Request;
use model::Code;
use policy::Call;

use crate::{
    call::{
        body::{BodyState, Source},
        ledger::Ledger,
    },
    context::Context,
    dispatch::DispatchMsg,
};

/// Arguments of [`ActiveCall::new`].
#[derive(Debug)]
#[allow(missing_docs)] // Each field is described at the field of the same name in `ActiveCall`.
pub struct CallParts {
    pub policy_call: Call,
    pub idempotent: bool,
    pub head: Request,
    pub has_type: bool,
    pub source: Source,
    pub body: Arc<BodyState>,
    pub dispatcher: Sender<DispatchMsg>,
}

/// One call with its request. Shared by its attempts.
#[derive(Debug)]
pub struct ActiveCall {
    /// Context of the instance.
    pub ctx: Arc<Context>,
    /// Description of the call that is passed to the dispatcher.
    pub policy_call: Call,
    /// Call id that upstreams receive, unique across all instances and their restarts.
    pub wire_id: String,
    /// Whether running the call twice is harmless.
    pub idempotent: bool,
    /// Head of the request.
    pub head: Request,
    /// Whether the caller sent a `content-type` header. The HTTP library adds one if not.
    pub has_type: bool,
    /// Source of the request body.
    pub source: Source,
    /// State of the request body while it is read.
    pub body: Arc<BodyState>,
    /// Counts of attempts that were sent or refused.
    pub ledger: Ledger,
    /// Dispatcher of the service.
    pub dispatcher: Sender<DispatchMsg>,
    service_us: AtomicU64,
    cut_code: OnceLock<Code>,
}

impl ActiveCall {
    /// Creates a call without attempts.
    pub fn new(ctx: &Arc<Context>, parts: CallParts) -> Self {
        let CallParts {
            policy_call,
            idempotent,
            head,
            has_type,
            source,
            body,
            dispatcher,
        } = parts;
        let instance = &ctx.settings.instance;
        let wire_id = format!("{instance}/{}/{}", ctx.incarnation, policy_call.id.0);
        Self {
            ctx: Arc::clone(ctx),
            policy_call,
            wire_id,
            idempotent,
            head,
            has_type,
            source,
            body,
            ledger: Ledger::default(),
            dispatcher,
            service_us: AtomicU64::new(0),
            cut_code: OnceLock::new(),
        }
    }

    /// Returns whether the call may be sent again after a failed attempt. `not_run` states that the
    /// upstream certainly did not run that attempt.
    pub fn is_retryable(&self, not_run: bool) -> bool {
        (not_run || self.idempotent) && self.source.is_available()
    }

    /// Returns the duration of the attempt whose response was forwarded, in microseconds.
    pub fn service_us(&self) -> u64 {
        self.service_us.load(Ordering::Relaxed)
    }

    /// Records the duration of the attempt whose response was forwarded, in microseconds.
    pub fn set_service_us(&self, us: u64) {
        self.service_us.store(us, Ordering::Relaxed);
    }

    /// Records why the response's body ended early.
    pub fn set_cut_code(&self, code: Code) {
        let _ = self.cut_code.set(code);
    }

    /// Returns why the response did not reach its caller completely.
    pub fn cut_code(&self) -> Code {
        if let Some(code) = self.cut_code.get() {
            return *code;
        }
        if self.ctx.clock.now() >= self.policy_call.deadline {
            return Code::UpstreamTimeout;
        }
        Code::CallerGone
    }
}
