//! Requests near crashes of targets. A request that crashes each target that runs it comes again and
//! is refused once enough targets have crashed under it.

use std::collections::HashMap;

use model::Time;

use crate::{Crash, CrashAge, CrashReport, Suspicion};

/// Crashes of different processes after which a request is confirmed to cause them. One or two also
/// happen to a sound request that is retried while targets fail for another reason.
const CONFIRMING_CRASHES: usize = 3;
/// Most crashes kept for a request.
const MAX_CRASHES: usize = 6;
/// Most requests kept, which bounds the memory that callers with ever new requests can take.
const MAX_KEYS: usize = 1_024;
/// Time after the latest crash for which an unconfirmed request stays suspected, in microseconds.
const SUSPECTED_US: u64 = 60_000_000;
/// Time after the latest crash for which a confirmed request is refused, in microseconds. By then the
/// targets may have got a version that bears it.
const HELD_US: u64 = 600_000_000;
/// Time after that for which one more crash confirms it again, in microseconds. One target is at
/// stake then, not three.
const PROBATION_US: u64 = 600_000_000;

/// What is known of one request.
#[derive(Clone, Debug, Default)]
struct Suspect {
    /// Crashes of different processes, by time.
    crashes: Vec<Crash>,
    /// Time of the latest success. Crashes before it had another cause.
    cleared_at: Option<Time>,
}

impl Suspect {
    fn latest(&self) -> Time {
        let times = self.crashes.iter().map(|crash| crash.at);
        times.chain(self.cleared_at).max().unwrap_or_default()
    }

    /// Returns which crashes came one after the other: those of processes to which the request was sent
    /// after the one before had crashed. Many requests are in progress at several targets when these
    /// fail at once.
    fn chain(&self) -> impl Iterator<Item = bool> {
        let mut latest = None;
        self.crashes.iter().map(move |crash| {
            let follows = latest.is_none_or(|at| crash.sent >= at);
            if follows {
                latest = Some(crash.at);
            }
            follows
        })
    }

    fn chain_len(&self) -> usize {
        self.chain().filter(|follows| *follows).count()
    }

    fn is_confirmable(&self) -> bool {
        self.chain_len() >= CONFIRMING_CRASHES
    }

    /// Whether `other` was in progress at all processes that crashed while they ran this request.
    fn is_covered_by(&self, other: &Self) -> bool {
        let has = |crash: &Crash| other.crashes.iter().any(|c| c.process == crash.process);
        other.is_confirmable() && self.crashes.iter().all(has)
    }

    fn kept_us(&self) -> u64 {
        if self.is_confirmable() || self.crashes.is_empty() {
            HELD_US + PROBATION_US
        } else {
            SUSPECTED_US
        }
    }

    /// Adds a crash. Returns whether it is news.
    fn add(&mut self, crash: Crash) -> bool {
        let is_known = self.crashes.iter().any(|c| c.process == crash.process);
        if is_known || self.cleared_at.is_some_and(|cleared| crash.at <= cleared) {
            return false;
        }
        self.crashes.push(crash);
        self.crashes.sort_by_key(|crash| crash.at);
        if self.crashes.len() > MAX_CRASHES {
            let spare = self.chain().position(|follows| !follows);
            self.crashes.remove(spare.unwrap_or_default());
        }
        self.crashes.contains(&crash)
    }

    /// Forgets crashes up to `at`. Returns whether there were any.
    fn clear(&mut self, at: Time) -> bool {
        self.cleared_at = self.cleared_at.max(Some(at));
        let before = self.crashes.len();
        self.crashes.retain(|crash| crash.at > at);
        self.crashes.len() < before
    }
}

/// Requests near crashes, by key. Crashes that other instances report are added to those seen here;
/// each process counts once, whoever reports it and how often.
#[derive(Clone, Debug, Default)]
pub struct CrashSuspects {
    suspects: HashMap<u64, Suspect>,
}

impl CrashSuspects {
    /// Whether no request is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns the number of requests that are known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns what is known of the request `key`.
    #[must_use]
    pub fn suspicion(&self, key: u64, now: Time) -> Suspicion {
        let Some(suspect) = self.suspects.get(&key) else {
            return Suspicion::Clear;
        };
        let age_us = now.since_us(suspect.latest());
        if suspect.crashes.is_empty() || age_us >= suspect.kept_us() {
            return Suspicion::Clear;
        }
        if suspect.is_confirmable() && age_us < HELD_US && !self.is_covered(key, suspect) {
            return Suspicion::Confirmed {
                left_us: HELD_US - age_us,
            };
        }
        let crashes = suspect.chain_len().min(CONFIRMING_CRASHES - 1);
        Suspicion::Suspected { crashes }
    }

