//! Room of the targets by availability zone.

use std::collections::BTreeMap;

use model::Zone;

/// Slots of the targets that may get requests, by availability zone, over all services.
#[derive(Clone, Debug, Default)]
pub struct ZoneRoom {
    slots: BTreeMap<Zone, f64>,
}

impl ZoneRoom {
    /// Adds a target of `zone`. One that gets no requests adds no slots, but its zone counts.
    pub fn add(&mut self, zone: &Zone, slots: u32) {
        match self.slots.get_mut(zone) {
            Some(sum) => *sum += f64::from(slots),
            None => {
                self.slots.insert(zone.clone(), f64::from(slots));
            }
        }
    }

    /// Returns the slots in `zone`.
    #[must_use]
    pub fn slots(&self, zone: &Zone) -> f64 {
        self.slots.get(zone).copied().unwrap_or_default()
    }

    /// Returns the slots in `zone` relative to the mean of all zones with targets; 1 if there are none.
    #[must_use]
    pub fn relative(&self, zone: &Zone) -> f64 {
        let total: f64 = self.slots.values().sum();
        if total <= 0.0 {
            return 1.0;
        }
        self.slots(zone) * self.slots.len() as f64 / total
    }
}
