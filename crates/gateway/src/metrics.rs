//! Counters and latency histograms of one instance, served as text.

use std::{cell::RefCell, collections::BTreeMap, fmt::Write, sync::Arc};

use model::Code;

use crate::settings::Settings;

/// Upper bounds of the latency histogram, in milliseconds; the last bucket has none.
const BOUNDS_MS: [u64; 11] = [10, 20, 50, 75, 100, 150, 250, 400, 800, 1_500, 6_000];

#[derive(Debug, Default)]
struct RouteFigures {
    buckets: [u64; BOUNDS_MS.len() + 1],
    sum_ms: u64,
    late: u64,
}

#[derive(Debug, Default)]
struct Figures {
    counters: BTreeMap<&'static str, u64>,
    refusals: BTreeMap<u16, u64>,
    routes: BTreeMap<Arc<str>, RouteFigures>,
}

/// Metrics of one instance.
#[derive(Debug)]
pub struct Metrics {
    instance: String,
    figures: RefCell<Figures>,
}

impl Metrics {
    /// Metrics with the instance's name on each line.
    pub fn new(settings: &Settings) -> Self {
        Self {
            instance: settings.instance.to_string(),
            figures: RefCell::default(),
        }
    }

    /// Adds to a counter.
    pub fn count(&self, name: &'static str, by: u64) {
        *self.figures.borrow_mut().counters.entry(name).or_default() += by;
    }

    /// Notes a response of a target that was passed on.
    pub fn served(&self, route: &Arc<str>, took_ms: u64, is_late: bool) {
        let mut figures = self.figures.borrow_mut();
        let route = figures.routes.entry(Arc::clone(route)).or_default();
        let bucket = BOUNDS_MS.iter().position(|bound| took_ms <= *bound);
        route.buckets[bucket.unwrap_or(BOUNDS_MS.len())] += 1;
        route.sum_ms += took_ms;
        route.late += u64::from(is_late);
    }

    /// Notes a refusal.
    pub fn refused(&self, kind: Code) {
        *self
            .figures
            .borrow_mut()
            .refusals
            .entry(kind.number())
            .or_default() += 1;
    }

    /// All metrics as text, with `gauges` that hold at this moment.
    pub fn text(&self, gauges: &[(&'static str, u64)]) -> String {
        let figures = self.figures.borrow();
        let instance = &self.instance;
        let mut out = String::new();
        for (name, value) in gauges {
            let _ = writeln!(out, "hibiscusway_{name}{{instance=\"{instance}\"}} {value}");
        }
        for (name, value) in &figures.counters {
            let _ = writeln!(
                out,
                "hibiscusway_{name}_total{{instance=\"{instance}\"}} {value}"
            );
        }
        for (code, value) in &figures.refusals {
            let _ = writeln!(
                out,
                "hibiscusway_refusals_total{{instance=\"{instance}\",code=\"{code}\"}} {value}"
            );
        }
        for (route, f) in &figures.routes {
            let labels = format!("instance=\"{instance}\",route=\"{route}\"");
            let mut sum = 0;
            for (at, count) in f.buckets.iter().enumerate() {
                sum += count;
                let bound = BOUNDS_MS
                    .get(at)
                    .map_or(String::from("+Inf"), u64::to_string);
                let _ = writeln!(
                    out,
                    "hibiscusway_latency_ms_bucket{{{labels},le=\"{bound}\"}} {sum}"
                );
            }
            let _ = writeln!(out, "hibiscusway_latency_ms_sum{{{labels}}} {}", f.sum_ms);
            let _ = writeln!(out, "hibiscusway_late_total{{{labels}}} {}", f.late);
        }
        out
    }
}
