//! Settings of usage reports.

use std::{net::SocketAddr, time::Duration};

use balance::usage::UsageBounds;
use platform::UsageClient;
use serde::Deserialize;

/// Table `[usage]` of the settings file.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct UsageSettings {
    /// Address for usage reports. Without it, nothing is counted or sent.
    pub address: Option<SocketAddr>,
    /// Length of a window, in seconds.
    pub window_s: f64,
    /// Time after a window's end at which its report is due, in seconds.
    pub due_s: f64,
    /// Time in which calls of two holders must not alternate, in seconds.
    pub lease_s: f64,
    /// Calls allowed in a second, of all instances.
    pub calls_per_s: f64,
}

/// The values of all deployments so far.
impl Default for UsageSettings {
    fn default() -> Self {
        Self {
            address: None,
            window_s: 5.0,
            due_s: 10.0,
            lease_s: 3.0,
            calls_per_s: 2.0,
        }
    }
}

impl UsageSettings {
    /// Part of the allowed calls that the holder makes. The rest is for a holder that was just replaced.
    const CALL_SHARE: f64 = 0.8;

    /// Returns the key and the value of the first setting that is not allowed, and what is.
    #[must_use]
    pub fn error(&self) -> Option<(&'static str, f64, &'static str)> {
        let times = [
            ("usage.window_s", self.window_s),
            ("usage.due_s", self.due_s),
            ("usage.lease_s", self.lease_s),
        ];
        // A claim lasts two leases, of which a call needs 1.3 s.
        let is_wrong = |time: f64| !(1.0..=600.0).contains(&time);
        if let Some((key, time)) = times.into_iter().find(|(_, time)| is_wrong(*time)) {
            return Some((key, time, "a number from 1 to 600"));
        }
        let rate = self.calls_per_s;
        let is_wrong = !(0.01..=1_000.0).contains(&rate);
        is_wrong.then_some(("usage.calls_per_s", rate, "a number from 0.01 to 1000"))
    }

    /// Returns the times that the holder keeps to.
    #[must_use]
    pub fn bounds(&self) -> UsageBounds {
        UsageBounds {
            window_us: micros(self.window_s),
            due_us: micros(self.due_s),
            lease_us: micros(self.lease_s),
            call_gap_us: micros(1.0 / (self.calls_per_s * Self::CALL_SHARE)),
            call_limit_us: UsageClient::LIMIT_US,
        }
    }
}

/// Returns a checked time in microseconds.
fn micros(seconds: f64) -> u64 {
    let time = Duration::from_secs_f64(seconds);
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
