//! Figures of a set of samples.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;

use super::{Customer, Sample};

/// Figures of one class.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Figures {
    /// Service and class.
    pub name: String,
    /// Calls.
    pub calls: u64,
    /// Calls served.
    pub served: u64,
    /// Percentiles of the latency of served calls in microseconds.
    pub p50_us: u64,
    /// 99th.
    pub p99_us: u64,
    /// 99.9th.
    pub p999_us: u64,
    /// Largest.
    pub max_us: u64,
    /// Calls served within the target, as a share of all calls.
    pub in_target: f64,
    /// Refusals by result code.
    pub refused: BTreeMap<u16, u64>,
    /// Upstreams' errors that were passed on, by status.
    pub errors: BTreeMap<u16, u64>,
    /// Calls with an unknown outcome.
    pub unknown: u64,
    /// Calls whose connection could not be opened to any address.
    pub unsent: u64,
    /// Successful answers that were not the call's own, not whole, or without result code.
    pub wrong: u64,
    /// Repeats by callers.
    pub repeats: u64,
}

/// Figures of samples with a common target.
///
/// # Panics
///
/// If the histogram's fixed bounds are rejected.
pub fn figures_of<'a>(
    name: &str,
    target_ms: u64,
    samples: impl Iterator<Item = &'a Sample>,
) -> Figures {
    let mut histogram = Histogram::<u64>::new_with_bounds(1, 3_600_000_000, 3)
        .expect("fixed bounds of the histogram are valid");
    let mut figures = Figures {
        name: name.to_owned(),
        ..Figures::default()
    };
    let mut in_time: u64 = 0;
    for sample in samples {
        figures.calls += 1;
        figures.repeats += u64::from(sample.repeats);
        figures.wrong += u64::from(sample.wrong);
        if sample.wrong {
            continue;
        }
        if sample.is_served() {
            figures.served += 1;
            histogram.saturating_record(sample.latency_us);
            in_time += u64::from(sample.latency_us <= target_ms * 1_000);
        } else if sample.is_refused() {
            *figures.refused.entry(sample.code).or_default() += 1;
        } else if sample.unknown || sample.code / 1_000 == 4 {
            figures.unknown += 1;
        } else if sample.status == 0 {
            figures.unsent += 1;
        } else {
            *figures.errors.entry(sample.status).or_default() += 1;
        }
    }
    figures.p50_us = histogram.value_at_quantile(0.5);
    figures.p99_us = histogram.value_at_quantile(0.99);
    figures.p999_us = histogram.value_at_quantile(0.999);
    figures.max_us = histogram.max();
    figures.in_target = in_time as f64 / figures.calls.max(1) as f64;
    figures
}

/// Figures of each class of a customer.
#[must_use]
pub fn by_class(customer: &Customer, samples: &[Sample]) -> Vec<Figures> {
    let mut all = Vec::new();
    for (service, shape) in customer.services.iter().enumerate() {
        for (class, load) in shape.classes.iter().enumerate() {
            let name = format!("{}/{}", shape.name, load.name);
            let own = samples
                .iter()
                .filter(|s| s.arrival.service == service && s.arrival.class == class);
            all.push(figures_of(&name, load.target_ms, own));
        }
    }
    all
}
