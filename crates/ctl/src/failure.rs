//! The errors of commands, and the exit code for each.

use model::{Code, ConfigError};
use thiserror::Error;
use wire::ErrorBody;

use crate::exit::Exit;

/// The reason why a command failed.
#[derive(Debug, Error)]
pub enum Failure {
    /// The arguments are wrong, or a file or the token cannot be used.
    #[error("{0}")]
    Usage(String),
    /// The configuration document has errors.
    #[error("{}", join_lines(.0))]
    Document(Vec<ConfigError>),
    /// The API refused the request.
    #[error("{}: {}", .0.code, .0.detail)]
    Refused(ErrorBody),
    /// No administration address gave a usable response.
    #[error("no administration address gave a usable answer: {0}")]
    Unreachable(String),
    /// A proposal was sent, but no address gave a usable response. It may have been accepted.
    #[error("proposal {id}: no answer, it may have been accepted: {detail}")]
    Unanswered {
        /// Proposal id.
        id: String,
        /// The error of each address.
        detail: String,
    },
    /// A response could not be parsed.
    #[error("answer not understood: {0}")]
    Malformed(String),
}

impl Failure {
    /// Returns the exit code of the program for this failure.
    pub fn exit(&self) -> Exit {
        match self {
            Self::Usage(_) => Exit::Usage,
            Self::Document(_) => Exit::Rejected,
            Self::Refused(body) => exit_of(body.code),
            Self::Unreachable(_) | Self::Unanswered { .. } => Exit::Unreachable,
            Self::Malformed(_) => Exit::Malformed,
        }
    }

    /// Returns the result code, if the failure has one.
    pub fn code(&self) -> Option<Code> {
        match self {
            Self::Document(errors) => errors.first().map(|e| e.code),
            Self::Refused(body) => Some(body.code),
            _ => None,
        }
    }

    /// Returns the id of the proposal whose outcome is unknown, if there is one.
    pub fn proposal_id(&self) -> Option<&str> {
        match self {
            Self::Unanswered { id, .. } => Some(id),
            _ => None,
        }
    }
}

/// Returns the exit code for a result code.
pub fn exit_of(code: Code) -> Exit {
    match code {
        Code::Accepted => Exit::Done,
        Code::Pending => Exit::Pending,
        Code::Forbidden | Code::Unauthenticated => Exit::Forbidden,
        _ => Exit::Rejected,
    }
}

fn join_lines(errors: &[ConfigError]) -> String {
    let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
