//! Time after which a starting instance expects to be ready. Addresses callers with one retry that come
//! back before the instance can serve them, or long after.

/// Shortest and longest time that a caller is told, in milliseconds.
const RANGE_MS: (u64, u64) = (100, 1_000);
/// Margin for the steps after the last one that is known, in milliseconds.
const MARGIN_MS: u64 = 50;

/// What a starting instance already has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum StartStage {
    /// Nothing: no other instance has answered.
    #[default]
    Nothing,
    /// An answer of an instance that has no snapshot to give yet.
    Answer,
    /// A snapshot in progress, from an instance that is ready.
    Snapshot,
}

impl StartStage {
    /// Returns the usual time until an instance is ready, in milliseconds: from the start, or from the
    /// request for a snapshot in progress. Without an answer, an instance reads the store after at most 300 ms;
    /// after an answer, others are about to have read it.
    fn usual_ms(self) -> u64 {
        match self {
            Self::Nothing => 350,
            Self::Answer => 250,
            Self::Snapshot => 150,
        }
    }
}

/// Returns the time after which an instance that started `since_ms` ago and has got to `stage` at
/// `stage_ms` after its start expects to be ready, in milliseconds. Once the usual time is over, the
/// wait grows with the time that it has taken: the store is down or slow.
#[must_use]
pub fn expected_ready_ms(since_ms: u64, stage_ms: u64, stage: StartStage) -> u64 {
    let usual_ms = match stage {
        StartStage::Snapshot => stage_ms.saturating_add(stage.usual_ms()),
        _ => stage.usual_ms(),
    };
    let left_ms = if since_ms < usual_ms {
        usual_ms - since_ms + MARGIN_MS
    } else {
        since_ms / 2
    };
    left_ms.clamp(RANGE_MS.0, RANGE_MS.1)
}

#[cfg(test)]
mod tests;
