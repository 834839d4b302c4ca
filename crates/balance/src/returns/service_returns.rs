//! Return order of one service at one instance. Addresses overload by requests of several kinds that share
//! the targets of the service.

use model::Time;

use super::{
    ask::Ask,
    choice::Choice,
    claims::Claims,
    demand::Demand,
    gate::Gate,
    promise::Promise,
    room::Room,
    slot::{SLOT_MS, slot_of},
};

/// Largest part of the room of a slot that is promised to the most urgent priority. The second gets half of it,
/// the third a third, so that slots far ahead stay free until the more urgent callers can reach them.
const MOST_PROMISED: f64 = 0.7;
/// The same if there are requests that cannot wait, which need the rest.
const MOST_PROMISED_BESIDE: f64 = 0.45;
/// Part of the room that may be promised, and that is kept for returning callers, whatever more urgent
/// requests need.
const LEAST_PROMISED: f64 = 0.1;
/// The same for a kind that is starved.
const STARVED_PROMISED: f64 = 0.25;
/// Smallest share of the requests of a service that an instance is taken to have.
const MIN_SHARE: f64 = 0.001;

/// Room, claims and demand of a service, as one instance knows them.
#[derive(Clone, Debug, Default)]
pub struct ServiceReturns {
    room: Room,
    share: f64,
    claims: Claims,
    demand: Demand,
    gate: Gate,
    updated_at: Time,
    /// Claims on the current slot that the gate knows.
    due_ms: f64,
}

impl ServiceReturns {
    /// Advances to `now`, with the current room of the service and the part of its requests that
    /// this instance has.
    pub fn update(&mut self, now: Time, room: Room, share: f64) {
        let share = if share.is_finite() { share } else { 1.0 };
        (self.room, self.share) = (room, share.clamp(MIN_SHARE, 1.0));
        let elapsed_ms = now.since_us(self.updated_at) as f64 / 1_000.0;
        let slot = slot_of(now);
        let passed = slot.saturating_sub(slot_of(self.updated_at));
        self.updated_at = now.max(self.updated_at);
        self.gate.fill(self.own_room_ms(), elapsed_ms);
        let due_ms = self.claims.expected(slot, self.share) * self.share;
        if passed > 0 {
            self.demand.decay(passed);
            self.claims.expire(slot);
            self.gate.begin_slot(due_ms);
        } else {
            self.gate.add_due(due_ms - self.due_ms);
        }
        self.due_ms = due_ms;
    }

    /// Returns the claims of this instance for a report.
    pub fn report(&mut self, now: Time) -> Vec<u32> {
        self.claims.expire(slot_of(now));
        self.claims.report(now)
    }

    /// Records the sums of the claims of all instances, which a collector made at `made`.
    pub fn record_sums(&mut self, sums: &[u32], made: Time) {
        self.claims.record_sums(sums, made);
    }

    /// Counts a request once when it arrives.
    pub fn record_arrival(&mut self, ask: &Ask) {
        if ask.is_return && ask.kind.can_wait {
            self.gate.record_shown(ask.work_ms);
        } else if !ask.is_return {
            self.demand.offer(ask.kind, ask.work_ms, ask.reach_ms());
        }
    }

    /// Returns whether there is room for a request, with that of returning callers and of more urgent
    /// requests left free. While the service has room for all, there always is.
    #[must_use]
    pub fn has_room(&self, ask: &Ask) -> bool {
        if !self.room.is_short || self.expects(ask) {
            return true;
        }
        if self.demand.is_starved(ask.kind, ask.work_ms) {
            return true;
        }
        !self.demand.yields(ask.kind, ask.work_ms) && self.gate.has_room(self.kept_ms(ask))
    }

    /// Returns whether a caller is one of those that were told to return now.
    #[must_use]
    pub fn expects(&self, ask: &Ask) -> bool {
        let may_be_due = ask.is_return || !self.gate.tells_returns();
        ask.kind.can_wait && may_be_due && self.gate.expects(ask.work_ms)
    }

    /// Counts a request that is sent to a target.
    pub fn record_admission(&mut self, ask: &Ask) {
        if self.expects(ask) {
            self.gate.settle(ask.work_ms);
        }
        self.gate.take(ask.work_ms);
        if !(ask.is_return && ask.kind.can_wait) {
            self.demand.serve(ask.kind, ask.work_ms);
        }
    }

    /// Returns when the caller of a refused request is to return, and claims room for it then; `None`
    /// if there is none that it can use. `draw` is a random number from 0 to 1.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the values are positive and the conversions saturate"
    )]
    pub fn promise(&mut self, now: Time, ask: &Ask, draw: f64) -> Option<Promise> {
        if self.demand.yields(ask.kind, ask.work_ms)
            && !self.demand.is_starved(ask.kind, ask.work_ms)
        {
            return None;
        }
        let room_ms = self.promised_room_ms(ask);
        let claims_ms = |slot| self.claims.expected(slot, self.share);
        let choice = Choice {
            now,
            wait_ms: self.room.wait_ms(ask.work_ms),
            room_ms,
            claims_ms: &claims_ms,
            share: self.share,
            draw,
            reach_ms: self.demand.reach_ms(ask.kind),
        };
        let (slot, retry_ms) = choice.earliest(ask)?;
        self.claims.add(slot, ask.work_ms);
        if !ask.is_return {
            self.demand.serve(ask.kind, ask.work_ms);
        }
        let claims_ms = self.claims.expected(slot, self.share);
        Some(Promise {
            retry_ms: retry_ms as u32,
            room_ms: room_ms as u64,
            claims_ms: claims_ms as u64,
        })
    }

    /// Returns the claims on the current slot at all instances, in milliseconds of work.
    #[must_use]
    pub fn claims_ms(&self, now: Time) -> f64 {
        self.claims.expected(slot_of(now), self.share)
    }

    fn own_room_ms(&self) -> f64 {
        self.room.work_ms * self.share
    }

    /// Returns the room of a slot that may be promised to requests of this kind: what is left by those
    /// that go first.
    fn promised_room_ms(&self, ask: &Ask) -> f64 {
        let room_ms = self.room.work_ms;
        let ahead = self.demand.priorities_ahead(ask.kind);
        let most = if self.demand.any_cannot_wait() {
            MOST_PROMISED_BESIDE
        } else {
            MOST_PROMISED
        };
        let most_ms = room_ms * most / (1 + ahead) as f64;
        let is_starved = self.demand.is_starved(ask.kind, ask.work_ms);
        let least = if is_starved {
            STARVED_PROMISED
        } else {
            LEAST_PROMISED
        };
        let ahead_ms = self.demand.ahead_ms(ask.kind) / self.share;
        (room_ms - ahead_ms).min(most_ms).max(room_ms * least)
    }

    /// Returns the room that a first-time request leaves free at this instance.
    fn kept_ms(&self, ask: &Ask) -> f64 {
        let kept_ms = self.gate.kept_ms();
        if ask.kind.rank == 0 && !ask.kind.can_wait {
            return kept_ms.min(self.own_room_ms() * LEAST_PROMISED);
        }
        let left_ms = SLOT_MS as f64 - (self.updated_at.0 / 1_000 % SLOT_MS) as f64;
        kept_ms + self.demand.ahead_ms(ask.kind) * left_ms / SLOT_MS as f64
    }
}
