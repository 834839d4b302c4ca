//! What all tasks of one instance share. All of them run on one thread.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use async_std::channel::{Receiver, Sender, bounded};
use balance::{
    DutyCandidate, GatewayConfig, Members, PeerUsage, ProcessingTimes, ResponseSizes, RetryBudget,
    Rollout, Targets,
};
use model::{InstanceId, ServiceName, Time, Version, Zone};
use platform::Relay;

use crate::{clock::Clock, metrics::Metrics, phase::Phase, pool::Pool, settings::Settings};

/// Shared state of one instance.
#[derive(Debug)]
pub struct State {
    /// Settings.
    pub settings: Settings,
    /// Clock.
    pub clock: Clock,
    /// When the process started.
    pub started: Time,
    /// Number of this process.
    pub incarnation: u64,
    /// Configuration in force, once known.
    pub config: RefCell<Option<Rc<GatewayConfig>>>,
    /// Targets.
    pub targets: RefCell<Targets>,
    /// Other instances.
    pub members: RefCell<Members>,
    /// Rollouts by service.
    pub rollouts: RefCell<HashMap<ServiceName, Rollout>>,
    /// Zones whose targets get nothing.
    pub zones_out: RefCell<BTreeSet<Zone>>,
    /// When each version of a service was first seen.
    pub versions_seen: RefCell<HashMap<(ServiceName, Version), Time>>,
    /// Work times.
    pub processing_times: RefCell<ProcessingTimes>,
    /// Sizes of responses.
    pub response_sizes: RefCell<ResponseSizes>,
    /// Budgets of second sends by service.
    pub budgets: RefCell<HashMap<ServiceName, RetryBudget>>,
    /// What the other instances used of those budgets.
    pub peer_usage: RefCell<PeerUsage>,
    /// Connections to targets.
    pub pool: Pool,
    /// Metrics.
    pub metrics: Metrics,
    /// Phase.
    pub phase: Cell<Phase>,
    /// Connections of callers.
    pub caller_connections: Cell<usize>,
    /// Requests in progress.
    pub active_requests: Cell<usize>,
    /// When the operator's records were last known to be current.
    pub operator_read: Cell<Time>,
    /// Where reading the operator's records goes on.
    pub operator_next: Cell<u64>,
    /// When the targets were last known to be current.
    pub targets_read: Cell<Option<Time>>,
    /// Where reading the entries of targets goes on; `None` if it starts anew.
    pub entries_next: Cell<Option<u64>>,
    /// Latest records of the operator, for instances that fetch them here.
    pub relay: RefCell<Relay>,
    /// Since when a part of the entries is missing.
    pub entries_gap: Cell<Option<Time>>,
    /// Since when the entries were never out of date for long.
    pub fresh_since: Cell<Time>,
    /// Until when another instance is known to have had sound entries throughout.
    pub confirmed_until: Cell<Time>,
    /// Whether the latest call of this instance to the store succeeded, or none was made.
    pub has_store: Cell<bool>,
    /// Whether the last read of the entries failed.
    pub entries_failed: Cell<bool>,
    /// Outcomes by target since the last beat.
    pub outcomes: RefCell<HashMap<model::TargetId, (u32, u32)>>,
    /// Closed when idle connections of callers are to end.
    pub idle_closed: Receiver<()>,
    idle_guard: RefCell<Option<Sender<()>>>,
    probe_tokens: Cell<(Time, f64)>,
}

impl State {
    /// The state of a starting instance.
    pub fn new(settings: Settings) -> Rc<Self> {
        let (idle_guard, idle_closed) = bounded(1);
        let clock = Clock::start();
        Rc::new(Self {
            metrics: Metrics::new(&settings),
            clock,
            started: clock.now(),
            incarnation: Clock::incarnation(),
            config: RefCell::default(),
            targets: RefCell::default(),
            members: RefCell::default(),
            rollouts: RefCell::default(),
            zones_out: RefCell::default(),
            versions_seen: RefCell::default(),
            processing_times: RefCell::default(),
            response_sizes: RefCell::default(),
            budgets: RefCell::default(),
            peer_usage: RefCell::default(),
            pool: Pool::default(),
            phase: Cell::new(Phase::Starting),
            caller_connections: Cell::new(0),
            active_requests: Cell::new(0),
            operator_read: Cell::new(Time(0)),
            operator_next: Cell::new(0),
            targets_read: Cell::new(None),
            fresh_since: Cell::new(clock.now()),
            confirmed_until: Cell::new(Time(0)),
            entries_next: Cell::new(None),
            relay: RefCell::default(),
            entries_gap: Cell::new(None),
            has_store: Cell::new(true),
            entries_failed: Cell::new(false),
            outcomes: RefCell::default(),
            idle_closed,
            idle_guard: RefCell::new(Some(idle_guard)),
            probe_tokens: Cell::new((clock.now(), 0.0)),
            settings,
        })
    }

    /// Monotonic time.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Name of this instance.
    pub fn instance_id(&self) -> &InstanceId {
        &self.settings.instance
    }

