//! State that all tasks of one instance share. All of them run on one thread.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use async_std::channel::{Receiver, Sender, bounded};
use balance::{
    AheadPeers, Collector, CrashSuspects, EntryLog, FleetUsage, GatewayConfig, Member, Members,
    OutcomeLog, PeerChoice, PeerUsage, PlacementCandidate, Position, Presence, ProcessingTimes,
    Reach, RecentPeak, ResponseSizes, RetryBudget, Rollout, SendPace, Senders, StopPlan, Targets,
    ZoneRoom, place_callers, resources::ResourceLimits,
};
use model::{InstanceId, ServiceName, Time, Version, Zone};
use platform::Relay;

use crate::{
    buffer_share::ResponseBuffers, clock::Clock, crash_check::CrashChecks,
    entries_update::EntriesUpdate, hedging::Hedger, known_records::KnownRecords,
    limit_report::LimitReport, metrics::Metrics, notices::LeavingReport, phase::Phase, pool::Pool,
    resources::Resources, returns::Returns, scheduling::CallerTasks, settings::Settings,
    start_progress::StartProgress, stop_counts::StopCounts, usage::UsageState,
};

/// Shared state of one instance.
#[derive(Debug)]
pub struct State {
    /// Settings of the instance.
    pub settings: Settings,
    /// Clock of the instance.
    pub clock: Clock,
    /// Time at which the process started.
    pub started: Time,
    /// Progress of the start.
    pub start_progress: StartProgress,
    /// Incarnation of this process, larger than those of earlier processes with the same name.
    pub incarnation: u64,
    /// Configuration in force; `None` until one was read.
    pub config: RefCell<Option<Rc<GatewayConfig>>>,
    /// Known targets of all services.
    pub targets: RefCell<Targets>,
    /// Other instances that this one knows.
    pub members: RefCell<Members>,
    /// Latest rollout of each service.
    pub rollouts: RefCell<HashMap<ServiceName, Rollout>>,
    /// Zones taken out of service, whose targets get no requests.
    pub zones_out: RefCell<BTreeSet<Zone>>,
    /// Time at which each version of a service was first seen.
    pub versions_seen: RefCell<HashMap<(ServiceName, Version), Time>>,
    /// Usual processing times by route.
    pub processing_times: RefCell<ProcessingTimes>,
    /// Usual response sizes by route.
    pub response_sizes: RefCell<ResponseSizes>,
    /// Retry budgets by service, which limit retries and hedges.
    pub budgets: RefCell<HashMap<ServiceName, RetryBudget>>,
    /// Latencies and limiters of hedges.
    pub hedging: Hedger,
    /// Usage of these budgets by all instances, as a collector tells it.
    pub fleet_usage: RefCell<FleetUsage>,
    /// Reports of the others that this instance has as a collector.
    pub collector: RefCell<Collector>,
    /// Whether this instance is a collector.
    pub is_collector: Cell<bool>,
    /// Return order of refused requests.
    pub returns: RefCell<Returns>,
    /// Usage of the retry budgets by instance, for a collector.
    pub peer_usage: RefCell<PeerUsage>,
    /// Reported outcomes that were counted, and those that a collector is still to tell.
    pub outcome_log: RefCell<OutcomeLog>,
    /// Targets that have said that they leave, of which the collectors are still to be told.
    pub leaving_news: RefCell<Vec<LeavingReport>>,
    /// Targets that leave, of which a collector is still to tell, with the digests left to do so.
    pub untold_leaving: RefCell<Vec<(LeavingReport, u8)>>,
    /// Requests near crashes of targets.
    pub crash_suspects: RefCell<CrashSuspects>,
    /// Requests near crashes of which the collectors are still to be told, with the reports left.
    pub crash_news: RefCell<BTreeMap<u64, u8>>,
    /// Requests near crashes of which a collector is still to tell, with the digests left.
    pub untold_crashes: RefCell<BTreeMap<u64, u8>>,
    /// When this collector last told of all confirmed requests.
    pub crashes_told: Cell<Time>,
    /// Requests under which two targets have crashed and that are in progress here.
    pub suspects_running: RefCell<BTreeSet<u64>>,
    /// Recent checks of whether a process of a target has crashed.
    pub crash_checks: RefCell<CrashChecks>,
    /// News of limits that a collector is still to tell, with the time at which it received them.
    pub untold_limits: RefCell<Vec<(Time, LimitReport)>>,
    /// Longest time for which the entries of an instance have been up to date, as reported since the
    /// latest digest, in milliseconds.
    pub reported_fresh_ms: Cell<u64>,
    /// Position of the next record of the operator, if another instance gave this one a snapshot.
    pub joined_at: Cell<Option<Position>>,
    /// Snapshots that are being sent to others.
    pub sent_snapshots: Cell<usize>,
    /// Number of the latest report of this instance.
    pub report_number: Cell<u64>,
    /// Memory for the responses that targets are sending.
    pub response_buffers: ResponseBuffers,
    /// Memory and connections of the instance.
    pub resources: Rc<Resources>,
    /// Idle connections to targets.
    pub pool: Pool,
    /// Idle connections to other instances, for requests that are forwarded through them.
    pub peer_pool: Pool,
    /// Instances that requests are forwarded through.
    pub peer_choice: RefCell<PeerChoice>,
    /// Whether the targets of each service are reached.
    pub reach: RefCell<Reach>,
    /// Services whose targets are being checked because they seem unreachable.
    pub reach_checks: RefCell<BTreeSet<ServiceName>>,
    /// Counters and histograms of the instance.
    pub metrics: Metrics,
    /// Tasks that serve callers.
    pub caller_tasks: CallerTasks,
    /// Delay of the tasks that keep the instance up to date.
    pub control_delay: RefCell<RecentPeak>,
    /// Phase of the instance.
    pub phase: Cell<Phase>,
    /// Number of open connections of callers.
    pub caller_connections: Cell<usize>,
    /// Number of requests in progress.
    pub active_requests: Cell<usize>,
    /// Time as of which the operator had written no record that this instance does not know.
    pub operator_as_of: Cell<Time>,
    /// Position of the next record of the operator.
    pub operator_next: Cell<Position>,
    /// Newest version of a configuration that is in force at any other instance.
    pub peer_config: Cell<u64>,
    /// Peers that know more of the operator's records than this instance.
    pub ahead_peers: RefCell<AheadPeers>,
    /// When a configuration was last fetched from a peer.
    pub config_asked: Cell<Option<Time>>,
    /// Latest known era of the store; `None` until a response of the store stated one.
    pub store_era: Cell<Option<u64>>,
    /// When the store was last asked because of the era of a peer's entries.
    pub era_checked: Cell<Option<Time>>,
    /// When the era was found to have risen, until all orders were listed again after that.
    pub era_since: Cell<Option<Time>>,
    /// Records of the operator that were read before.
    pub known_orders: RefCell<KnownRecords>,
    /// Latest time as of which the entries of targets are known.
    pub entries_as_of: Cell<Option<Time>>,
    /// Whether this instance has read the entries at that time itself.
    pub entries_are_own: Cell<bool>,
    /// Latest changes of the targets' entries, and up to where they are known.
    pub entries: RefCell<EntryLog>,
    /// Latest records of the operator, for peers that fetch them here.
    pub relay: RefCell<Relay>,
    /// Time at which the pending read of the entries was started.
    pub entries_asked: Cell<Option<Time>>,
    /// Time since which changes of entries are missing, and the offset up to which they are.
    pub entries_gap: Cell<Option<(Time, u64)>>,
    /// Updates that arrived before the ones that they continue, by their first offset, with the sender
    /// and the time as of which they are current.
    pub early_updates: RefCell<BTreeMap<u64, (SocketAddr, EntriesUpdate, Time)>>,
    /// Pace of the datagrams with changes of entries.
    pub update_pace: RefCell<SendPace>,
    /// Pace of the reports and digests.
    pub report_pace: RefCell<SendPace>,
    /// Time of the end of the last outage of the store, or of the start.
    pub fresh_since: Cell<Time>,
    /// Time until which a peer's report is valid that its entries have stayed up to date.
    pub confirmed_until: Cell<Time>,
    /// Whether the latest call of this instance to the store succeeded, or none was made yet.
    pub has_store: Cell<bool>,
    /// Whether the latest read of the entries failed and no update has arrived since.
    pub entries_failed: Cell<bool>,
    /// Number of good and of bad outcomes by target since the last heartbeat.
    pub outcomes: RefCell<HashMap<model::TargetId, (u32, u32)>>,
    /// Times of the planned stop, once the instance is told to stop.
    pub stop_plan: Cell<Option<StopPlan>>,
    /// Requests since then.
    pub stop_counts: Cell<StopCounts>,
    /// State of usage reports; `None` if nothing is to be reported.
    pub usage: Option<UsageState>,
    /// Channel whose closing ends the idle connections of callers.
    pub idle_closed: Receiver<()>,
    requests_ended: Receiver<()>,
    requests_guard: RefCell<Option<Sender<()>>>,
    idle_guard: RefCell<Option<Sender<()>>>,
    probe_tokens: Cell<(Time, f64)>,
    entries_requests: (Sender<()>, Receiver<()>),
    digest_requests: (Sender<()>, Receiver<()>),
    report_requests: (Sender<()>, Receiver<()>),
    senders: RefCell<Option<(Time, Rc<Senders>)>>,
    join_guard: RefCell<Option<Sender<()>>>,
    join_ended: Receiver<()>,
}

