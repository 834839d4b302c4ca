//! Exit codes. They are part of the documented interface.

use std::process::ExitCode;

/// How the program ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The command did what was asked.
    Done = 0,
    /// The document or proposal was rejected.
    Rejected = 1,
    /// Wrong arguments, or a file or token that cannot be used.
    Usage = 2,
    /// Not decided or not reached within the time limit.
    Pending = 3,
    /// No address answered.
    Unreachable = 4,
    /// The operator is unknown or not permitted.
    Forbidden = 5,
    /// An answer could not be understood.
    Malformed = 6,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
