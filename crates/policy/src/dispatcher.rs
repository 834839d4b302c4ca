//! Dispatcher of one service in one instance. It queues calls and starts them on slots of the
//! targets that this instance owns, or on slots that the owners of other targets lend to this
//! instance.

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

/// Retries that each arriving call adds to the retry budget.
const RETRY_SHARE: f64 = 0.1;
/// Largest number of unused retries that the budget keeps.
const MAX_SAVED_RETRIES: f64 = 10.0;
/// Hedges that each arriving call adds to the hedge budget. Hedges may add at most 2% of work.
const HEDGE_SHARE: f64 = 0.02;
/// Largest number of unused hedges that the budget keeps.
const MAX_SAVED_HEDGES: f64 = 5.0;

/// Decides on which target, and when, each call of one service starts.
#[derive(Debug)]
pub struct Dispatcher {
    /// Configuration and membership as of the newest instance list.
    view: Arc<ServiceView>,
    /// How targets are selected; [`TargetSelection::Owned`] in production.
    selection: TargetSelection,
    rng: StdRng,
    stats: Stats,
    /// All targets, including unlisted ones whose slots are still in use.
    targets: BTreeMap<TargetId, Target>,
    /// Whether ejected targets receive calls because too many are ejected.
    ignore_ejections: bool,
    /// Classes seen so far. Calls refer to them by index, so none is removed.
    classes: Vec<ClassState>,
    /// Index in `classes` for each class of the view.
    class_indices: Vec<usize>,
    /// Calls that wait for a slot.
    queue: Queue,
    /// Calls with at least one attempt in progress.
    running: BTreeMap<CallId, RunningCall>,
    /// Slots borrowed from other owners, by lender and loan number.
    borrowed: BTreeMap<(InstanceId, u64), BorrowedSlot>,
    /// State of the requests for slots to each owner.
    lenders: BTreeMap<InstanceId, LenderState>,
    /// Unexpired requests for slots by peers.
    demands: BTreeMap<InstanceId, PeerDemand>,
    /// Number of the next loan that this instance grants.
    next_loan: u64,
    /// Messages that wait for the message budget.
    outbox: VecDeque<(InstanceId, LoanMsg)>,
    message_budget: MessageBudget,
    retry_budget: AttemptBudget,
    hedge_budget: AttemptBudget,
    /// When running calls are due for a hedge.
    hedge_times: BTreeSet<(Time, CallId)>,
    /// Split of starts between the two versions of a move.
    split: VersionSplit,
    /// Recent use of the service by each caller.
    callers: CallerUsage,
    /// Time of the last event, by which pauses of the process are detected.
    last_event: Option<Time>,
    /// Grants that arrive before this time may predate a pause and are returned.
    grant_cutoff: Time,
}

impl Dispatcher {
    /// Creates a dispatcher without calls. `seed` initializes its random number generator.
    #[must_use]
    pub fn new(view: Arc<ServiceView>, seed: u64) -> Self {
        Self::with_selection(view, seed, TargetSelection::Owned)
    }

    /// Creates a dispatcher with the given way to select targets, for measurements. All but
    /// [`TargetSelection::Owned`] give none of the dispatcher's guarantees.
    #[must_use]
    pub fn with_selection(view: Arc<ServiceView>, seed: u64, selection: TargetSelection) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let phase = rng.random();
        // A restarted process must not reuse the loan numbers of its predecessor.
        let next_loan = u64::from(rng.random::<u32>()) << 24;
        Self {
            view,
            selection,
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
            message_budget: MessageBudget::new(),
            retry_budget: AttemptBudget::new(RETRY_SHARE, MAX_SAVED_RETRIES),
            hedge_budget: AttemptBudget::new(HEDGE_SHARE, MAX_SAVED_HEDGES),
            hedge_times: BTreeSet::new(),
            split: VersionSplit::new(phase),
            callers: CallerUsage::default(),
            last_event: None,
            grant_cutoff: Time::default(),
        }
    }

    /// Handles one event that occurred at `now` and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        if self.selection != TargetSelection::Owned {
            self.handle_baseline(event, out);
            return;
        }
        self.initialize_or_check_pause(now);
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

    /// Returns the counters and current sizes for metrics.
    #[must_use]
    pub fn stats(&self) -> Stats {
        let mut stats = self.stats.clone();
        stats.queue = self.queue.len();
        stats.queue_bytes = self.queue.bytes();
        let active_limit = |(id, t): (&TargetId, &Target)| {
            (t.ownership == crate::ownership::Ownership::Active)
                .then(|| (id.clone(), t.limit.current()))
        };
        stats.limits = self.targets.iter().filter_map(active_limit).collect();
        stats
    }

    /// Returns the number of slots in use for each target with any: attempts of this instance on
    /// slots of its own, slots that it lent, and calls that previous owners reported.
    #[must_use]
    pub fn in_use(&self) -> BTreeMap<TargetId, u32> {
        let used = self
            .targets
            .iter()
            .map(|(id, t)| (id.clone(), t.used_slots()));
        used.filter(|(_, used)| *used > 0).collect()
    }

    /// Returns borrowed slots that are idle, lends idle slots to peers, recalls lent slots and
    /// requests slots from other owners.
    fn update_loans(&mut self, now: Time) {
        self.return_idle_loans();
        self.lend_slots(now);
        self.recall_loans(now);
        self.request_slots(now);
    }
}

#[cfg(test)]
mod tests;
