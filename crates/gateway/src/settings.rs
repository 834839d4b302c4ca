//! Settings of a gateway instance, read from a TOML file.

use std::{
    net::{SocketAddr, SocketAddrV4},
    time::Duration,
};

use balance::ExposureLimits;
use model::{InstanceId, Zone, is_valid_id};
use serde::Deserialize;
use thiserror::Error;

use crate::{
    hedging::HedgingSettings,
    returns_settings::{MIN_OBJECTIVE_RANGE_MS, ReturnsSettings},
    usage::UsageSettings,
};

/// Settings of one instance. The names of the fields are the keys of the file.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the instance, unique in the deployment.
    pub instance: InstanceId,
    /// Availability zone of the instance.
    pub zone: Zone,
    /// Address that callers connect to.
    pub callers: SocketAddr,
    /// Address of the readiness check.
    pub ready: SocketAddr,
    /// Address of the address query.
    pub directory: SocketAddr,
    /// Address that other instances connect to, over UDP and TCP.
    pub peer: SocketAddrV4,
    /// Address that metrics are served on.
    pub metrics: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Machines that may run instances; their peer port is that of `peer`.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Time allowed for a planned stop, in seconds.
    #[serde(default = "default_stop_s")]
    pub stop_s: f64,
    /// Time after which a target whose entry says that it leaves must get no requests, in seconds.
    #[serde(default = "default_leave_s")]
    pub leave_s: f64,
    /// Time after which a configuration must be in force, in seconds.
    #[serde(default = "default_apply_s")]
    pub apply_s: f64,
    /// Extra attempts (retries and hedges) allowed for each request, over all instances.
    #[serde(default = "default_retry_ratio")]
    pub retry_ratio: f64,
    /// Extra attempts allowed in addition in each window, over all instances.
    #[serde(default = "default_retry_slack")]
    pub retry_slack: f64,
    /// Window of the two limits above, in seconds.
    #[serde(default = "default_retry_window_s")]
    pub retry_window_s: f64,
    /// Part of a service's requests during a rollout that a bad version may get, over all instances.
    #[serde(default = "default_rollout_share")]
    pub rollout_share: f64,
    /// Requests that a bad version may get in addition, over all instances.
    #[serde(default = "default_rollout_slack")]
    pub rollout_slack: f64,
    /// Probes allowed for each target and second, over all instances.
    #[serde(default = "default_probes_per_s")]
    pub probes_per_s: f64,
    /// Bandwidth of the machine's link, in Mbit/s.
    #[serde(default = "default_link_mbps")]
    pub link_mbps: f64,
    /// Memory of the machine that the process may use, in megabytes (1,048,576 bytes).
    #[serde(default = "default_memory_mb")]
    pub memory_mb: u64,
    /// File descriptors that the process may have open.
    #[serde(default = "default_max_fds")]
    pub max_fds: u64,
    /// Share of a core that the process gets.
    #[serde(default = "default_cpu_share")]
    pub cpu_share: f64,
    /// Number of cores that the share is of.
    #[serde(default = "default_cores")]
    pub cores: u32,
    /// Whether the whole system starts for the first time, and nobody is to be served yet.
    #[serde(default)]
    pub first_start: bool,
    /// Log lines allowed in a second.
    #[serde(default = "default_log_lines")]
    pub log_lines: u32,
    /// Limits on hedges; without them, hedges take from the retry budget alone.
    #[serde(default)]
    pub hedging: Option<HedgingSettings>,
    /// Usage reports.
    #[serde(default)]
    pub usage: UsageSettings,
    /// Return order of refused requests; `None` if there is none.
    pub returns: Option<ReturnsSettings>,
}

/// Default time for a planned stop, in seconds: the shortest one that the platform allows.
fn default_stop_s() -> f64 {
    6.0
}

/// Default ratio of extra attempts: the smallest one that the platform allows.
fn default_retry_ratio() -> f64 {
    0.2
}

/// Default number of extra attempts in addition: the smallest one that the platform allows.
fn default_retry_slack() -> f64 {
    60.0
}

/// Default window of the extra attempts, in seconds: that of all deployments so far.
fn default_retry_window_s() -> f64 {
    10.0
}

/// Default number of probes: the smallest one that the platform allows.
fn default_probes_per_s() -> f64 {
    42.0
}

/// Default time for a leaving target, in seconds: the shortest one that the platform requires.
fn default_leave_s() -> f64 {
    2.0
}

/// Default time for a configuration, in seconds: the shortest one that the platform requires.
fn default_apply_s() -> f64 {
    2.0
}

/// Default part of the requests that a bad version may get: the smallest one that the platform requires.
fn default_rollout_share() -> f64 {
    0.1
}

/// Default number of requests in addition: the smallest one that the platform requires.
fn default_rollout_slack() -> f64 {
    50.0
}

/// Default bandwidth, in Mbit/s: that of a usual server.
fn default_link_mbps() -> f64 {
    1_000.0
}

/// Default memory, in megabytes: that of the smallest machines in use.
fn default_memory_mb() -> u64 {
    160
}

/// Default number of file descriptors: that of the smallest machines in use.
fn default_max_fds() -> u64 {
    4_100
}

/// Default share of a core: that of the smallest machines in use.
fn default_cpu_share() -> f64 {
    0.1
}

