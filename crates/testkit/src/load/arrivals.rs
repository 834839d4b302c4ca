//! Poisson arrivals and their service times. They are drawn in advance, so that a run of the system
//! and the ideal simulation have the same load.

use rand::{Rng, SeedableRng, rngs::StdRng};
use rand_distr::{Distribution, Exp};

use super::{Customer, Plan, ServiceProfile};

/// One planned call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Planned send time since the start of the run, in microseconds.
    pub planned_us: u64,
    /// Index of the service within the customer's services.
    pub service: usize,
    /// Index of the class within the service.
    pub class: usize,
    /// Index of the caller. The noisy caller has the last index.
    pub caller: usize,
    /// Service time in microseconds at an upstream without faults.
    pub service_us: u64,
}

/// Returns all calls of a plan, ordered by send time.
#[must_use]
pub fn plan_arrivals(customer: &Customer, plan: &Plan) -> Vec<Arrival> {
    let mut rng = StdRng::seed_from_u64(plan.seed);
    let mut arrivals = Vec::new();
    for (index, profile) in customer.services.iter().enumerate() {
        add_arrivals(&mut arrivals, &mut rng, plan, index, profile, false);
        if plan.noisy_load > 0.0 {
            add_arrivals(&mut arrivals, &mut rng, plan, index, profile, true);
        }
    }
    arrivals.sort_by_key(|a| a.planned_us);
    arrivals
}

/// Adds the calls of one service, either those of the noisy caller or those of all other callers.
fn add_arrivals(
    arrivals: &mut Vec<Arrival>,
    rng: &mut StdRng,
    plan: &Plan,
    service: usize,
    profile: &ServiceProfile,
    noisy: bool,
) {
    let load = if noisy { plan.noisy_load } else { plan.load };
    let peak = plan.bursts.map_or(1.0, |b| b.factor.max(1.0));
    let Ok(gaps) = Exp::new(load * profile.capacity() * peak) else {
        return;
    };
    let mut at = 0.0;
    loop {
        at += gaps.sample(rng);
        if at >= plan.seconds {
            return;
        }
        let planned_us = (at * 1e6) as u64;
        // Thinning: candidates are drawn at the peak rate and accepted in proportion to the rate at
        // their time.
        if !rng.random_bool((burst_factor(plan, planned_us) / peak).clamp(0.0, 1.0)) {
            continue;
        }
        let caller = if noisy {
            plan.callers
        } else {
            rng.random_range(0..plan.callers.max(1))
        };
        let time = profile.service_times.sample(profile.mean_us, rng);
        arrivals.push(Arrival {
            planned_us,
            service,
            class: draw_class(profile, rng),
            caller,
            service_us: time.as_micros() as u64,
        });
    }
}

/// Returns the factor on the rate at a time of the run.
fn burst_factor(plan: &Plan, planned_us: u64) -> f64 {
    match plan.bursts {
        Some(b) if planned_us / 1_000 % b.interval_ms.max(1) < b.duration_ms => b.factor,
        _ => 1.0,
    }
}

/// Draws a class according to the classes' shares.
fn draw_class(profile: &ServiceProfile, rng: &mut StdRng) -> usize {
    let mut left: f64 = rng.random();
    for (index, class) in profile.classes.iter().enumerate() {
        left -= class.share;
        if left < 0.0 {
            return index;
        }
    }
    profile.classes.len() - 1
}
