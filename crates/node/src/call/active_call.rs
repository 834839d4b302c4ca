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
    pub call: Call,
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
    /// The call as its dispatcher sees it.
    pub call: Call,
    /// Call id that upstreams receive, unique across all instances and their restarts.
    pub wire_id: String,
    /// Whether running the call twice is harmless.
    pub idempotent: bool,
    /// Head of the request.
    pub head: Request,
    /// Whether the caller sent a `content-type` header. The HTTP library adds one if not.
    pub has_type: bool,
    /// Body of the request.
    pub source: Source,
    /// State of the request body while it is read.
    pub body: Arc<BodyState>,
    /// Counts of attempts that were sent or refused.
    pub ledger: Ledger,
    /// Dispatcher of the service.
    pub dispatcher: Sender<DispatchMsg>,
    service_us: AtomicU64,
    cut: OnceLock<Code>,
}

impl ActiveCall {
    /// Creates a call without attempts.
    pub fn new(ctx: &Arc<Context>, parts: CallParts) -> Self {
        let CallParts {
            call,
            idempotent,
            head,
            has_type,
            source,
            body,
            dispatcher,
        } = parts;
        let instance = &ctx.settings.instance;
        let wire_id = format!("{instance}/{}/{}", ctx.incarnation, call.id.0);
        Self {
            ctx: Arc::clone(ctx),
            call,
            wire_id,
            idempotent,
            head,
            has_type,
            source,
            body,
            ledger: Ledger::default(),
            dispatcher,
            service_us: AtomicU64::new(0),
            cut: OnceLock::new(),
        }
    }

    /// Returns whether another attempt may follow an attempt of which `not_run` says whether it is
    /// certain that the upstream did not run it.
    pub fn is_retryable(&self, not_run: bool) -> bool {
        (not_run || self.idempotent) && self.source.is_available()
    }

    /// Returns the duration of the attempt whose answer was forwarded, in microseconds.
    pub fn service_us(&self) -> u64 {
        self.service_us.load(Ordering::Relaxed)
    }

    /// Records the duration of the attempt whose answer was forwarded, in microseconds.
    pub fn set_service_us(&self, us: u64) {
        self.service_us.store(us, Ordering::Relaxed);
    }

    /// Records why the answer's body ended early.
    pub fn set_cut(&self, code: Code) {
        let _ = self.cut.set(code);
    }

    /// Returns why the answer did not reach its caller completely.
    pub fn cut_code(&self) -> Code {
        if let Some(code) = self.cut.get() {
            return *code;
        }
        if self.ctx.clock.now() >= self.call.deadline {
            return Code::UpstreamTimeout;
        }
        Code::CallerGone
    }
}
