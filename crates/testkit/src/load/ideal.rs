//! A simulation of the best possible result for given arrivals and service times: one central queue
//! that knows the state of every slot, in virtual time. It adds no latency, starts the call with
//! the earliest start deadline first and prefers targets that are not slow.

use std::{cmp::Reverse, collections::BinaryHeap};

use super::{Arrival, Customer, Sample};

/// Faults of targets, which the central queue knows.
#[derive(Clone, Copy, Debug, Default)]
pub struct IdealFaults {
    /// Number of slow targets of each service; they are its first targets.
    pub slow_targets: usize,
    /// Factor on the service times of slow targets, at least 1.
    pub slowdown: f64,
    /// Number of targets of each service that serve no calls; they are its last targets.
    pub failed_targets: usize,
}

/// Simulates the arrivals and returns a sample for each.
#[must_use]
pub fn simulate_ideal(
    customer: &Customer,
    arrivals: &[Arrival],
    faults: IdealFaults,
) -> Vec<Sample> {
    let mut samples = Vec::with_capacity(arrivals.len());
    for service in 0..customer.services.len() {
        let numbered = arrivals.iter().copied().enumerate();
        let service_arrivals: Vec<(usize, Arrival)> =
            numbered.filter(|(_, a)| a.service == service).collect();
        CentralQueue::new(customer, service, faults).run(&service_arrivals, &mut samples);
    }
    samples.sort_by_key(|s| s.number);
    samples
}

/// The central queue of one service.
struct CentralQueue<'a> {
    customer: &'a Customer,
    slowdown: f64,
    /// Free slots as (slow, id).
    free: BinaryHeap<Reverse<(bool, usize)>>,
    /// Slots in use as (time at which the slot becomes free, slow, id).
    busy: BinaryHeap<Reverse<(u64, bool, usize)>>,
    /// Queued calls as (start deadline, index of the arrival).
    queued: BinaryHeap<Reverse<(u64, usize)>>,
}

impl<'a> CentralQueue<'a> {
    fn new(customer: &'a Customer, service: usize, faults: IdealFaults) -> Self {
        let profile = &customer.services[service];
        let targets = profile.targets.saturating_sub(faults.failed_targets);
        let slots = profile.slots as usize;
        let slot = |id| Reverse((id / slots < faults.slow_targets, id));
        Self {
            customer,
            slowdown: faults.slowdown.max(1.0),
            free: (0..targets * slots).map(slot).collect(),
            busy: BinaryHeap::new(),
            queued: BinaryHeap::new(),
        }
    }

    /// Simulates the arrivals of the service, which carry their numbers in the plan.
    fn run(mut self, arrivals: &[(usize, Arrival)], samples: &mut Vec<Sample>) {
        for (index, (_, arrival)) in arrivals.iter().enumerate() {
            self.release_slots(arrival.planned_us, arrivals, samples);
            let class = &self.customer.services[arrival.service].classes[arrival.class];
            let start_deadline = arrival.planned_us + class.delay_ms * 1_000;
            self.queued.push(Reverse((start_deadline, index)));
            self.start_queued(arrival.planned_us, arrivals, samples);
        }
        self.release_slots(u64::MAX, arrivals, samples);
    }

    /// Frees the slots whose calls end up to `now` and starts queued calls on them.
    fn release_slots(
        &mut self,
        now: u64,
        arrivals: &[(usize, Arrival)],
        samples: &mut Vec<Sample>,
    ) {
        while let Some(Reverse((free_at, slow, id))) = self.busy.peek().copied() {
            if free_at > now {
                return;
            }
            self.busy.pop();
            self.free.push(Reverse((slow, id)));
            self.start_queued(free_at, arrivals, samples);
        }
    }

    /// Starts queued calls on free slots and refuses calls whose start deadline has passed.
    fn start_queued(&mut self, now: u64, arrivals: &[(usize, Arrival)], samples: &mut Vec<Sample>) {
        while let Some(Reverse((start_deadline, index))) = self.queued.peek().copied() {
            let (number, arrival) = arrivals[index];
            if start_deadline < now {
                self.queued.pop();
                samples.push(sample(
                    number,
                    arrival,
                    start_deadline - arrival.planned_us,
                    3_001,
                ));
                continue;
            }
            let Some(Reverse((slow, id))) = self.free.pop() else {
                return;
            };
            self.queued.pop();
            let factor = if slow { self.slowdown } else { 1.0 };
            let end = now + (arrival.service_us as f64 * factor) as u64;
            self.busy.push(Reverse((end, slow, id)));
            samples.push(sample(number, arrival, end - arrival.planned_us, 1_000));
        }
    }
}

const fn sample(number: usize, arrival: Arrival, latency_us: u64, code: u16) -> Sample {
    Sample {
        number,
        arrival,
        latency_us,
        late_us: 0,
        status: if code == 1_000 { 200 } else { 503 },
        code,
        unknown: false,
        wrong: false,
        retries: 0,
    }
}