    /// The configuration in force.
    pub fn config(&self) -> Option<Rc<GatewayConfig>> {
        self.config.borrow().clone()
    }

    /// Live instances, this one included.
    pub fn instances(&self) -> Vec<InstanceId> {
        let mut names = self.members.borrow().active_names(self.now());
        names.push(self.instance_id().clone());
        names
    }

    /// Number of live instances that come before this one for `duty`.
    pub fn duty_rank(&self, duty: &str) -> usize {
        let members = self.members.borrow();
        let own = DutyCandidate {
            name: self.instance_id(),
            zone: &self.settings.zone,
            has_store: self.has_store.get(),
        };
        members.duty_rank(duty, &own, self.now())
    }

    /// Whether this instance is the first choice among the live ones for `duty`.
    pub fn has_duty(&self, duty: &str) -> bool {
        self.duty_rank(duty) == 0
    }

    /// Takes leave for one probe from the budget of this instance.
    pub fn take_probe_token(&self) -> bool {
        /// Part of the allowed probes that is used; the rest covers views that differ.
        const USED: f64 = 0.8;
        /// Time whose probes may be made at once, in seconds; the limit holds over a whole day.
        const SAVED_S: f64 = 3.0;
        let now = self.now();
        let (noted, tokens) = self.probe_tokens.get();
        let live = self.members.borrow().live(now).count() + 1;
        let targets = self.targets.borrow().len();
        let rate = self.settings.probes_per_s * USED * targets as f64 / live as f64;
        let tokens = (tokens + rate * now.since_us(noted) as f64 / 1e6).min(rate * SAVED_S);
        let may = tokens >= 1.0;
        self.probe_tokens
            .set((now, if may { tokens - 1.0 } else { tokens }));
        may
    }

    /// Whether another instance says that the store was sound, so that what is missing there is gone and
    /// only this instance was cut off.
    pub fn store_stayed_up(&self) -> bool {
        self.now() < self.confirmed_until.get()
    }

    /// Whether no further requests are taken.
    pub fn is_closing(&self) -> bool {
        self.idle_closed.is_closed()
    }

    /// Ends idle connections of callers and takes no further requests.
    pub fn close_idle(&self) {
        self.idle_guard.borrow_mut().take();
    }

    /// Addresses for callers of `zone`: the ready instances there, or all if there is none.
    pub fn addresses(&self, zone: &str) -> Vec<SocketAddr> {
        let members = self.members.borrow();
        let mut ready: Vec<(&Zone, SocketAddr)> = members
            .ready(self.now())
            .iter()
            .map(|m| (&m.zone, m.caller_addr))
            .collect();
        if self.phase.get() == Phase::Ready {
            ready.push((&self.settings.zone, self.settings.callers));
        }
        let near: Vec<SocketAddr> = ready
            .iter()
            .filter(|(z, _)| z.as_str() == zone)
            .map(|(_, a)| *a)
            .collect();
        if near.is_empty() {
            ready.into_iter().map(|(_, a)| a).collect()
        } else {
            near
        }
    }

    /// Uses the budget of second sends to `service`.
    pub fn with_budget<T>(
        &self,
        service: &ServiceName,
        action: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let settings = &self.settings;
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(service.clone()).or_insert_with(|| {
            let window_us = Duration::from_secs_f64(settings.retry_window_s).as_micros();
            let window_us = u64::try_from(window_us).unwrap_or(u64::MAX);
            RetryBudget::new(window_us, settings.retry_ratio, settings.retry_slack)
        });
        action(budget)
    }

    /// Whether another send to `service` fits `part` of the budget: of the own share, or of what the
    /// others leave.
    pub fn allows_extra_attempt(&self, service: &ServiceName, part: f64) -> bool {
        let now = self.now();
        let (others, reports) = self.peer_usage.borrow().of_service(service, now);
        let members = self.members.borrow();
        let live = members.active_names(now).len() + 1;
        let heard = (reports + 1) as f64 / (members.all().count() + 1) as f64;
        self.with_budget(service, |budget| {
            budget.allows_fraction(now, live, part)
                || budget.allows_beyond_share(now, others, heard)
        })
    }

    /// Notes an outcome at a target, for this instance and the next beat.
    pub fn record_result(&self, id: &model::TargetId, is_good: bool) {
        let now = self.now();
        if let Some(target) = self.targets.borrow_mut().get_mut(id) {
            target
                .health
                .record(now, u32::from(is_good), u32::from(!is_good));
        }
        let mut outcomes = self.outcomes.borrow_mut();
        let (good, bad) = outcomes.entry(id.clone()).or_default();
        *good += u32::from(is_good);
        *bad += u32::from(!is_good);
    }

    /// Notes that a target refuses connections.
    pub fn record_refused_connection(&self, id: &model::TargetId) {
        let now = self.now();
        if let Some(target) = self.targets.borrow_mut().get_mut(id) {
            target.health.record_refused(now);
        }
    }
}
