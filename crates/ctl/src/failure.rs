//! Why a command failed.

use model::{Code, ConfigError};
use thiserror::Error;
use wire::ErrorBody;

use crate::exit::Exit;

/// A failed command.
#[derive(Debug, Error)]
pub enum Failure {
    /// Wrong arguments, or a file or token that cannot be used.
    #[error("{0}")]
    Usage(String),
    /// The document has errors.
    #[error("{}", lines(.0))]
    Document(Vec<ConfigError>),
    /// The API refused the request.
    #[error("{}: {}", .0.code, .0.detail)]
    Refused(ErrorBody),
    /// No address gave a usable answer.
    #[error("no administration address gave a usable answer: {0}")]
    Unreachable(String),
    /// A proposal was sent but no address answered; it may have been accepted.
    #[error("proposal {id}: no answer, it may have been accepted: {detail}")]
    Unanswered {
        /// Proposal id.
        id: String,
        /// What each address reported.
        detail: String,
    },
    /// An answer could not be understood.
    #[error("answer not understood: {0}")]
    Malformed(String),
}

impl Failure {
    /// Exit code of the program.
    pub fn exit(&self) -> Exit {
        match self {
            Self::Usage(_) => Exit::Usage,
            Self::Document(_) => Exit::Rejected,
            Self::Refused(body) => exit_of(body.code),
            Self::Unreachable(_) | Self::Unanswered { .. } => Exit::Unreachable,
            Self::Malformed(_) => Exit::Malformed,
        }
    }

    /// Result code, if the failure has one.
    pub fn code(&self) -> Option<Code> {
        match self {
            Self::Document(errors) => errors.first().map(|e| e.code),
            Self::Refused(body) => Some(body.code),
            _ => None,
        }
    }

    /// Proposal whose outcome is open, if there is one.
    pub fn proposal(&self) -> Option<&str> {
        match self {
            Self::Unanswered { id, .. } => Some(id),
            _ => None,
        }
    }
}

/// Exit code that stands for a result code.
pub fn exit_of(code: Code) -> Exit {
    match code {
        Code::Accepted => Exit::Done,
        Code::Pending => Exit::Pending,
        Code::Forbidden | Code::Unauthenticated => Exit::Forbidden,
        _ => Exit::Rejected,
    }
}

fn lines(errors: &[ConfigError]) -> String {
    let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
