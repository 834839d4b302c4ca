//! Poisson arrivals and their service times, drawn in advance, so that runs of the system and the
//! ideal limit meet the same work.

use rand::{Rng, SeedableRng, rngs::StdRng};
use rand_distr::{Distribution, Exp};

use super::{Customer, Plan, ServiceShape};

/// One planned call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Intended send time since the start, in microseconds.
    pub at_us: u64,
    /// Index of the service.
    pub service: usize,
    /// Index of the class within the service.
    pub class: usize,
    /// Index of the caller; the noisy one comes after all others.
    pub caller: usize,
    /// Service time in microseconds at an upstream without faults.
    pub service_us: u64,
}

/// All calls of a plan, by send time.
#[must_use]
pub fn plan_arrivals(customer: &Customer, plan: &Plan) -> Vec<Arrival> {
    let mut rng = StdRng::seed_from_u64(plan.seed);
    let mut arrivals = Vec::new();
    for (index, shape) in customer.services.iter().enumerate() {
        add_stream(&mut arrivals, &mut rng, plan, index, shape, false);
        if plan.noisy > 0.0 {
            add_stream(&mut arrivals, &mut rng, plan, index, shape, true);
        }
    }
    arrivals.sort_by_key(|a| a.at_us);
    arrivals
}

fn add_stream(
    arrivals: &mut Vec<Arrival>,
    rng: &mut StdRng,
    plan: &Plan,
    service: usize,
    shape: &ServiceShape,
    noisy: bool,
) {
    let load = if noisy { plan.noisy } else { plan.load };
    let peak = plan.bursts.map_or(1.0, |b| b.factor.max(1.0));
    let Ok(gaps) = Exp::new(load * shape.capacity() * peak) else {
        return;
    };
    let mut at = 0.0;
    loop {
        at += gaps.sample(rng);
        if at >= plan.seconds {
            return;
        }
        let at_us = (at * 1e6) as u64;
        // Thinning: candidates come at the peak rate, and are kept in proportion to the rate then.
        if !rng.random_bool((factor_at(plan, at_us) / peak).clamp(0.0, 1.0)) {
            continue;
        }
        let caller = if noisy {
            plan.callers
        } else {
            rng.random_range(0..plan.callers.max(1))
        };
        let time = shape.tail.sample(shape.mean_us, rng);
        arrivals.push(Arrival {
            at_us,
            service,
            class: pick_class(shape, rng),
            caller,
            service_us: time.as_micros() as u64,
        });
    }
}

fn factor_at(plan: &Plan, at_us: u64) -> f64 {
    match plan.bursts {
        Some(b) if at_us / 1_000 % b.every_ms.max(1) < b.length_ms => b.factor,
        _ => 1.0,
    }
}

fn pick_class(shape: &ServiceShape, rng: &mut StdRng) -> usize {
    let mut left: f64 = rng.random();
    for (index, class) in shape.classes.iter().enumerate() {
        left -= class.share;
        if left < 0.0 {
            return index;
        }
    }
    shape.classes.len() - 1
}
