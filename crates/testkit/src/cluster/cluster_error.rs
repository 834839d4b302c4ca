//! Why a cluster could not do what was asked.

use node::NodeError;
use store::StoreError;
use thiserror::Error;

/// Why a cluster could not do what was asked.
#[derive(Debug, Error)]
pub enum ClusterError {
    /// An instance did not start.
    #[error("instance {id}: {error}")]
    Start {
        /// The instance.
        id: String,
        /// Why.
        error: NodeError,
    },
    /// The settings made for an instance were rejected.
    #[error("settings of an instance: {0}")]
    Settings(String),
    /// A record could not be encoded.
    #[error("record: {0}")]
    Record(#[from] wire::WireError),
    /// The log service did not take a record.
    #[error("log service: {0}")]
    Log(#[from] StoreError),
    /// No free port was left.
    #[error("no free loopback port: {0}")]
    Port(#[from] std::io::Error),
    /// Instances did not follow the log in time.
    #[error("{behind} instances had not reached offset {offset} after {waited_ms} ms")]
    Behind {
        /// Instances that had not.
        behind: usize,
        /// The offset.
        offset: u64,
        /// Time waited, in milliseconds.
        waited_ms: u128,
    },
}
