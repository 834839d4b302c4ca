//! Counters and latency histograms of one instance, in the Prometheus text format.

use std::{cell::RefCell, collections::BTreeMap, fmt::Write, sync::Arc};

use model::Code;

use crate::settings::Settings;

/// Upper bounds of the buckets of the latency histogram, in milliseconds. The last bucket has no
/// bound.
const BOUNDS_MS: [u64; 11] = [10, 20, 50, 75, 100, 150, 250, 400, 800, 1_500, 6_000];

#[derive(Debug, Default)]
struct RouteMetrics {
    buckets: [u64; BOUNDS_MS.len() + 1],
    sum_ms: u64,
    late: u64,
}

#[derive(Debug, Default)]
struct Values {
    counters: BTreeMap<&'static str, u64>,
    refusals: BTreeMap<u16, u64>,
    routes: BTreeMap<Arc<str>, RouteMetrics>,
}

/// Metrics of one instance.
#[derive(Debug)]
pub struct Metrics {
    instance: String,
    values: RefCell<Values>,
}

impl Metrics {
    /// Returns empty metrics that carry the name of the instance.
    pub fn new(settings: &Settings) -> Self {
        Self {
            instance: settings.instance.to_string(),
            values: RefCell::default(),
        }
    }

    /// Adds `by` to the counter `name`.
    pub fn count(&self, name: &'static str, by: u64) {
        *self.values.borrow_mut().counters.entry(name).or_default() += by;
    }

    /// Records a response of a target that was forwarded to the caller.
    pub fn record_response(&self, route: &Arc<str>, took_ms: u64, is_late: bool) {
        let mut values = self.values.borrow_mut();
        let route = values.routes.entry(Arc::clone(route)).or_default();
        let bucket = BOUNDS_MS.iter().position(|bound| took_ms <= *bound);
        route.buckets[bucket.unwrap_or(BOUNDS_MS.len())] += 1;
        route.sum_ms += took_ms;
        route.late += u64::from(is_late);
    }

    /// Records a refused request.
    pub fn record_refusal(&self, code: Code) {
        *self
            .values
            .borrow_mut()
            .refusals
            .entry(code.number())
            .or_default() += 1;
    }

    /// Returns all metrics as text. `gauges` are names and current values.
    pub fn text(&self, gauges: &[(&'static str, u64)]) -> String {
        let values = self.values.borrow();
        let instance = &self.instance;
        let mut out = String::new();
        for (name, value) in gauges {
            let _ = writeln!(out, "hibiscusway_{name}{{instance=\"{instance}\"}} {value}");
        }
        for (name, value) in &values.counters {
            let _ = writeln!(
                out,
                "hibiscusway_{name}_total{{instance=\"{instance}\"}} {value}"
            );
        }
        for (code, value) in &values.refusals {
            let _ = writeln!(
                out,
                "hibiscusway_refusals_total{{instance=\"{instance}\",code=\"{code}\"}} {value}"
            );
        }
        for (route, metrics) in &values.routes {
            let labels = format!("instance=\"{instance}\",route=\"{route}\"");
            let mut sum = 0;
            for (at, count) in metrics.buckets.iter().enumerate() {
                sum += count;
                let bound = BOUNDS_MS
                    .get(at)
                    .map_or(String::from("+Inf"), u64::to_string);
                let _ = writeln!(
                    out,
                    "hibiscusway_latency_ms_bucket{{{labels},le=\"{bound}\"}} {sum}"
                );
            }
            let _ = writeln!(
                out,
                "hibiscusway_latency_ms_sum{{{labels}}} {}",
                metrics.sum_ms
            );
            let _ = writeln!(out, "hibiscusway_late_total{{{labels}}} {}", metrics.late);
        }
        out
    }
}