impl State {
    /// Returns the state of a starting instance.
    pub fn new(settings: Settings) -> Rc<Self> {
        let (idle_guard, idle_closed) = bounded(1);
        let (requests_guard, requests_ended) = bounded(1);
        let (join_guard, join_ended) = bounded(1);
        let limits = ResourceLimits::new(settings.memory_mb, settings.max_fds);
        let clock = Clock::start();
        let incarnation = Clock::incarnation();
        Rc::new(Self {
            metrics: Metrics::new(&settings),
            hedging: Hedger::new(&settings),
            clock,
            started: clock.now(),
            start_progress: StartProgress::default(),
            incarnation,
            config: RefCell::default(),
            targets: RefCell::default(),
            members: RefCell::new(Members::new(own_member(&settings, incarnation))),
            rollouts: RefCell::default(),
            zones_out: RefCell::default(),
            versions_seen: RefCell::default(),
            processing_times: RefCell::default(),
            response_sizes: RefCell::default(),
            budgets: RefCell::default(),
            fleet_usage: RefCell::default(),
            collector: RefCell::default(),
            is_collector: Cell::new(false),
            returns: RefCell::default(),
            peer_usage: RefCell::default(),
            outcome_log: RefCell::default(),
            leaving_news: RefCell::default(),
            untold_leaving: RefCell::default(),
            crash_suspects: RefCell::default(),
            crash_news: RefCell::default(),
            untold_crashes: RefCell::default(),
            crashes_told: Cell::new(Time(0)),
            suspects_running: RefCell::default(),
            crash_checks: RefCell::default(),
            untold_limits: RefCell::default(),
            reported_fresh_ms: Cell::new(0),
            joined_at: Cell::new(None),
            sent_snapshots: Cell::new(0),
            report_number: Cell::new(0),
            response_buffers: ResponseBuffers::default(),
            resources: Resources::new(limits),
            pool: Pool::new(limits.target_connections()),
            peer_pool: Pool::new(limits.peer_connections()),
            peer_choice: RefCell::default(),
            reach: RefCell::default(),
            reach_checks: RefCell::default(),
            caller_tasks: CallerTasks::default(),
            control_delay: RefCell::default(),
            phase: Cell::new(Phase::Starting),
            caller_connections: Cell::new(0),
            active_requests: Cell::new(0),
            operator_as_of: Cell::new(Time(0)),
            operator_next: Cell::default(),
            peer_config: Cell::new(0),
            ahead_peers: RefCell::default(),
            config_asked: Cell::new(None),
            store_era: Cell::new(None),
            era_checked: Cell::new(None),
            era_since: Cell::new(None),
            known_orders: RefCell::default(),
            entries_as_of: Cell::new(None),
            entries_are_own: Cell::new(false),
            fresh_since: Cell::new(clock.now()),
            confirmed_until: Cell::new(Time(0)),
            entries: RefCell::default(),
            relay: RefCell::default(),
            entries_asked: Cell::new(None),
            entries_gap: Cell::new(None),
            early_updates: RefCell::default(),
            update_pace: RefCell::default(),
            report_pace: RefCell::default(),
            has_store: Cell::new(true),
            entries_failed: Cell::new(false),
            outcomes: RefCell::default(),
            stop_plan: Cell::new(None),
            stop_counts: Cell::default(),
            usage: UsageState::new(&settings, incarnation, clock.now()),
            idle_closed,
            requests_ended,
            requests_guard: RefCell::new(Some(requests_guard)),
            idle_guard: RefCell::new(Some(idle_guard)),
            probe_tokens: Cell::new((clock.now(), 0.0)),
            entries_requests: bounded(1),
            digest_requests: bounded(1),
            report_requests: bounded(1),
            senders: RefCell::default(),
            join_guard: RefCell::new(Some(join_guard)),
            join_ended,
            settings,
        })
    }

