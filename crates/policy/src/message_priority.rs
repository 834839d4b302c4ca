//! Priority of a message, which decides how much of the message budget it may use.

/// Priority of a message. Part of the burst is reserved for messages of higher priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MessagePriority {
    /// The message returns slots or hands targets over.
    Essential,
    /// The message requests or grants slots.
    Normal,
    /// The message recalls a loan because calls of the lender wait. Without it the borrower goes on
    /// using the loan, which needs no messages.
    Optional,
}

impl MessagePriority {
    /// Returns the share of the burst that is reserved for messages of higher priority.
    pub(crate) const fn reserved_share(self) -> f64 {
        match self {
            Self::Essential => 0.0,
            Self::Normal => 0.25,
            Self::Optional => 0.5,
        }
    }
}
