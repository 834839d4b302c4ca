//! One running instance.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    thread,
    time::Duration,
};

use async_std::{
    channel::{bounded, unbounded},
    net::TcpListener,
    task,
};
use model::Settings;
use store::{ListClient, StoreError};
use thiserror::Error;
use tracing::info;
use wire::{EntryKind, EntryState, ListEntry};

use crate::{
    Token,
    admin::serve_admin,
    context::Context,
    control::{append_records, read_list, read_log, spawn_control},
    listener::serve_callers,
    peer::serve_peers,
    stop::{Stopped, stop_planned},
};

/// Interval at which idle connections are closed and gauges reported.
const MAINTENANCE_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of records in the queue of the appender.
const APPEND_QUEUE: usize = 1_024;

/// Why an instance could not start.
#[derive(Debug, Error)]
pub enum NodeError {
    /// An address could not be bound.
    #[error("cannot listen on {addr}: {error}")]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// Error of the operating system.
        error: io::Error,
    },
    /// The control thread could not be started.
    #[error("cannot start the control thread: {0}")]
    Thread(io::Error),
    /// This instance could not be registered in the instance list.
    #[error("cannot register in the instance list: {0}")]
    Register(#[from] StoreError),
}

/// A running instance.
#[derive(Debug)]
pub struct Node {
    ctx: Arc<Context>,
    cancel: Token,
    control: Option<thread::JoinHandle<()>>,
}

impl Node {
    /// Starts an instance that ends when `cancel` is cancelled.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound, the control thread cannot be started, or the
    /// instance cannot be registered.
    pub async fn start(settings: Settings, cancel: &Token) -> Result<Self, NodeError> {
        let cancel = cancel.child();
        let (sender, receiver) = unbounded();
        let ctx = Context::new(settings, sender);
        let addr = ctx.settings.listen;
        let listener = bind(addr).await?;
        let admin = bind(ctx.settings.admin).await?;
        let peers = bind(ctx.settings.peer).await?;
        let (appender, records) = bounded(APPEND_QUEUE);
        let control = spawn_control(Arc::clone(&ctx), cancel.child(), receiver, appender)
            .map_err(NodeError::Thread)?;
        let node = Self {
            ctx,
            cancel,
            control: Some(control),
        };
        register(&node.ctx, EntryState::Live).await?;
        let ctx = &node.ctx;
        task::spawn(run_maintenance(Arc::clone(ctx), node.cancel.child()));
        task::spawn(append_records(
            Arc::clone(ctx),
            node.cancel.child(),
            records,
        ));
        task::spawn(serve_peers(Arc::clone(ctx), node.cancel.child(), peers));
        task::spawn(read_log(Arc::clone(ctx), node.cancel.child()));
        task::spawn(read_list(Arc::clone(ctx), node.cancel.child()));
        task::spawn(serve_callers(
            Arc::clone(ctx),
            node.cancel.child(),
            listener,
        ));
        task::spawn(serve_admin(Arc::clone(ctx), node.cancel.child(), admin));
        info!(event = "started", instance = %ctx.settings.instance, %addr);
        Ok(node)
    }

    /// Runs a planned stop: registers the instance as leaving, serves calls until callers no longer
    /// use its address, and waits for the calls in progress. Afterwards the instance may be killed or
    /// the process ended.
    pub async fn stop(&self) -> Stopped {
        stop_planned(&self.ctx).await
    }

    /// Returns the number of invariants violated so far.
    #[must_use]
    pub fn violations(&self) -> u64 {
        self.ctx.metrics.violations()
    }

    /// Returns the bytes of frames sent to and received from other instances so far, without h2 and TCP headers.
    #[must_use]
    pub fn peer_bytes(&self) -> (u64, u64) {
        let stats = &self.ctx.peers.stats;
        let sent = stats.sent_bytes.load(Ordering::Relaxed);
        (sent, stats.received_bytes.load(Ordering::Relaxed))
    }

    /// Ends the instance at once.
    pub fn kill(mut self) {
        self.cancel.cancel();
        self.ctx.pools.clear();
        if let Some(control) = self.control.take() {
            let _ = control.join();
        }
    }
}

async fn bind(addr: SocketAddr) -> Result<TcpListener, NodeError> {
    TcpListener::bind(addr)
        .await
        .map_err(|error| NodeError::Listen { addr, error })
}

/// Closes idle connections to targets and reports gauges until cancelled.
async fn run_maintenance(ctx: Arc<Context>, cancel: Token) {
    while cancel
        .run(task::sleep(MAINTENANCE_INTERVAL))
        .await
        .is_some()
    {
        ctx.pools.sweep();
        ctx.metrics.peers(&ctx.peers.stats);
        ctx.metrics.connections(ctx.progress.connections());
    }
}

/// Registers this instance in the platform's instance list.
pub async fn register(ctx: &Context, state: EntryState) -> Result<(), StoreError> {
    ListClient::new(ctx.settings.list)
        .register(&own_entry(ctx, state))
        .await
}

/// Returns the entry of this instance in the instance list.
pub fn own_entry(ctx: &Context, state: EntryState) -> ListEntry {
    let settings = &ctx.settings;
    ListEntry {
        id: settings.instance.as_str().to_owned(),
        kind: EntryKind::Entry,
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        addr: settings.listen,
        peer: Some(settings.peer),
        service: None,
        version: None,
        slots: None,
        state,
        incarnation: ctx.incarnation,
    }
}