    /// Returns the monotonic time.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Returns the offset of the next record of a target's entry; `None` until all entries were
    /// listed.
    pub fn entries_next(&self) -> Option<u64> {
        self.entries.borrow().next()
    }

    /// Returns the age of the entries of targets, in microseconds, if any were read.
    pub fn entries_age_us(&self) -> Option<u64> {
        let as_of = self.entries_as_of.get()?;
        Some(self.now().since_us(as_of))
    }

    /// Ends the wait for a snapshot of another instance.
    pub fn end_join(&self) {
        self.join_guard.borrow_mut().take();
    }

    /// Waits until the instance has a snapshot, or none can be had.
    pub async fn join_ended(&self) {
        // Fails when the sender is dropped, which is the signal.
        let _ = self.join_ended.recv().await;
    }

    /// Asks for a read of the entries at once.
    pub fn request_entries(&self) {
        // If the channel is full, a read is requested already.
        let _ = self.entries_requests.0.try_send(());
    }

    /// Waits until a read of the entries is requested.
    pub async fn entries_wanted(&self) {
        // The state holds the sender, so that the channel never closes.
        let _ = self.entries_requests.1.recv().await;
    }

    /// Whether the instance has run long enough to know its peers. Until then it reads only its
    /// first listing of entries.
    pub fn knows_peers(&self) -> bool {
        const DISCOVERY_US: u64 = 2_500_000;
        self.now().since_us(self.started) >= DISCOVERY_US
    }

