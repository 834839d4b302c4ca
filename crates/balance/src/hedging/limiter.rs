//! Limiter of hedges to a share of a service's idempotent requests, over all instances. Addresses
//! targets that turn slow at once: without it, each instance would double its requests.
//!
//! A request earns `share` of an allowance of one hedge. An instance spends what its own requests earn.
//! What it does not use within a few seconds, it gives up and reports; the others get equal parts of
//! the sums that collectors tell. Each allowance is spent at most once, whoever spends it. The hedges of
//! all instances therefore stay below `share` times the requests of all since their start, also when
//! words are late or lost, and what a killed instance has not used is lost with it.

use std::collections::VecDeque;

use model::Time;

/// Mean time for which an unused allowance is kept before it is given up, in microseconds.
const KEEP_US: f64 = 3_000_000.0;
/// Allowance that is always kept, so that an instance with few requests can hedge one of them.
const KEPT: f64 = 1.0;
/// Window over which allowances that were given up are reported, in microseconds.
const WINDOW_US: u64 = 15_000_000;
/// Length of a slice of that window, in microseconds.
const SLICE_US: u64 = 500_000;
/// Fraction of the reported allowances that the others get. A report counts for up to 2.5 s at a
/// collector, and its word for as long after it arrives: an allowance is handed out for 20 s instead of
/// 15 s, and for longer by as much as the word was late. Up to 5 s late, it is spent at most once.
const HANDED_FRACTION: f64 = 0.6;
/// Longest time for which one call hands out allowances of others, in microseconds.
const MAX_HANDED_US: u64 = 1_000_000;

/// Allowance of this instance for hedges to one service.
#[derive(Clone, Debug)]
pub struct HedgeLimiter {
    share: f64,
    /// Allowance that own requests have earned.
    own: f64,
    /// Allowance from what other instances gave up.
    received: f64,
    updated: Time,
    /// Time until which allowances of others were handed out here.
    received_until: Time,
    /// Allowance that was given up, by slice.
    given_up: VecDeque<(Time, f64)>,
}

impl HedgeLimiter {
    /// Returns a limiter that allows `share` of the requests.
    #[must_use]
    pub fn new(share: f64, now: Time) -> Self {
        Self {
            share,
            own: 0.0,
            received: 0.0,
            updated: now,
            received_until: now,
            given_up: VecDeque::new(),
        }
    }

    /// Records an idempotent request.
    pub fn record_request(&mut self, now: Time) {
        self.expire(now);
        self.own += self.share;
    }

    /// Adds this instance's part of what the others gave up in the last 15 s, as a collector has told
    /// (`others_unused`, in allowances). `instances` share it. Time beyond a second since the last
    /// call brings nothing.
    pub fn receive(&mut self, now: Time, others_unused: f64, instances: usize) {
        self.expire(now);
        let passed_us = now.since_us(self.received_until).min(MAX_HANDED_US) as f64;
        self.received_until = now;
        let rate_per_us = others_unused / WINDOW_US as f64 / instances.max(1) as f64;
        self.received += rate_per_us * passed_us * HANDED_FRACTION;
    }

    /// Takes the allowance of one hedge. Returns whether there was one.
    pub fn take(&mut self, now: Time) -> bool {
        self.expire(now);
        // What others gave up is lost if it is not used, so it goes first.
        if self.own + self.received < 1.0 {
            return false;
        }
        let from_received = self.received.min(1.0);
        self.received -= from_received;
        self.own -= 1.0 - from_received;
        true
    }

    /// Returns the allowance of a hedge that was not sent.
    pub fn refund(&mut self) {
        self.own += 1.0;
    }

    /// Returns what this instance gave up in the last 15 s, in thousandths of an allowance.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the value is positive and the conversion saturates"
    )]
    pub fn unused_milli(&mut self, now: Time) -> u32 {
        self.expire(now);
        let sum: f64 = self.given_up.iter().map(|(_, unused)| unused).sum();
        (sum * 1_000.0) as u32
    }

    /// Returns the hedges that could be sent now.
    #[must_use]
    pub fn available(&self) -> f64 {
        self.own + self.received
    }

    /// Gives up what was not used for long.
    fn expire(&mut self, now: Time) {
        let passed_us = now.since_us(self.updated) as f64;
        self.updated = now;
        let fraction = 1.0 - (-passed_us / KEEP_US).exp();
        let unused = (self.own - KEPT).max(0.0) * fraction;
        self.own -= unused;
        self.received -= (self.received - KEPT).max(0.0) * fraction;
        while self
            .given_up
            .front()
            .is_some_and(|(at, _)| now.since_us(*at) >= WINDOW_US)
        {
            self.given_up.pop_front();
        }
        match self.given_up.back_mut() {
            Some((at, sum)) if now.since_us(*at) < SLICE_US => *sum += unused,
            _ if unused > 0.0 => self.given_up.push_back((now, unused)),
            _ => {}
        }
    }
}
