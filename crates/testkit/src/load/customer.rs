//! The two customers with their services. The classes are those of `docs/ops/examples`; service
//! times and shares of classes are assumptions.

use std::fmt::Write as _;

use super::ClassLoad;
use crate::ServiceTimes;

/// A service of a customer with its upstreams and its load.
#[derive(Clone, Debug)]
pub struct ServiceProfile {
    /// Name.
    pub name: &'static str,
    /// Number of upstreams.
    pub targets: usize,
    /// Slots of each upstream.
    pub slots: u32,
    /// Mean service time in microseconds.
    pub mean_us: f64,
    /// Distribution of service times.
    pub service_times: ServiceTimes,
    /// Classes, whose shares add up to 1.
    pub classes: Vec<ClassLoad>,
}

/// A customer.
#[derive(Clone, Debug)]
pub struct Customer {
    /// Name of the customer and of its tenant.
    pub name: &'static str,
    /// Availability zones.
    pub zones: [&'static str; 3],
    /// Services.
    pub services: Vec<ServiceProfile>,
}

/// Returns a class whose calls have the path `/`.
const fn class(
    name: &'static str,
    share: f64,
    target_ms: u64,
    delay_ms: u64,
    idempotent: bool,
) -> ClassLoad {
    ClassLoad {
        name,
        path: "/",
        share,
        target_ms,
        delay_ms,
        idempotent,
    }
}

impl Customer {
    /// Returns the customer with a name.
    #[must_use]
    pub fn by_name(name: &str) -> Option<Self> {
        match name {
            "lemovka" => Some(lemovka()),
            "sacaria" => Some(sacaria()),
            _ => None,
        }
    }

    /// Returns the configuration document with all services on `version` and `extra_lines` at its
    /// end.
    #[must_use]
    pub fn config(&self, version: &str, extra_lines: &str) -> String {
        let mut text = String::new();
        for service in &self.services {
            let name = service.name;
            let _ = write!(
                text,
                "[[service]]\nname = \"{name}\"\nversion = \"{version}\"\n\n"
            );
            for class in &service.classes {
                let _ = write!(
                    text,
                    "[[service.class]]\nname = \"{}\"\ntarget_ms = {}\ndelay_ms = {}\nidempotent = {}\n\n",
                    class.name, class.target_ms, class.delay_ms, class.idempotent
                );
            }
        }
        text + extra_lines
    }
}

impl ServiceProfile {
    /// Returns the number of calls per second that uses all slots all the time.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        let slots = f64::from(self.slots) * self.targets as f64;
        slots * 1e6 / self.mean_us
    }
}

/// Returns the customer lemovka, for whom confirmations and urgent lookups matter most.
fn lemovka() -> Customer {
    Customer {
        name: "lemovka",
        zones: ["sk-central-a", "sk-central-b", "sk-central-c"],
        services: vec![
            ServiceProfile {
                name: "orders",
                targets: 25,
                slots: 3,
                mean_us: 16_000.0,
                service_times: ServiceTimes::LogNormal(0.5),
                classes: vec![
                    class("confirmation", 0.4, 60, 20, false),
                    class("urgent-lookup", 0.2, 80, 30, true),
                    class("bulk-transfer", 0.4, 2_000, 1_500, true),
                ],
            },
            ServiceProfile {
                name: "patterns",
                targets: 6,
                slots: 3,
                mean_us: 16_000.0,
                service_times: ServiceTimes::LogNormal(0.5),
                classes: vec![
                    class("lookup", 0.7, 150, 60, true),
                    class("upload", 0.3, 1_500, 500, false),
                ],
            },
        ],
    }
}

/// Returns the customer sacaria, for whom steady service matters most, because trucks load on a
/// schedule.
fn sacaria() -> Customer {
    Customer {
        name: "sacaria",
        zones: ["londrina", "joinville", "chapeco"],
        services: vec![
            ServiceProfile {
                name: "sales-counter",
                targets: 25,
                slots: 6,
                mean_us: 30_000.0,
                service_times: ServiceTimes::LogNormal(0.5),
                classes: vec![
                    class("sale", 0.5, 120, 50, false),
                    class("price-lookup", 0.3, 150, 60, true),
                    class("stock-report", 0.2, 5_000, 4_000, true),
                ],
            },
            ServiceProfile {
                name: "dispatch",
                targets: 6,
                slots: 6,
                mean_us: 30_000.0,
                service_times: ServiceTimes::Pareto(2.5),
                classes: vec![
                    class("ramp-slot", 0.5, 200, 100, false),
                    class("route-plan", 0.5, 3_000, 2_000, true),
                ],
            },
        ],
    }
}