    /// Whether all crashes under the request are explained by another one that may be confirmed. After a
    /// crash the requests that were in progress there often meet again at the next target.
    fn is_covered(&self, key: u64, suspect: &Suspect) -> bool {
        let others = self.suspects.iter().filter(|(other, _)| **other != key);
        let mut others = others.map(|(_, other)| other);
        others.any(|other| suspect.is_covered_by(other))
    }

    /// Records a crash of a target while it ran the request `key`. Returns whether it is news.
    pub fn record_crash(&mut self, key: u64, crash: Crash, now: Time) -> bool {
        let suspect = self.entry(key, 1, now);
        suspect.is_some_and(|suspect| suspect.add(crash))
    }

    /// Records that a target has run the request `key` and responded at `at`. Returns whether that
    /// clears it of a crash.
    pub fn record_success(&mut self, key: u64, at: Time) -> bool {
        let suspect = self.suspects.get_mut(&key);
        suspect.is_some_and(|suspect| suspect.clear(at))
    }

    /// Applies what another instance knows of a request. Returns whether it is news.
    pub fn apply(&mut self, report: &CrashReport, now: Time) -> bool {
        let crashes = &report.crashes[..report.crashes.len().min(MAX_CRASHES)];
        let Some(suspect) = self.entry(report.key, crashes.len(), now) else {
            return false;
        };
        let cleared_at = report.cleared_us.map(|age_us| now.0.saturating_sub(age_us));
        let mut is_news = cleared_at.is_some_and(|at| suspect.clear(Time(at)));
        for crash in crashes {
            is_news |= suspect.add(crash.at(now));
        }
        is_news
    }

    /// Returns what is known of the request `key`, to be told to other instances.
    #[must_use]
    pub fn report(&self, key: u64, now: Time) -> Option<CrashReport> {
        let suspect = self.suspects.get(&key)?;
        let crashes = suspect.crashes.iter();
        Some(CrashReport {
            key,
            cleared_us: suspect.cleared_at.map(|at| now.since_us(at)),
            crashes: crashes.map(|crash| CrashAge::of(crash, now)).collect(),
        })
    }

    /// Returns what is known of all requests, for a starting instance.
    #[must_use]
    pub fn reports(&self, now: Time) -> Vec<CrashReport> {
        let keys = self.suspects.keys();
        keys.filter_map(|key| self.report(*key, now)).collect()
    }

    /// Returns the keys of confirmed requests.
    pub fn confirmed(&self, now: Time) -> impl Iterator<Item = u64> {
        let keys = self.suspects.keys().copied();
        keys.filter(move |key| self.suspicion(*key, now).left_us().is_some())
    }

    /// Forgets requests whose crashes were long ago.
    pub fn sweep(&mut self, now: Time) {
        self.suspects
            .retain(|_, suspect| now.since_us(suspect.latest()) < suspect.kept_us());
    }

    /// Returns what is known of `key`, which has `crashes` or more, after forgetting what is over.
    /// Returns `None` if there is no room for it.
    fn entry(&mut self, key: u64, crashes: usize, now: Time) -> Option<&mut Suspect> {
        let known = self.suspects.get(&key);
        if known.is_some_and(|s| now.since_us(s.latest()) >= s.kept_us()) {
            self.suspects.remove(&key);
        }
        let has_room = self.make_room(key, crashes, now);
        has_room.then(|| self.suspects.entry(key).or_default())
    }

    /// Makes room for `key`, which would have `crashes`, by forgetting the oldest of the requests with
    /// the fewest crashes. Returns `false` if all others have more crashes.
    fn make_room(&mut self, key: u64, crashes: usize, now: Time) -> bool {
        if self.suspects.len() < MAX_KEYS || self.suspects.contains_key(&key) {
            return true;
        }
        self.sweep(now);
        if self.suspects.len() < MAX_KEYS {
            return true;
        }
        let rank = |suspect: &Suspect| (suspect.crashes.len(), suspect.latest());
        let least = self.suspects.iter().min_by_key(|(_, s)| rank(s));
        let Some((least, count)) = least.map(|(key, s)| (*key, s.crashes.len())) else {
            return true;
        };
        let has_room = count <= crashes;
        if has_room {
            self.suspects.remove(&least);
        }
        has_room
    }
}

#[cfg(test)]
mod tests;
