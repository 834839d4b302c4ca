//! What a refused caller is told. Lets an operator compare the promise with what became of it.

/// Time at which a refused caller is told to return, and why then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Promise {
    /// Time from now, in milliseconds.
    pub retry_ms: u32,
    /// Room in that slot for requests of this kind, in milliseconds of work.
    pub room_ms: u64,
    /// Claims to that slot at all instances, this one included, in milliseconds of work.
    pub claims_ms: u64,
}
