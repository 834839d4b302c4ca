//! What an instance tells of its response to a request that another one has forwarded through it.

use h1::Response;
use model::{ALL_CODES, Code, TargetId};

/// Header line of a response with the encoded reply.
pub const REPLY_HEADER: &str = "Forward-Reply";

/// Where a response to a forwarded request comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// A target has answered.
    Target {
        /// Its name.
        id: TargetId,
        /// Start of its process, as in its entry.
        born: u64,
    },
    /// The instance itself has refused the request, or got no response.
    Refused(Code),
}

impl Reply {
    /// Returns the value of the header line.
    pub fn encode(&self) -> String {
        match self {
            Self::Target { id, born } => format!("target {born} {id}"),
            Self::Refused(code) => format!("code {}", code.number()),
        }
    }

    /// Returns the reply in a response, if there is one.
    pub fn of(response: &Response) -> Option<Self> {
        let value = response.headers.single_value(REPLY_HEADER)?;
        match value.split_once(' ')? {
            ("target", rest) => {
                let (born, id) = rest.split_once(' ')?;
                Some(Self::Target {
                    id: TargetId::new(id),
                    born: born.parse().ok()?,
                })
            }
            ("code", number) => {
                let number: u16 = number.parse().ok()?;
                let code = ALL_CODES.iter().find(|code| code.number() == number);
                code.copied().map(Self::Refused)
            }
            _ => None,
        }
    }
}
