//! One call as its attempts see it.

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

/// What a [`Job`] is made of; its fields have the same meaning.
#[derive(Debug)]
#[allow(missing_docs)] // Each field is described at the field of the same name in `Job`.
pub struct Parts {
    pub call: Call,
    pub idempotent: bool,
    pub head: Request,
    pub has_type: bool,
    pub source: Source,
    pub body: Arc<BodyState>,
    pub dispatcher: Sender<DispatchMsg>,
}

/// One call. Shared by its attempts.
#[derive(Debug)]
pub struct Job {
    /// The instance.
    pub ctx: Arc<Context>,
    /// The call.
    pub call: Call,
    /// Call id towards upstreams, unique over all instances and their restarts.
    pub wire_id: String,
    /// Whether running the call twice is harmless.
    pub idempotent: bool,
    /// Head of the request.
    pub head: Request,
    /// Whether the caller sent a content type; the library adds one.
    pub has_type: bool,
    /// Body of the request.
    pub source: Source,
    /// State of the body as it arrives.
    pub body: Arc<BodyState>,
    /// Where the call went.
    pub ledger: Ledger,
    /// Dispatcher of the service.
    pub dispatcher: Sender<DispatchMsg>,
    service_us: AtomicU64,
    cut: OnceLock<Code>,
}

impl Job {
    /// A call that nothing was done for yet.
    pub fn new(ctx: &Arc<Context>, parts: Parts) -> Self {
        let Parts {
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

    /// Whether another attempt could follow one that ended in this way.
    pub fn is_retryable(&self, not_run: bool) -> bool {
        (not_run || self.idempotent) && self.source.is_available()
    }

    /// Time that the attempt took whose answer was passed on, in microseconds.
    pub fn service_us(&self) -> u64 {
        self.service_us.load(Ordering::Relaxed)
    }

    /// Records the time of the attempt whose answer was passed on.
    pub fn set_service_us(&self, us: u64) {
        self.service_us.store(us, Ordering::Relaxed);
    }

    /// Records why the answer's body ended early.
    pub fn set_cut(&self, code: Code) {
        let _ = self.cut.set(code);
    }

    /// Why the answer did not reach its caller as a whole.
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
