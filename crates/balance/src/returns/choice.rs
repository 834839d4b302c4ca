//! The choice of the time to return. Addresses callers that come back all at once, too early, or too late
//! to be of use.

use model::Time;

use super::{
    ask::Ask,
    slot::{HORIZON, SLOT_MS, slot_of, start_of},
};

/// Shortest time after which a caller is told to return, in milliseconds. Callers that come back sooner cannot
/// be told from others by the time that they state.
const MIN_RETURN_MS: f64 = 40.0;
/// Step between the draws of successive slots, which spreads them evenly.
const GOLDEN_RATIO: f64 = 0.618_034;

/// Slots that a refused caller can be told, and how full they are.
pub struct Choice<'a> {
    /// Current time.
    pub now: Time,
    /// Expected wait of those that wait now, in milliseconds.
    pub wait_ms: f64,
    /// Room of a slot for the kind of the request, in milliseconds of work.
    pub room_ms: f64,
    /// Returns the expected claims on a slot, in milliseconds of work.
    pub claims_ms: &'a dyn Fn(u64) -> f64,
    /// Part of the requests of the service that this instance has.
    pub share: f64,
    /// Longest time ahead for which a request of this kind may claim room, in milliseconds.
    pub reach_ms: f64,
    /// Random number from 0 to 1.
    pub draw: f64,
}

impl Choice<'_> {
    /// Returns the earliest slot with room for `ask`, and the time until its caller returns, in
    /// milliseconds. A slot in which the request still meets its objective goes first; otherwise one
    /// within the caller's reach counts.
    pub fn earliest(&self, ask: &Ask) -> Option<(u64, f64)> {
        let reach_ms = ask.reach_ms().min(ask.latest_ms()).min(self.reach_ms);
        let useful_ms = ask.useful_ms().min(reach_ms);
        self.earliest_by(ask, useful_ms)
            .or_else(|| self.earliest_by(ask, reach_ms))
    }

    fn earliest_by(&self, ask: &Ask, limit_ms: f64) -> Option<(u64, f64)> {
        let first = slot_of(self.now) + 1;
        let slots = first..first + HORIZON as u64 - 1;
        let times = slots.map(|slot| (slot, self.return_ms(slot)));
        let mut useful = times
            .skip_while(|(_, ms)| *ms < self.wait_ms.max(MIN_RETURN_MS))
            .take_while(|(_, ms)| *ms <= limit_ms);
        useful.find(|(slot, _)| self.has_room(*slot, ask))
    }

    /// Returns whether this instance may claim room in `slot`. If its part of the free room is less than
    /// one request, it does so with that probability, so that many small instances do not all claim the
    /// same slot.
    fn has_room(&self, slot: u64, ask: &Ask) -> bool {
        let free_ms = self.room_ms - (self.claims_ms)(slot);
        let draw = (self.draw + slot as f64 * GOLDEN_RATIO).fract();
        free_ms > 0.0 && free_ms * self.share >= draw * ask.work_ms
    }

    /// Returns the time until the caller returns in `slot`, in milliseconds. The callers of a slot are
    /// spread over it in the order of their claims.
    fn return_ms(&self, slot: u64) -> f64 {
        let start_ms = start_of(slot).since_us(self.now) as f64 / 1_000.0;
        let filled = ((self.claims_ms)(slot) / self.room_ms).clamp(0.0, 0.99);
        start_ms + filled * SLOT_MS as f64
    }
}