    /// Whether the instance has run long enough to be told of changes. When all instances start at
    /// the same time, the first readers need some time after they know their peers.
    pub fn is_settled(&self) -> bool {
        const SETTLE_US: u64 = 3_000_000;
        self.now().since_us(self.started) >= SETTLE_US
    }

    /// Returns the name of this instance.
    pub fn instance_id(&self) -> &InstanceId {
        &self.settings.instance
    }

    /// Returns the configuration in force, if one was read.
    pub fn config(&self) -> Option<Rc<GatewayConfig>> {
        self.config.borrow().clone()
    }

    /// Returns the version of the configuration in force; 0 if none was read.
    pub fn config_version(&self) -> u64 {
        self.config.borrow().as_ref().map_or(0, |c| c.version)
    }

    /// Returns the names of the active instances, this one included.
    pub fn instances(&self) -> Vec<InstanceId> {
        let mut names = self.members.borrow().active_names();
        names.push(self.instance_id().clone());
        names
    }

    /// Returns the instances that share the requests to a target with a limited rate. They are found
    /// anew a few times a second.
    pub fn senders(&self) -> Rc<Senders> {
        const MAX_AGE_US: u64 = 200_000;
        let now = self.now();
        let mut cached = self.senders.borrow_mut();
        if let Some((at, senders)) = &*cached
            && now.since_us(*at) < MAX_AGE_US
        {
            return Rc::clone(senders);
        }
        let senders = Rc::new(Senders::new(self.instance_id().clone(), self.instances()));
        *cached = Some((now, Rc::clone(&senders)));
        senders
    }

    /// Asks for a digest at once, if this instance is a collector.
    pub fn request_digest(&self) {
        // If the channel is full, a digest is requested already.
        let _ = self.digest_requests.0.try_send(());
    }

    /// Waits until a digest is requested.
    pub async fn digest_wanted(&self) {
        // The state holds the sender, so that the channel never closes.
        let _ = self.digest_requests.1.recv().await;
    }

    /// Returns the rank of this instance for `duty`: the number of live instances that come before
    /// it.
    pub fn duty_rank(&self, duty: &str) -> usize {
        self.members.borrow().duty_rank(duty)
    }

    /// Asks for a report to the collectors at once.
    pub fn request_report(&self) {
        // If the channel is full, a report is requested already.
        let _ = self.report_requests.0.try_send(());
    }

    /// Waits until a report is requested.
    pub async fn report_wanted(&self) {
        // The state holds the sender, so that the channel never closes.
        let _ = self.report_requests.1.recv().await;
    }

    /// Whether this instance ranks first among the live ones for `duty`.
    pub fn has_duty(&self, duty: &str) -> bool {
        self.duty_rank(duty) == 0
    }

    /// Takes a token for one probe from the token bucket of this instance. Returns whether there
    /// was one.
    pub fn take_probe_token(&self) -> bool {
        /// Share of the allowed probes that is used. The rest is a margin for instances that know
        /// different numbers of live instances.
        const USED_SHARE: f64 = 0.8;
        /// Capacity of the bucket, as the time in which it fills, in seconds. The limit on probes
        /// holds over a whole day.
        const CAPACITY_S: f64 = 3.0;
        let now = self.now();
        let (filled_at, tokens) = self.probe_tokens.get();
        let live = self.members.borrow().live().count() + 1;
        let targets = self.targets.borrow().len();
        let rate = self.settings.probes_per_s * USED_SHARE * targets as f64 / live as f64;
        let tokens = (tokens + rate * now.since_us(filled_at) as f64 / 1e6).min(rate * CAPACITY_S);
        let has_token = tokens >= 1.0;
        self.probe_tokens
            .set((now, if has_token { tokens - 1.0 } else { tokens }));
        has_token
    }

