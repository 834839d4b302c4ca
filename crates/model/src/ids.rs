//! Identifiers as strings that are cheap to clone. Each kind has its own type, so that a zone
//! cannot be passed as a service. Code that reads input from outside checks it with
//! [`is_valid_id`].

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};

/// Longest identifier accepted from outside, in bytes.
pub(crate) const MAX_ID_BYTES: usize = 64;

macro_rules! string_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Wraps `text` without checking it.
            #[must_use]
            pub fn new(text: &str) -> Self {
                Self(text.into())
            }

            /// Returns the identifier as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }

            /// Returns whether the text is a valid identifier, see [`is_valid_id`].
            #[must_use]
            pub fn is_valid(&self) -> bool {
                is_valid_id(&self.0)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&*self.0, f)
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self::new(text)
            }
        }
    };
}

string_id!(
    /// Id of an instance (an entry process of the system).
    InstanceId
);
string_id!(
    /// Name of a service.
    ServiceName
);
string_id!(
    /// Name of a class of work within a service.
    ClassName
);
string_id!(
    /// Id of a target (one upstream process of a service).
    TargetId
);
string_id!(
    /// Label of a version of a service.
    Version
);
string_id!(
    /// Name of an availability zone.
    Zone
);
string_id!(
    /// Name of a region, a group of availability zones near each other.
    Region
);
string_id!(
    /// Name of a tenant (an organisation that owns services in a deployment).
    Tenant
);
string_id!(
    /// Name of an operator (a person or program that uses the administration API).
    OperatorName
);

/// Returns whether `text` has 1 to 64 ASCII letters, digits, `-`, `_` and `.` and starts with a
/// letter or digit.
#[must_use]
pub fn is_valid_id(text: &str) -> bool {
    let bytes = text.as_bytes();
    let Some(first) = bytes.first() else {
        return false;
    };
    bytes.len() <= MAX_ID_BYTES
        && first.is_ascii_alphanumeric()
        && bytes
            .iter()
            .all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(b))
}
