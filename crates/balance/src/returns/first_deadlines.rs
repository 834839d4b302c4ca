//! How much time callers have left when they first send a request, by route. A caller that returns states
//! less time than that.
//!
//! Addresses first-time requests that take the room of returning ones of the same kind. An attempt has a
//! new id, but it states the time that its caller has left.

use std::{collections::HashMap, sync::Arc};

use model::Time;

/// Time after which an earlier longest time no longer counts, in microseconds.
const WINDOW_US: u64 = 5_000_000;
/// Difference up to which stated times count as equal, in milliseconds. Shorter than the shortest time
/// after which a caller is told to return, and longer than delays on the way.
const TOLERANCE_MS: u64 = 30;

#[derive(Clone, Copy, Debug)]
struct Longest {
    since: Time,
    current_ms: u64,
    previous_ms: u64,
}

/// Longest stated time of each route in the latest two windows.
#[derive(Clone, Debug, Default)]
pub struct FirstDeadlines {
    routes: HashMap<Arc<str>, Longest>,
}

impl FirstDeadlines {
    /// Records that a request of `route` states `left_ms`. Returns how long ago its caller has first
    /// sent it, in milliseconds: 0 if it seems to be the first time.
    pub fn record(&mut self, route: &Arc<str>, left_ms: u64, now: Time) -> u64 {
        let longest = self.routes.entry(Arc::clone(route)).or_insert(Longest {
            since: now,
            current_ms: left_ms,
            previous_ms: 0,
        });
        if now.since_us(longest.since) >= WINDOW_US {
            *longest = Longest {
                since: now,
                current_ms: left_ms,
                previous_ms: longest.current_ms,
            };
        }
        longest.current_ms = longest.current_ms.max(left_ms);
        let waited_ms = longest.current_ms.max(longest.previous_ms) - left_ms;
        if waited_ms > TOLERANCE_MS {
            waited_ms
        } else {
            0
        }
    }

    /// Removes the routes for which `is_known` is false.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.routes.retain(|route, _| is_known(route));
    }
}
