//! CPU time of a dispatcher for each call, against targets and calls waiting. One home instance owns
//! all targets of its service; messages about loans are measured by `choosers`.

use std::{collections::VecDeque, sync::Arc};

use model::{Class, Time};
use policy::{
    Action, AttemptEnd, AttemptReport, Call, CallId, Dispatcher, Event, ServiceView, TargetState,
    TargetView,
};

use crate::report::{Report, time_us};

const SLOTS: u32 = 6;
/// Calls of each round.
const CALLS: u32 = 5_000;
const SERVICE_US: u64 = 10_000;
/// Calls before measuring.
const WARM_UP: u32 = 20_000;
/// Calls that arrive for one that ends, while the queue fills.
const MAX_FILL: u32 = 4;

pub fn measure(report: Report) {
    for targets in [6, 25, 100] {
        for queue in [0, 16, 64] {
            let mut bench = Bench::new(targets);
            bench.warm(queue);
            let rounds = time_us(CALLS, || bench.step());
            let (queue, busy) = (bench.dispatcher.stats().queue, bench.running.len());
            let size = format!("{targets} targets, {queue} waiting, {busy} running");
            report.row("dispatcher", "CPU time of a call", &size, "us", &rounds);
            let refused = f64::from(bench.refused);
            report.row("dispatcher", "calls refused", &size, "calls", &[refused]);
        }
    }
}

struct Bench {
    dispatcher: Dispatcher,
    now: Time,
    gap_us: u64,
    slots: usize,
    next: u64,
    running: VecDeque<(CallId, model::TargetId)>,
    out: Vec<Action>,
    refused: u32,
}

impl Bench {
    fn new(targets: usize) -> Self {
        Self {
            dispatcher: Dispatcher::new(Arc::new(view(targets)), 1),
            now: Time(1_000_000),
            gap_us: (SERVICE_US / (targets as u64 * u64::from(SLOTS))).max(1),
            slots: targets * SLOTS as usize,
            next: 0,
            running: VecDeque::new(),
            out: Vec::new(),
            refused: 0,
        }
    }

    /// Runs calls until the limits of the cold targets have risen: with half of the slots in use, or
    /// with all in use and `queue` calls waiting.
    fn warm(&mut self, queue: usize) {
        for _ in 0..WARM_UP {
            if queue == 0 {
                self.arrive();
            }
            for _ in 0..MAX_FILL {
                if self.dispatcher.stats().queue >= queue {
                    break;
                }
                self.arrive();
            }
            if queue > 0 || self.running.len() > self.slots / 2 {
                self.finish();
            }
        }
        while self.dispatcher.stats().queue < queue {
            self.arrive();
        }
        self.refused = 0;
    }

    /// One call that ends and one that arrives.
    fn step(&mut self) {
        self.finish();
        self.arrive();
    }

    fn arrive(&mut self) {
        self.now = self.now.plus_us(self.gap_us);
        self.next += 1;
        let call = Call {
            id: CallId(self.next),
            class: 0,
            caller: self.next % 20,
            bytes: 300,
            arrived: self.now,
            deadline: self.now.plus_ms(60_000),
            replayable: true,
            retries: 1,
        };
        self.handle(Event::Arrive(call));
    }

    fn finish(&mut self) {
        let Some((call, target)) = self.running.pop_front() else {
            return;
        };
        let report = AttemptReport {
            end: AttemptEnd::Good,
            service_us: SERVICE_US,
            retryable: false,
            draining: false,
            cold: false,
        };
        self.handle(Event::Finish {
            call,
            target,
            report,
        });
    }

    fn handle(&mut self, event: Event) {
        self.dispatcher.handle(self.now, event, &mut self.out);
        for action in self.out.drain(..) {
            match action {
                Action::Start { call, target } => self.running.push_back((call, target)),
                Action::Refuse { .. } => self.refused += 1,
                _ => {}
            }
        }
    }
}

fn view(targets: usize) -> ServiceView {
    let target = |n: usize| {
        Arc::new(TargetView {
            id: format!("target-{n:04}").as_str().into(),
            incarnation: 1,
            addr: ([127, 0, 0, 1], 9).into(),
            zone: "sk-central-a".into(),
            region: "region-1".into(),
            version: "v1".into(),
            slots: SLOTS,
            state: TargetState::Usable,
            owner: "entry-00".into(),
        })
    };
    let class = Class {
        name: "bulk".into(),
        target_ms: 10_000,
        delay_ms: 30_000,
        idempotent: false,
        timeout_ms: 60_000,
    };
    ServiceView {
        list_version: 1,
        name: "service-00".into(),
        me: "entry-00".into(),
        zone: "sk-central-a".into(),
        classes: vec![class],
        targets: (0..targets).map(target).collect(),
        owners: vec!["entry-00".into()],
        version: "v1".into(),
        active_move: None,
    }
}
