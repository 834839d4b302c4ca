//! Dispatcher of one service in one instance: queues calls and starts them on slots of the targets
//! that this instance owns, or that their owners lent to it.

mod admit;
mod baseline;
mod borrow;
mod choose;
mod claim;
mod finish;
mod hedge;
mod lend;
mod messages;
mod start;
mod tick;
mod view;

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
};

use model::{InstanceId, TargetId, Time};
use rand::{Rng, SeedableRng, rngs::StdRng};
use wire::LoanMsg;

use crate::{
    Action, CallId, Event, ServiceView, Stats, TargetSelection, attempt_budget::AttemptBudget,
    borrowed_slot::BorrowedSlot, caller_usage::CallerUsage, class_state::ClassState,
    lender_state::LenderState, message_budget::MessageBudget, peer_demand::PeerDemand,
    queue::Queue, running_call::RunningCall, target::Target, version_split::VersionSplit,
};

/// Share of calls that may be retried.
const RETRY_SHARE: f64 = 0.1;
/// Retries that may be saved.
const RETRY_BURST: f64 = 10.0;
/// Share of calls that may be hedged. The bound is 2% of extra work.
const HEDGE_SHARE: f64 = 0.02;
/// Hedges that may be saved.
const HEDGE_BURST: f64 = 5.0;

/// Decides where and when the calls of one service start.
#[derive(Debug)]
pub struct Dispatcher {
    view: Arc<ServiceView>,
    pick: TargetSelection,
    rng: StdRng,
    stats: Stats,
    targets: BTreeMap<TargetId, Target>,
    serve_all: bool,
    classes: Vec<ClassState>,
    class_of: Vec<usize>,
    queue: Queue,
    running: BTreeMap<CallId, RunningCall>,
    borrowed: BTreeMap<(InstanceId, u64), BorrowedSlot>,
    lenders: BTreeMap<InstanceId, LenderState>,
    wishes: BTreeMap<InstanceId, PeerDemand>,
    next_loan: u64,
    outbox: VecDeque<(InstanceId, LoanMsg)>,
    budget: MessageBudget,
    retry: AttemptBudget,
    hedge: AttemptBudget,
    hedges: BTreeSet<(Time, CallId)>,
    split: VersionSplit,
    callers: CallerUsage,
    last: Option<Time>,
    grants_from: Time,
}

impl Dispatcher {
    /// A dispatcher with nothing in progress. `seed` feeds its random choices.
    #[must_use]
    pub fn new(view: Arc<ServiceView>, seed: u64) -> Self {
        Self::with_selection(view, seed, TargetSelection::Owned)
    }

    /// A dispatcher that chooses targets in another way than by owned and lent slots. For measurements
    /// only; all but [`TargetSelection::Owned`] give none of the guarantees.
    #[must_use]
    pub fn with_selection(view: Arc<ServiceView>, seed: u64, pick: TargetSelection) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let phase = rng.random();
        // Loan numbers of a restarted process must not repeat those of its predecessor.
        let next_loan = u64::from(rng.random::<u32>()) << 24;
        Self {
            view,
            pick,
            rng,
            stats: Stats::default(),
            targets: BTreeMap::new(),
            serve_all: false,
            classes: Vec::new(),
            class_of: Vec::new(),
            queue: Queue::default(),
            running: BTreeMap::new(),
            borrowed: BTreeMap::new(),
            lenders: BTreeMap::new(),
            wishes: BTreeMap::new(),
            next_loan,
            outbox: VecDeque::new(),
            budget: MessageBudget::new(),
            retry: AttemptBudget::new(RETRY_SHARE, RETRY_BURST),
            hedge: AttemptBudget::new(HEDGE_SHARE, HEDGE_BURST),
            hedges: BTreeSet::new(),
            split: VersionSplit::new(phase),
            callers: CallerUsage::default(),
            last: None,
            grants_from: Time::default(),
        }
    }

    /// Takes one event at `now` and appends what is to be done to `out`.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        if self.pick != TargetSelection::Owned {
            self.handle_baseline(event, out);
            return;
        }
        self.wake(now);
        let mut arrived = None;
        match event {
            Event::Arrive(call) => arrived = self.arrive(now, call, out),
            Event::Finish {
                call,
                target,
                report,
            } => self.finish(now, call, &target, &report, out),
            Event::Cancel { call } => self.cancel(call),
            Event::Peer { from, msg } => self.peer(now, &from, msg, out),
            Event::PeerDown { peer } => self.peer_down(&peer),
            Event::View(view) => self.set_view(now, view),
            Event::Tick => self.tick(now),
        }
        self.expire(now, out);
        self.start_waiting(now, out);
        if let Some(call) = arrived {
            self.bound(now, call, out);
        }
        self.start_hedges(now, out);
        self.settle(now);
        self.flush(now, out);
    }

    /// Counters for metrics.
    #[must_use]
    pub fn stats(&self) -> Stats {
        let mut stats = self.stats.clone();
        stats.queue = self.queue.len();
        stats.queue_bytes = self.queue.bytes();
        let held = |(id, t): (&TargetId, &Target)| {
            (t.ownership == crate::ownership::Ownership::Active)
                .then(|| (id.clone(), t.limit.now()))
        };
        stats.limits = self.targets.iter().filter_map(held).collect();
        stats
    }

    /// Slots in use by target: own calls, loans and calls of previous owners, as far as this instance
    /// accounts for them.
    #[must_use]
    pub fn in_use(&self) -> BTreeMap<TargetId, u32> {
        let used = self.targets.iter().map(|(id, t)| (id.clone(), t.used()));
        used.filter(|(_, used)| *used > 0).collect()
    }

    /// Ends idle loans, lends idle slots, asks for slots and tells new owners about calls in progress.
    fn settle(&mut self, now: Time) {
        self.return_idle();
        self.lend(now);
        self.recall(now);
        self.ask(now);
    }
}

#[cfg(test)]
mod tests;
