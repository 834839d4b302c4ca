//! Statistics of a set of samples.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;

use super::{Customer, Sample};

/// Statistics of the calls of one class.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClassSummary {
    /// Names of the service and of the class.
    pub name: String,
    /// Number of calls.
    pub calls: u64,
    /// Number of calls that were served.
    pub served: u64,
    /// Median latency of served calls, in microseconds.
    pub p50_us: u64,
    /// 99th percentile of the latency of served calls, in microseconds.
    pub p99_us: u64,
    /// 99.9th percentile of the latency of served calls, in microseconds.
    pub p999_us: u64,
    /// Largest latency of served calls, in microseconds.
    pub max_us: u64,
    /// Fraction of all calls that were served within the target time.
    pub in_target: f64,
    /// Number of refused calls by result code.
    pub refused: BTreeMap<u16, u64>,
    /// Number of error responses of upstreams by HTTP status.
    pub errors: BTreeMap<u16, u64>,
    /// Number of calls with an unknown outcome.
    pub unknown: u64,
    /// Number of calls that were not sent, because no connection could be opened.
    pub unsent: u64,
    /// Number of successful responses that belonged to another call, were incomplete or had no
    /// result code.
    pub wrong: u64,
    /// Number of retries by callers.
    pub retries: u64,
}

/// Returns the statistics of samples with a common target time.
///
/// # Panics
///
/// Panics if the fixed bounds of the histogram are rejected.
pub fn summarize<'a>(
    name: &str,
    target_ms: u64,
    samples: impl Iterator<Item = &'a Sample>,
) -> ClassSummary {
    let mut histogram = Histogram::<u64>::new_with_bounds(1, 3_600_000_000, 3)
        .expect("fixed bounds of the histogram are valid");
    let mut summary = ClassSummary {
        name: name.to_owned(),
        ..ClassSummary::default()
    };
    let mut within_target: u64 = 0;
    for sample in samples {
        summary.calls += 1;
        summary.retries += u64::from(sample.retries);
        summary.wrong += u64::from(sample.wrong);
        if sample.wrong {
            continue;
        }
        if sample.is_served() {
            summary.served += 1;
            histogram.saturating_record(sample.latency_us);
            within_target += u64::from(sample.latency_us <= target_ms * 1_000);
        } else if sample.is_refused() {
            *summary.refused.entry(sample.code).or_default() += 1;
        } else if sample.unknown || sample.code / 1_000 == 4 {
            summary.unknown += 1;
        } else if sample.status == 0 {
            summary.unsent += 1;
        } else {
            *summary.errors.entry(sample.status).or_default() += 1;
        }
    }
    summary.p50_us = histogram.value_at_quantile(0.5);
    summary.p99_us = histogram.value_at_quantile(0.99);
    summary.p999_us = histogram.value_at_quantile(0.999);
    summary.max_us = histogram.max();
    summary.in_target = within_target as f64 / summary.calls.max(1) as f64;
    summary
}

/// Returns the statistics of each class of a customer.
#[must_use]
pub fn summarize_by_class(customer: &Customer, samples: &[Sample]) -> Vec<ClassSummary> {
    let mut all = Vec::new();
    for (service, profile) in customer.services.iter().enumerate() {
        for (class, load) in profile.classes.iter().enumerate() {
            let name = format!("{}/{}", profile.name, load.name);
            let class_samples = samples
                .iter()
                .filter(|s| s.arrival.service == service && s.arrival.class == class);
            all.push(summarize(&name, load.target_ms, class_samples));
        }
    }
    all
}