    /// Whether a peer reports that the store had no outage. Then only this instance was cut off
    /// from it, and targets whose entries are missing are gone.
    pub fn store_stayed_up(&self) -> bool {
        self.now() < self.confirmed_until.get()
    }

    /// Starts a planned stop and returns its times.
    pub fn begin_stop(&self) -> StopPlan {
        let plan = StopPlan::new(self.now(), self.settings.stop_us());
        self.phase.set(Phase::Leaving);
        self.stop_plan.set(Some(plan));
        plan
    }

    /// Whether a planned stop has started.
    pub fn is_leaving(&self) -> bool {
        self.phase.get() == Phase::Leaving
    }

    /// Returns the earlier one of `deadline` and the time at which a planned stop answers the last
    /// requests.
    pub fn deadline_in_stop(&self, deadline: Time) -> Time {
        let plan = self.stop_plan.get();
        plan.map_or(deadline, |plan| deadline.min(plan.answers_end()))
    }

    /// Closes idle connections of callers.
    pub fn close_idle(&self) {
        self.idle_guard.borrow_mut().take();
    }

    /// Ends the requests in progress; each is answered at once.
    pub fn end_requests(&self) {
        self.requests_guard.borrow_mut().take();
    }

    /// Waits until a planned stop ends the requests in progress.
    pub async fn requests_ended(&self) {
        // Fails when the sender is dropped, which is the signal.
        let _ = self.requests_ended.recv().await;
    }

    /// Returns the addresses for callers in `zone`: those of ready instances that are near targets. Those
    /// that are cut off from targets are left out, unless all are.
    pub fn addresses(&self, zone: &str) -> Vec<SocketAddr> {
        let members = self.members.borrow();
        let mut ready = members.ready();
        if self.phase.get() == Phase::Ready {
            ready.push(members.own());
        }
        if ready.iter().any(|m| m.has_targets) {
            ready.retain(|m| m.has_targets);
        }
        let ready: Vec<PlacementCandidate<'_>> = ready
            .iter()
            .map(|m| PlacementCandidate {
                name: &m.name,
                zone: &m.zone,
                addr: m.caller_addr,
            })
            .collect();
        place_callers(zone, &self.zone_room(), &ready)
    }

    /// Returns the room of the targets by availability zone.
    fn zone_room(&self) -> ZoneRoom {
        let (targets, out) = (self.targets.borrow(), self.zones_out.borrow());
        let mut room = ZoneRoom::default();
        for target in targets.all() {
            let zone = &target.entry.zone;
            let is_usable = !target.is_leaving() && !out.contains(zone);
            room.add(zone, if is_usable { target.entry.slots } else { 0 });
        }
        room
    }

    /// Runs `action` on the retry budget of `service`.
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

    /// Whether an extra attempt at `service` fits into `fraction` of this instance's share of the
    /// retry budget, or into what the other instances leave of the whole budget.
    pub fn allows_extra_attempt(&self, service: &ServiceName, fraction: f64) -> bool {
        let now = self.now();
        let (others, covered) = self.fleet_usage.borrow().of_others(service, now);
        let members = self.members.borrow();
        let live = members.live().count() + 1;
        let known_fraction = f64::from(covered) / (members.all().count() + 1) as f64;
        self.with_budget(service, |budget| {
            budget.allows_fraction(now, live, fraction)
                || budget.allows_beyond_share(now, others, known_fraction)
        })
    }

    /// Records an outcome of a target for its health and for the next heartbeat.
    pub fn record_target_outcome(&self, id: &model::TargetId, is_good: bool) {
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

    /// Records that a target refused a connection.
    pub fn record_refused_connection(&self, id: &model::TargetId) {
        let now = self.now();
        if let Some(target) = self.targets.borrow_mut().get_mut(id) {
            target.health.record_refused(now);
        }
    }
}

/// Returns the description of an instance that has just started.
fn own_member(settings: &Settings, incarnation: u64) -> Member {
    Member {
        name: settings.instance.clone(),
        incarnation,
        revision: 0,
        zone: settings.zone.clone(),
        caller_addr: settings.callers,
        peer_addr: settings.peer.into(),
        presence: Presence::Starting,
        has_store: true,
        has_targets: true,
        link_mbps: settings.whole_link_mbps(),
        last_heard: None,
    }
}
