//! Records that a cluster appends directly to the log instead of calling the administration API.

use std::time::{SystemTime, UNIX_EPOCH};

use model::{OperatorName, Wall};
use store::LogClient;
use wire::{Body, Record};

use super::ClusterError;

/// Appends a record and returns its offset.
pub(super) async fn append_record(client: &LogClient, body: Body) -> Result<u64, ClusterError> {
    let at = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let record = Record {
        id: format!("testkit-{}", at.as_nanos()),
        author: OperatorName::new("testkit"),
        at: Wall(u64::try_from(at.as_millis()).unwrap_or(u64::MAX)),
        body,
    };
    Ok(client.append(vec![record.encode()?]).await?)
}
