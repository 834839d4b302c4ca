//! The ideal limit: one central queue that knows every slot, in virtual time, for the same arrivals
//! and service times. It takes no time itself, starts the call with the earliest latest start
//! first, and prefers the fastest free slot.

use std::{cmp::Reverse, collections::BinaryHeap};

use super::{Arrival, Customer, Sample};

/// Faults that the ideal queue knows of.
#[derive(Clone, Copy, Debug, Default)]
pub struct IdealFaults {
    /// Targets of each service, the first ones, that are slow.
    pub slow_targets: usize,
    /// Factor on their service times, at least 1.
    pub slowdown: f64,
    /// Targets of each service, the last ones, that serve nothing.
    pub lost_targets: usize,
}

/// Runs the arrivals and returns a sample for each.
#[must_use]
pub fn run_ideal(customer: &Customer, arrivals: &[Arrival], faults: IdealFaults) -> Vec<Sample> {
    let mut samples = Vec::with_capacity(arrivals.len());
    for service in 0..customer.services.len() {
        let own = arrivals.iter().copied().enumerate();
        let own: Vec<(usize, Arrival)> = own.filter(|(_, a)| a.service == service).collect();
        Queue::new(customer, service, faults).run(&own, &mut samples);
    }
    samples.sort_by_key(|s| s.number);
    samples
}

/// Slots free at present as (slow, id); slots in use as (free at, slow, id); waiting calls as
/// (latest start, number, arrival index).
struct Queue<'a> {
    customer: &'a Customer,
    slowdown: f64,
    free: BinaryHeap<Reverse<(bool, usize)>>,
    busy: BinaryHeap<Reverse<(u64, bool, usize)>>,
    waiting: BinaryHeap<Reverse<(u64, usize)>>,
}

impl<'a> Queue<'a> {
    fn new(customer: &'a Customer, service: usize, faults: IdealFaults) -> Self {
        let shape = &customer.services[service];
        let targets = shape.targets.saturating_sub(faults.lost_targets);
        let slots = shape.slots as usize;
        let slot = |id| Reverse((id / slots < faults.slow_targets, id));
        Self {
            customer,
            slowdown: faults.slowdown.max(1.0),
            free: (0..targets * slots).map(slot).collect(),
            busy: BinaryHeap::new(),
            waiting: BinaryHeap::new(),
        }
    }

    fn run(mut self, own: &[(usize, Arrival)], samples: &mut Vec<Sample>) {
        for (index, (_, arrival)) in own.iter().enumerate() {
            self.advance(arrival.at_us, own, samples);
            let class = &self.customer.services[arrival.service].classes[arrival.class];
            let latest = arrival.at_us + class.delay_ms * 1_000;
            self.waiting.push(Reverse((latest, index)));
            self.start(arrival.at_us, own, samples);
        }
        self.advance(u64::MAX, own, samples);
    }

    /// Frees slots up to `now` and starts waiting calls on them.
    fn advance(&mut self, now: u64, own: &[(usize, Arrival)], samples: &mut Vec<Sample>) {
        while let Some(Reverse((at, slow, id))) = self.busy.peek().copied() {
            if at > now {
                return;
            }
            self.busy.pop();
            self.free.push(Reverse((slow, id)));
            self.start(at, own, samples);
        }
    }

    fn start(&mut self, now: u64, own: &[(usize, Arrival)], samples: &mut Vec<Sample>) {
        while let Some(Reverse((latest, index))) = self.waiting.peek().copied() {
            let (number, arrival) = own[index];
            if latest < now {
                self.waiting.pop();
                samples.push(sample(number, arrival, latest - arrival.at_us, 3_001));
                continue;
            }
            let Some(Reverse((slow, id))) = self.free.pop() else {
                return;
            };
            self.waiting.pop();
            let factor = if slow { self.slowdown } else { 1.0 };
            let end = now + (arrival.service_us as f64 * factor) as u64;
            self.busy.push(Reverse((end, slow, id)));
            samples.push(sample(number, arrival, end - arrival.at_us, 1_000));
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
        repeats: 0,
    }
}
