//! Instances that have said that they know more of the operator's records than this one. Any of them may have
//! ended, or be slow, when it is asked; the others are kept for that case.

use std::{collections::BTreeMap, net::SocketAddr};

use model::Time;

use crate::Position;

/// Time for which the word of a peer counts, in milliseconds: more than two digests of a large fleet.
const KEPT_MS: u64 = 3_000;

/// What a peer that knows more of the operator's records than this instance has said.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerAhead {
    /// Address for other instances.
    pub addr: SocketAddr,
    /// Whether it has read more records. Otherwise only its configuration in force is newer, which
    /// the store may have lost.
    pub has_records: bool,
    /// Position of the next record that it reads.
    pub next: Position,
    /// Time as of which there was none.
    pub as_of: Time,
    /// Version of its configuration in force.
    pub config_version: u64,
}

/// The latest word of each peer that is ahead.
#[derive(Clone, Debug, Default)]
pub struct AheadPeers {
    peers: BTreeMap<SocketAddr, Word>,
}

#[derive(Clone, Copy, Debug)]
struct Word {
    peer: PeerAhead,
    heard: Time,
    /// Time of the latest failed call since the first word that is kept.
    failed: Option<Time>,
}

impl AheadPeers {
    /// Records the word of a peer.
    pub fn record(&mut self, peer: PeerAhead, now: Time) {
        self.peers.retain(|_, word| word.is_recent(now));
        let failed = self.peers.get(&peer.addr).and_then(|word| word.failed);
        let word = Word {
            peer,
            heard: now,
            failed,
        };
        self.peers.insert(peer.addr, word);
    }

    /// Records that a call to a peer has failed.
    pub fn record_failure(&mut self, addr: SocketAddr, now: Time) {
        if let Some(word) = self.peers.get_mut(&addr) {
            word.failed = Some(now);
        }
    }

    /// Returns the peers that know more than an instance that reads the record at `next` next and has the
    /// configuration `config_version`, in the order in which to ask them: those that have not failed, or whose
    /// failure is the longest ago, then those that know most.
    #[must_use]
    pub fn to_ask(&self, next: Position, config_version: u64, now: Time) -> Vec<PeerAhead> {
        let is_ahead = |word: &&Word| {
            let peer = word.peer;
            word.is_recent(now) && (peer.next > next || peer.config_version > config_version)
        };
        let mut words: Vec<&Word> = self.peers.values().filter(is_ahead).collect();
        words.sort_by_key(|word| (word.failed, std::cmp::Reverse(word.peer.next)));
        words.iter().map(|word| word.peer).collect()
    }
}

impl Word {
    fn is_recent(&self, now: Time) -> bool {
        now.since_us(self.heard) < KEPT_MS * 1_000
    }
}

#[cfg(test)]
mod tests;
