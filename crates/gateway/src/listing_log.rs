//! Logs the items of a listing of the store that cannot be read.

use platform::{Newest, Topic};
use tracing::warn;

/// Logs in one line how many items of a listing cannot be read, and why the first one cannot.
pub fn log_unreadable(topic: Topic, newest: &Newest) {
    if let Some(error) = newest.unreadable.first() {
        let count = newest.unreadable.len();
        warn!(event = "items_unreadable", ?topic, count, %error);
    }
}
