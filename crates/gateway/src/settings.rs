//! Settings of a gateway instance, read from a TOML file at start and again when it changes.

use std::net::{SocketAddr, SocketAddrV4};

use model::{InstanceId, Zone, is_valid_id};
use serde::Deserialize;
use thiserror::Error;

/// Settings of one instance.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the instance, unique in the deployment.
    pub instance: InstanceId,
    /// Availability zone.
    pub zone: Zone,
    /// Address that callers connect to.
    pub callers: SocketAddr,
    /// Address of the readiness check.
    pub ready: SocketAddr,
    /// Address of the address query.
    pub directory: SocketAddr,
    /// UDP address for other instances.
    pub peer: SocketAddrV4,
    /// Address that metrics are served on.
    pub metrics: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Machines that may run instances; their peer port is that of `peer`.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Time allowed for a planned stop, in seconds.
    pub stop_s: f64,
    /// Second sends allowed for each request, over all instances.
    pub retry_ratio: f64,
    /// Second sends allowed besides in each window, over all instances.
    pub retry_slack: f64,
    /// Window of the two limits above, in seconds.
    pub retry_window_s: f64,
    /// Probes allowed for each target and second, over all instances.
    pub probes_per_s: f64,
    /// Bandwidth of the machine's link, in Mbit/s.
    #[serde(default = "default_link_mbps")]
    pub link_mbps: f64,
    /// Log lines allowed in a second.
    #[serde(default = "default_log_lines")]
    pub log_lines: u32,
}

/// Bandwidth unless stated, in Mbit/s: the usual one of a server.
fn default_link_mbps() -> f64 {
    1_000.0
}

/// Log lines in a second unless stated: every request of a busy instance has one.
fn default_log_lines() -> u32 {
    200
}

/// Why settings cannot be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The text is not the expected TOML.
    #[error("{file}: {error}")]
    Format {
        /// File.
        file: String,
        /// What is wrong, with the place.
        error: Box<toml::de::Error>,
    },
    /// A value is out of range.
    #[error("{file}: {key} is {value}; allowed is {allowed}")]
    Value {
        /// File.
        file: String,
        /// Key.
        key: &'static str,
        /// Value.
        value: String,
        /// What is allowed.
        allowed: &'static str,
    },
}

/// Longest time for a planned stop, in seconds.
const MAX_STOP_S: f64 = 600.0;

impl Settings {
    /// Parses and checks settings.
    ///
    /// # Errors
    ///
    /// The first thing that is wrong.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsError> {
        let settings: Self = toml::from_str(text).map_err(|error| SettingsError::Format {
            file: file.to_owned(),
            error: Box::new(error),
        })?;
        settings.check(file)?;
        Ok(settings)
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
        if !(self.stop_s > 0.0 && self.stop_s <= MAX_STOP_S) {
            return value("stop_s", self.stop_s.to_string(), "above 0, at most 600");
        }
        let rates = [
            ("retry_ratio", self.retry_ratio),
            ("retry_slack", self.retry_slack),
            ("retry_window_s", self.retry_window_s),
            ("probes_per_s", self.probes_per_s),
        ];
        for (key, rate) in rates {
            if !(rate.is_finite() && rate >= 0.0) {
                return value(key, rate.to_string(), "a number from 0");
            }
        }
        if !(self.link_mbps.is_finite() && self.link_mbps > 0.0) {
            return value("link_mbps", self.link_mbps.to_string(), "above 0");
        }
        if self.log_lines == 0 {
            return value("log_lines", String::from("0"), "1 or more");
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
