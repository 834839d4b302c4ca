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
const MAX_RETRY_CREDIT: f64 = 10.0;
/// Share of calls that may be hedged. The bound is 2% of extra work.
const HEDGE_SHARE: f64 = 0.02;
/// Hedges that may be saved.
const MAX_HEDGE_CREDIT: f64 = 5.0;

/// Decides where and when the calls of one service start.
#[derive(Debug)]
pub struct Dispatcher {
    view: Arc<ServiceView>,
    pick: TargetSelection,
    rng: StdRng,
    stats: Stats,
    targets: BTreeMap<TargetId, Target>,
    ignore_ejections: bool,
    classes: Vec<ClassState>,
    class_indices: Vec<usize>,
    queue: Queue,
    running: BTreeMap<CallId, RunningCall>,
    borrowed: BTreeMap<(InstanceId, u64), BorrowedSlot>,
    lenders: BTreeMap<InstanceId, LenderState>,
    demands: BTreeMap<InstanceId, PeerDemand>,
    next_loan: u64,
    outbox: VecDeque<(InstanceId, LoanMsg)>,
    budget: MessageBudget,
    retry_budget: AttemptBudget,
    hedge_budget: AttemptBudget,
    hedge_times: BTreeSet<(Time, CallId)>,
    split: VersionSplit,
    callers: CallerUsage,
    last_event: Option<Time>,
    grant_cutoff: Time,
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
            ignore_ejections: false,
            classes: Vec::new(),
            class_indices: Vec::new(),
            queue: Queue::default(),
            running: BTreeMap::new(),
            borrowed: BTreeMap::new(),
            lenders: BTreeMap::new(),
            demands: BTreeMap::new(),
            next_loan,
            outbox: VecDeque::new(),
            budget: MessageBudget::new(),
            retry_budget: AttemptBudget::new(RETRY_SHARE, MAX_RETRY_CREDIT),
            hedge_budget: AttemptBudget::new(HEDGE_SHARE, MAX_HEDGE_CREDIT),
            hedge_times: BTreeSet::new(),
            split: VersionSplit::new(phase),
            callers: CallerUsage::default(),
            last_event: None,
            grant_cutoff: Time::default(),
        }
    }

    /// Takes one event at `now` and appends what is to be done to `out`.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        if self.pick != TargetSelection::Owned {
            self.handle_baseline(event, out);
            return;
        }
        self.detect_pause(now);
        let mut arrived = None;
        match event {
            Event::Arrive(call) => arrived = self.admit(now, call, out),
            Event::Finish {
                call,
                target,
                report,
            } => self.finish(now, call, &target, &report, out),
            Event::Cancel { call } => self.cancel(call),
            Event::Peer { from, msg } => self.handle_message(now, &from, msg, out),
            Event::PeerDown { peer } => self.peer_down(&peer),
            Event::View(view) => self.set_view(now, view),
            Event::Tick => self.tick(now),
        }
        self.refuse_expired(now, out);
        self.start_waiting(now, out);
        if let Some(call) = arrived {
            self.enforce_queue_limits(now, call, out);
        }
        self.start_hedges(now, out);
        self.update_loans(now);
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
                .then(|| (id.clone(), t.limit.current()))
        };
        stats.limits = self.targets.iter().filter_map(held).collect();
        stats
    }

    /// Slots in use by target: own calls, loans and calls of previous owners, as far as this instance
    /// accounts for them.
    #[must_use]
    pub fn in_use(&self) -> BTreeMap<TargetId, u32> {
        let used = self
            .targets
            .iter()
            .map(|(id, t)| (id.clone(), t.used_slots()));
        used.filter(|(_, used)| *used > 0).collect()
    }

    /// Ends idle loans, lends idle slots, asks for slots and tells new owners about calls in progress.
    fn update_loans(&mut self, now: Time) {
        self.return_idle_loans();
        self.lend_slots(now);
        self.recall_loans(now);
        self.request_slots(now);
    }
}

#[cfg(test)]
mod tests;
