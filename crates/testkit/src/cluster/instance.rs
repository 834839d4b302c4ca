//! An instance of a cluster.

use std::{fmt::Write as _, net::SocketAddr};

use model::Settings;
use node::{Node, Token};

use super::ClusterError;
use crate::free_addr;

/// An instance that runs in this process or was killed.
#[derive(Debug)]
pub struct Instance {
    /// Instance id.
    pub id: String,
    /// Availability zone.
    pub zone: String,
    /// Address for calls.
    pub addr: SocketAddr,
    /// Address of the administration API.
    pub admin: SocketAddr,
    /// The running instance; `None` once killed.
    pub node: Option<Node>,
}

impl Instance {
    pub(super) async fn start(
        id: &str,
        zone: &str,
        log: SocketAddr,
        list: SocketAddr,
        cancel: &Token,
    ) -> Result<Self, ClusterError> {
        let text = settings_text(id, zone, log, list, free_addrs()?);
        let settings = parse_settings(id, &text)?;
        let (addr, admin) = (settings.listen, settings.admin);
        let started = Box::pin(Node::start(settings, cancel)).await;
        let node = started.map_err(|error| ClusterError::Start {
            id: id.to_owned(),
            error,
        })?;
        Ok(Self {
            id: id.to_owned(),
            zone: zone.to_owned(),
            addr,
            admin,
            node: Some(node),
        })
    }

    /// Ends the instance immediately, as the crash of a process would. Its entry stays in the list.
    pub fn kill(&mut self) {
        if let Some(node) = self.node.take() {
            node.kill();
        }
    }

    /// Returns whether the instance has not been killed.
    #[must_use]
    pub const fn is_running(&self) -> bool {
        self.node.is_some()
    }
}

fn parse_settings(id: &str, text: &str) -> Result<Settings, ClusterError> {
    Settings::parse(id, text).map_err(|errors| {
        let mut all = String::new();
        for error in errors {
            let _ = write!(all, "{error}; ");
        }
        ClusterError::Settings(all)
    })
}

/// Returns the settings file of an instance that listens for calls, peers and operators on the
/// given addresses.
pub(crate) fn settings_text(
    id: &str,
    zone: &str,
    log: SocketAddr,
    list: SocketAddr,
    [listen, peer, admin]: [SocketAddr; 3],
) -> String {
    format!(
        "instance = \"{id}\"\nzone = \"{zone}\"\nregion = \"region-1\"\nlisten = \"{listen}\"\n\
         peer = \"{peer}\"\nadmin = \"{admin}\"\nlog = \"{log}\"\nlist = \"{list}\"\n"
    )
}

/// Returns three addresses with free loopback ports.
pub(crate) fn free_addrs() -> std::io::Result<[SocketAddr; 3]> {
    Ok([free_addr()?, free_addr()?, free_addr()?])
}
