//! What an instance keeps for usage reports.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    time::{SystemTime, UNIX_EPOCH},
};

use balance::usage::{
    ClockCheck, UsageBounds, UsageHolder, UsageTallies, UsageTotals, WindowClock,
};
use model::Time;

use crate::{
    settings::Settings,
    usage::{LivePeak, UsageNames},
};

/// Time between two turns from which the process counts as paused, in microseconds. A call to the store
/// that fails takes up to 1.3 s.
const PAUSE_US: u64 = 2_000_000;
/// Time after a pause in which nothing is decided, in microseconds. The totals that have arrived
/// meanwhile are read first.
const CATCH_UP_US: u64 = 1_000_000;

/// State of usage reports of one instance.
#[derive(Debug)]
pub struct UsageState {
    /// Address for reports.
    pub address: SocketAddr,
    /// Times that the holder keeps to.
    pub bounds: UsageBounds,
    /// Clock by which windows are numbered.
    pub clock: RefCell<WindowClock>,
    /// Names of the workspaces.
    pub names: RefCell<UsageNames>,
    /// Requests that this instance has counted.
    pub tallies: RefCell<UsageTallies>,
    /// Requests that all instances have counted, if this one is a collector.
    pub totals: RefCell<UsageTotals>,
    /// Requests that were written to a target and have no result yet: time and workspace.
    pub pending: RefCell<BTreeMap<u64, (Time, String)>>,
    /// Number of the next one of them.
    pub next_pending: Cell<u64>,
    /// State machine of the holder.
    pub holder: RefCell<UsageHolder>,
    /// Time since which this instance is a collector.
    pub collector_since: Cell<Option<Time>>,
    /// Clocks of the other instances.
    pub clock_check: RefCell<ClockCheck>,
    /// How far the clock of this instance is behind theirs, if it is wrong.
    pub clock_error_us: Cell<Option<i64>>,
    /// Number of live instances.
    pub live_peak: Cell<LivePeak>,
    /// Time of the latest turn of the holder, and until when it decides nothing after a pause.
    last_turn: Cell<(Time, Time)>,
}

impl UsageState {
    /// Returns the state of an instance that starts at `now`; `None` if it is to report nothing.
    #[must_use]
    pub fn new(settings: &Settings, incarnation: u64, now: Time) -> Option<Self> {
        let address = settings.usage.address?;
        let bounds = settings.usage.bounds();
        let name = settings.instance.clone();
        let holder = UsageHolder::new(bounds, name, incarnation, rand::random());
        Some(Self {
            address,
            bounds,
            clock: RefCell::new(WindowClock::new(now, time_of_day_us())),
            names: RefCell::default(),
            tallies: RefCell::default(),
            totals: RefCell::default(),
            pending: RefCell::default(),
            next_pending: Cell::new(0),
            holder: RefCell::new(holder),
            collector_since: Cell::new(None),
            clock_check: RefCell::default(),
            clock_error_us: Cell::new(None),
            live_peak: Cell::default(),
            last_turn: Cell::new((now, now)),
        })
    }
}

impl UsageState {
    /// Whether the process has run for some time without a pause. Right after one, datagrams that have
    /// waited meanwhile are read.
    pub fn is_running(&self, now: Time) -> bool {
        let (last, quiet_until) = self.last_turn.get();
        now.since_us(last) < PAUSE_US && now >= quiet_until
    }

    /// Records a turn of the holder.
    pub fn record_turn(&self, now: Time) {
        let (last, quiet_until) = self.last_turn.get();
        let has_paused = now.since_us(last) >= PAUSE_US;
        let quiet_until = if has_paused {
            now.plus_us(CATCH_UP_US)
        } else {
            quiet_until
        };
        self.last_turn.set((now, quiet_until));
    }
}

/// Returns the time of day, in microseconds since the start of 1970.
pub fn time_of_day_us() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_micros()).unwrap_or(u64::MAX)
}
