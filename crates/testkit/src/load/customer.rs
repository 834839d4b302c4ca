//! Shapes of the two customers' services. Classes are those of `docs/ops/examples`; service times
//! and shares of classes are assumptions.

use std::fmt::Write as _;

use super::ClassLoad;
use crate::ServiceTimes;

/// A service of a customer.
#[derive(Clone, Debug)]
pub struct ServiceShape {
    /// Name.
    pub name: &'static str,
    /// Upstreams.
    pub targets: usize,
    /// Slots of each.
    pub slots: u32,
    /// Mean service time in microseconds.
    pub mean_us: f64,
    /// Distribution of service times.
    pub tail: ServiceTimes,
    /// Classes.
    pub classes: Vec<ClassLoad>,
}

/// A customer.
#[derive(Clone, Debug)]
pub struct Customer {
    /// Name, also the tenant.
    pub name: &'static str,
    /// Availability zones.
    pub zones: [&'static str; 3],
    /// Services.
    pub services: Vec<ServiceShape>,
}

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
    /// The customer with a name.
    #[must_use]
    pub fn named(name: &str) -> Option<Self> {
        match name {
            "lemovka" => Some(lemovka()),
            "sacaria" => Some(sacaria()),
            _ => None,
        }
    }

    /// The configuration document, with all services on `version` and further lines at its end.
    #[must_use]
    pub fn config(&self, version: &str, more: &str) -> String {
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
        text + more
    }
}

impl ServiceShape {
    /// Calls per second that keep all slots in use.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        let slots = f64::from(self.slots) * self.targets as f64;
        slots * 1e6 / self.mean_us
    }
}

/// Confirmations and urgent lookups matter most.
fn lemovka() -> Customer {
    Customer {
        name: "lemovka",
        zones: ["sk-central-a", "sk-central-b", "sk-central-c"],
        services: vec![
            ServiceShape {
                name: "orders",
                targets: 25,
                slots: 3,
                mean_us: 16_000.0,
                tail: ServiceTimes::LogNormal(0.5),
                classes: vec![
                    class("confirmation", 0.4, 60, 20, false),
                    class("urgent-lookup", 0.2, 80, 30, true),
                    class("bulk-transfer", 0.4, 2_000, 1_500, true),
                ],
            },
            ServiceShape {
                name: "patterns",
                targets: 6,
                slots: 3,
                mean_us: 16_000.0,
                tail: ServiceTimes::LogNormal(0.5),
                classes: vec![
                    class("lookup", 0.7, 150, 60, true),
                    class("upload", 0.3, 1_500, 500, false),
                ],
            },
        ],
    }
}

/// Trucks load on a schedule: steady service matters most.
fn sacaria() -> Customer {
    Customer {
        name: "sacaria",
        zones: ["londrina", "joinville", "chapeco"],
        services: vec![
            ServiceShape {
                name: "sales-counter",
                targets: 25,
                slots: 6,
                mean_us: 30_000.0,
                tail: ServiceTimes::LogNormal(0.5),
                classes: vec![
                    class("sale", 0.5, 120, 50, false),
                    class("price-lookup", 0.3, 150, 60, true),
                    class("stock-report", 0.2, 5_000, 4_000, true),
                ],
            },
            ServiceShape {
                name: "dispatch",
                targets: 6,
                slots: 6,
                mean_us: 30_000.0,
                tail: ServiceTimes::Pareto(2.5),
                classes: vec![
                    class("ramp-slot", 0.5, 200, 100, false),
                    class("route-plan", 0.5, 3_000, 2_000, true),
                ],
            },
        ],
    }
}
