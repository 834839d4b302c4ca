//! Exit codes of the program, which are part of its documented interface.

use std::process::ExitCode;

/// The exit code of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded.
    Done = 0,
    /// The document, proposal or request was rejected, or what the command looked for was not found.
    Rejected = 1,
    /// The arguments are wrong, or a file or the token cannot be used.
    Usage = 2,
    /// The proposal was not decided, or the offset was not in force everywhere, within the time limit.
    Pending = 3,
    /// No administration address gave a usable response.
    Unreachable = 4,
    /// The operator is unknown or not permitted.
    Forbidden = 5,
    /// A response could not be parsed.
    Malformed = 6,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
