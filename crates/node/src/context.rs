//! State shared by all components of one instance.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use arc_swap::ArcSwap;
use async_std::channel::Sender;
use model::{Code, ServiceName, Settings};
use policy::CallId;

use tracing::error;

use crate::{
    call::Keys, clock::Clock, control::ControlEvent, dispatch::DispatchMsg, metrics::Metrics,
    peer::Peers, pool::Pools, snapshot::Snapshot, stop::Progress, ticks::Ticks,
};

/// Senders to the dispatcher tasks by service.
pub type Dispatchers = BTreeMap<ServiceName, Sender<DispatchMsg>>;

/// Shared components of one instance.
#[derive(Debug)]
pub struct Context {
    /// Settings of the instance.
    pub settings: Settings,
    /// Clock of the instance.
    pub clock: Clock,
    /// Number that distinguishes this process from earlier ones of the same name.
    pub incarnation: u64,
    /// Last published snapshot of the control state.
    pub snapshot: ArcSwap<Snapshot>,
    /// Senders to the dispatcher tasks.
    pub dispatchers: ArcSwap<Dispatchers>,
    /// Events for the control thread.
    pub control: Sender<ControlEvent>,
    /// Streams to other instances.
    pub peers: Arc<Peers>,
    /// Connections to targets.
    pub pools: Pools,
    /// Idempotency keys that were claimed at this instance.
    pub keys: Keys,
    /// Shared ticks for time limits.
    pub ticks: Ticks,
    /// Metrics of the instance.
    pub metrics: Metrics,
    /// Work in progress, and whether the instance is leaving.
    pub progress: Progress,
    next_call: AtomicU64,
}

impl Context {
    /// Creates the context of a starting instance.
    pub fn new(settings: Settings, control: Sender<ControlEvent>) -> Arc<Self> {
        let clock = Clock::start();
        Arc::new(Self {
            metrics: Metrics::new(&settings),
            settings,
            clock,
            incarnation: Clock::wall().0,
            snapshot: ArcSwap::default(),
            dispatchers: ArcSwap::default(),
            control,
            peers: Arc::default(),
            pools: Pools::default(),
            keys: Keys::start(clock),
            ticks: Ticks::start(),
            progress: Progress::default(),
            next_call: AtomicU64::new(1),
        })
    }

    /// Returns a new call id.
    pub fn next_call(&self) -> CallId {
        CallId(self.next_call.fetch_add(1, Ordering::Relaxed))
    }

    /// Reports a violated invariant. Panics in debug builds.
    pub fn violation(&self, code: Code, detail: &str) {
        self.metrics.violation(code);
        error!(event = "invariant_violated", instance = %self.settings.instance,
            code = code.number(),
            detail);
        debug_assert!(false, "{code}: {detail}");
    }
}
