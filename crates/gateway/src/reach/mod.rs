//! Records which targets this instance can connect to, and checks on them while it seems cut off.

mod check;
mod record;

pub use self::record::{has_targets, record_contact, record_silent, record_unreachable};
