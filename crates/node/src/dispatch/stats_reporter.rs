//! Publishes the counters of a dispatcher as metrics.

use model::Time;
use policy::{Dispatcher, Stats};

use crate::context::Context;

/// Interval of reports, in milliseconds.
const REPORT_MS: u64 = 1_000;

/// Publishes the increase of each counter since the last report.
#[derive(Debug, Default)]
pub struct StatsReporter {
    last_stats: Stats,
    last_report: Time,
}

impl StatsReporter {
    /// Publishes the increases since the last report, if a report is due.
    pub fn report(&mut self, ctx: &Context, now: Time, service: &str, dispatcher: &Dispatcher) {
        if now.since_us(self.last_report) < REPORT_MS * 1_000 {
            return;
        }
        self.last_report = now;
        let stats = dispatcher.stats();
        for (name, count) in increases(&self.last_stats, &stats) {
            ctx.metrics.dispatched(name, service, count);
        }
        ctx.metrics.waiting(service, stats.queue as u64);
        for (code, count) in &stats.violations {
            let reported = self.last_stats.violations.get(code).copied().unwrap_or(0);
            for _ in reported..*count {
                ctx.violation(*code, service);
            }
        }
        self.last_stats = stats;
    }
}

/// Returns the name of each counter and its increase from `old` to `new`.
fn increases(old: &Stats, new: &Stats) -> [(&'static str, u64); 9] {
    [
        ("starts", new.starts - old.starts),
        ("retries", new.retries - old.retries),
        ("hedges", new.hedges - old.hedges),
        ("loans_out", new.loans_out - old.loans_out),
        ("loans_in", new.loans_in - old.loans_in),
        ("loan_messages", new.messages - old.messages),
        ("loan_bytes", new.bytes - old.bytes),
        ("held_back", new.held_back - old.held_back),
        ("ejections", new.ejections - old.ejections),
    ]
}
