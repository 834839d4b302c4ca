//! The links to other instances. The control thread replaces all of them at once when membership
//! changes.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use arc_swap::ArcSwap;
use async_std::channel::Sender;
use model::InstanceId;
use wire::PeerMsg;

use crate::Token;

/// The sending side of a stream to a peer.
#[derive(Clone, Debug)]
pub struct Link {
    /// Incarnation of the process that the link was opened for.
    pub incarnation: u64,
    /// Address on which that process listens for peers, as known when the link was opened.
    pub addr: SocketAddr,
    /// Messages to be sent by the link's task.
    pub queue: Sender<PeerMsg>,
    /// Ends the link's task.
    pub cancel: Token,
}

/// Traffic on the streams to and from all peers. Bytes are those of frames, without h2 and TCP
/// headers.
#[derive(Debug, Default)]
pub struct PeerStats {
    /// Messages sent.
    pub sent: AtomicU64,
    /// Bytes sent.
    pub sent_bytes: AtomicU64,
    /// Messages received.
    pub received: AtomicU64,
    /// Bytes received.
    pub received_bytes: AtomicU64,
    /// Messages dropped because a link was missing or its queue full.
    pub dropped: AtomicU64,
}

/// Links by peer.
#[derive(Debug, Default)]
pub struct Peers {
    /// Current links.
    pub links: ArcSwap<BTreeMap<InstanceId, Link>>,
    /// Counters over all links.
    pub stats: PeerStats,
}

impl Peers {
    /// Queues a message for a peer. Without a link, or with a full queue, the message is dropped:
    /// all senders tolerate the loss of messages.
    pub fn send(&self, to: &InstanceId, msg: PeerMsg) {
        let links = self.links.load();
        let sent = links
            .get(to)
            .is_some_and(|link| link.queue.try_send(msg).is_ok());
        if !sent {
            self.stats.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Queues a message for every peer.
    pub fn send_all(&self, msg: &PeerMsg) {
        for id in self.links.load().keys() {
            self.send(id, msg.clone());
        }
    }

    /// Replaces all links.
    pub fn replace(&self, links: BTreeMap<InstanceId, Link>) {
        self.links.store(Arc::new(links));
    }
}
