//! What all parts of one instance share.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use arc_swap::ArcSwap;
use async_std::channel::Sender;
use model::{ServiceName, Settings};
use policy::CallId;

use crate::{
    clock::Clock, control::ControlEvent, dispatch::DispatchMsg, pool::Pools, snapshot::Snapshot,
};

/// Senders to the dispatcher tasks by service.
pub type Dispatchers = BTreeMap<ServiceName, Sender<DispatchMsg>>;

/// Shared parts of one instance. Passed first.
#[derive(Debug)]
pub struct Context {
    /// Settings of the instance.
    pub settings: Settings,
    /// Clock of the instance.
    pub clock: Clock,
    /// Number that distinguishes this process from earlier ones of the same name.
    pub incarnation: u64,
    /// Control state for traffic threads.
    pub snapshot: ArcSwap<Snapshot>,
    /// Dispatcher tasks.
    pub dispatchers: ArcSwap<Dispatchers>,
    /// Events for the control thread.
    pub control: Sender<ControlEvent>,
    /// Connections to targets.
    pub pools: Pools,
    next_call: AtomicU64,
}

impl Context {
    /// The context of a starting instance.
    pub fn new(settings: Settings, control: Sender<ControlEvent>) -> Arc<Self> {
        Arc::new(Self {
            settings,
            clock: Clock::start(),
            incarnation: Clock::wall().0,
            snapshot: ArcSwap::default(),
            dispatchers: ArcSwap::default(),
            control,
            pools: Pools::default(),
            next_call: AtomicU64::new(1),
        })
    }

    /// A number for a new call.
    pub fn next_call(&self) -> CallId {
        CallId(self.next_call.fetch_add(1, Ordering::Relaxed))
    }
}