/// Default number of cores: that of the smallest machines in use.
fn default_cores() -> u32 {
    1
}

/// Default number of log lines in a second. Every request writes at least one.
fn default_log_lines() -> u32 {
    200
}

/// Reason why settings cannot be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file is not valid TOML, lacks a key, or has an unknown one.
    #[error("{file}: {error}")]
    Format {
        /// Path of the file.
        file: String,
        /// Error of the parser, with line and column.
        error: Box<toml::de::Error>,
    },
    /// A value is not allowed.
    #[error("{file}: {key} is {value}; expected {allowed}")]
    Value {
        /// Path of the file.
        file: String,
        /// Key of the value.
        key: &'static str,
        /// Value in the file.
        value: String,
        /// Description of the allowed values.
        allowed: &'static str,
    },
}

/// Least memory, in megabytes, that holds the data of an instance and the largest responses.
const MIN_MEMORY_MB: u64 = 32;
/// Least number of file descriptors. The platform reserves 200 of them for files.
const MIN_FDS: u64 = 256;
/// Longest time for a planned stop, a leaving target or a configuration, in seconds.
const MAX_STOP_S: f64 = 600.0;

impl Settings {
    /// Parses and checks the text of a settings file. `file` names it in errors.
    ///
    /// # Errors
    ///
    /// Returns the first error found.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsError> {
        let settings: Self = toml::from_str(text).map_err(|error| SettingsError::Format {
            file: file.to_owned(),
            error: Box::new(error),
        })?;
        settings.check(file)?;
        Ok(settings)
    }

    /// Returns the bandwidth of the machine's link in whole Mbit/s, at least 1.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the value is positive and the conversion saturates"
    )]
    pub fn whole_link_mbps(&self) -> u32 {
        self.link_mbps.max(1.0) as u32
    }

    /// Returns the time allowed for a planned stop, in microseconds.
    #[must_use]
    pub fn stop_us(&self) -> u64 {
        let time = Duration::from_secs_f64(self.stop_s);
        u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
    }

    /// Returns the time after which a leaving target must get no requests, in microseconds.
    #[must_use]
    pub fn leave_us(&self) -> u64 {
        let time = Duration::from_secs_f64(self.leave_s);
        u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
    }

    /// Returns the time after which a configuration must be in force, in milliseconds.
    #[must_use]
    pub fn apply_ms(&self) -> u64 {
        let time = Duration::from_secs_f64(self.apply_s);
        u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns the limits on the requests that a bad version may get.
    #[must_use]
    pub fn exposure_limits(&self) -> ExposureLimits {
        ExposureLimits {
            share: self.rollout_share,
            slack: self.rollout_slack,
        }
    }

    fn check(&self, file: &str) -> Result<(), SettingsError> {
        let value = |key, value: String, allowed| {
            Err(SettingsError::Value {
                file: file.to_owned(),
                key,
                value,
                allowed,
            })
        };
        for (key, id) in [
            ("instance", self.instance.as_str()),
            ("zone", self.zone.as_str()),
        ] {
            if !is_valid_id(id) {
                return value(
                    key,
                    format!("{id:?}"),
                    "1 to 64 letters, digits, '-', '_' or '.'",
                );
            }
        }
        let times = [
            ("stop_s", self.stop_s),
            ("leave_s", self.leave_s),
            ("apply_s", self.apply_s),
        ];
        for (key, time) in times {
            if !(time > 0.0 && time <= MAX_STOP_S) {
                return value(key, time.to_string(), "a number above 0 and at most 600");
            }
        }
        let rates = [
            ("retry_ratio", self.retry_ratio),
            ("retry_slack", self.retry_slack),
            ("retry_window_s", self.retry_window_s),
            ("rollout_share", self.rollout_share),
            ("rollout_slack", self.rollout_slack),
            ("probes_per_s", self.probes_per_s),
        ];
        for (key, rate) in rates {
            if !(rate.is_finite() && rate >= 0.0) {
                return value(key, rate.to_string(), "a finite number of at least 0");
            }
        }
        let sizes = [("link_mbps", self.link_mbps), ("cpu_share", self.cpu_share)];
        for (key, size) in sizes {
            if !(size.is_finite() && size > 0.0) {
                return value(key, size.to_string(), "a finite number above 0");
            }
        }
        if self.memory_mb < MIN_MEMORY_MB {
            return value("memory_mb", self.memory_mb.to_string(), "at least 32");
        }
        if self.max_fds < MIN_FDS {
            return value("max_fds", self.max_fds.to_string(), "at least 256");
        }
        if self.cores == 0 {
            return value("cores", String::from("0"), "at least 1");
        }
        if let Some((key, number, allowed)) = self.usage.error() {
            return value(key, number.to_string(), allowed);
        }
        if self.log_lines == 0 {
            return value("log_lines", String::from("0"), "at least 1");
        }
        if let Some((key, number, allowed)) = self.hedging.and_then(|h| h.fault()) {
            return value(key, number.to_string(), allowed);
        }
        if let Some(returns) = &self.returns
            && !MIN_OBJECTIVE_RANGE_MS.contains(&returns.min_objective_ms)
        {
            let text = returns.min_objective_ms.to_string();
            return value("returns.min_objective_ms", text, "1 to 60000");
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
