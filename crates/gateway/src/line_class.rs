//! Classes of log lines, each with its own limit.

use tracing::{Level, Metadata};

/// Target of the lines about single requests.
pub const REQUESTS: &str = "request";

/// Class of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineClass {
    /// A request that went as expected.
    Request,
    /// A change of what the instance knows, a phase of the process, or a failure of the instance.
    Belief,
    /// A request that failed, was refused or late.
    Warning,
}

impl LineClass {
    /// All classes, in the order of their numbers.
    pub const ALL: [Self; 3] = [Self::Request, Self::Belief, Self::Warning];

    /// Returns the class of the lines from one place in the code.
    pub fn of(metadata: &Metadata<'_>) -> Self {
        if metadata.target() != REQUESTS {
            // Thousands of refusals in a second must not drop the reason for them.
            Self::Belief
        } else if *metadata.level() <= Level::WARN {
            Self::Warning
        } else {
            Self::Request
        }
    }

    /// Returns the name of the class in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::Belief => "belief",
            Self::Warning => "warning",
        }
    }

    /// Returns the share of all lines in a second that the class may use.
    pub fn share(self) -> f64 {
        match self {
            Self::Request => 0.5,
            Self::Belief | Self::Warning => 0.25,
        }
    }

    /// Returns how many seconds' worth of lines may be written at once.
    pub fn burst_s(self) -> f64 {
        match self {
            Self::Request => 1.0,
            // Hundreds of targets can change at the same moment.
            Self::Belief => 12.0,
            Self::Warning => 2.0,
        }
    }
}
