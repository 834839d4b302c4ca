//! Errors of a cluster.

use node::NodeError;
use store::StoreError;
use thiserror::Error;

/// An error of a cluster operation.
#[derive(Debug, Error)]
pub enum ClusterError {
    /// An instance did not start.
    #[error("instance {id}: {error}")]
    Start {
        /// Id of the instance.
        id: String,
        /// Cause.
        error: NodeError,
    },
    /// The settings that the cluster wrote for an instance were rejected.
    #[error("settings of an instance: {0}")]
    Settings(String),
    /// A record could not be encoded.
    #[error("record: {0}")]
    Record(#[from] wire::WireError),
    /// The log service did not append a record.
    #[error("log service: {0}")]
    Log(#[from] StoreError),
    /// No free port was left.
    #[error("no free loopback port: {0}")]
    Port(#[from] std::io::Error),
    /// Some instances did not reach a log offset in time.
    #[error("{behind} instances had not reached offset {offset} after {waited_ms} ms")]
    Behind {
        /// Number of instances that had not reached the offset.
        behind: usize,
        /// Offset that was awaited.
        offset: u64,
        /// Time waited, in milliseconds.
        waited_ms: u128,
    },
}
