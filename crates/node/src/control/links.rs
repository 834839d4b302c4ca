//! Keeps one link to each peer.

use std::collections::BTreeMap;

use model::rendezvous;
use state::InstanceView;

use crate::{
    control::thread::Control,
    peer::{Link, spawn_link},
};

/// Maximum number of peers of an instance. Heartbeats to 32 peers take about 1.5 KB/s of the 9 KB/s for control.
const MAX_PEERS: usize = 32;

/// Opens links to new instances and closes those to instances that are gone. The link to
/// a silent instance is kept and tries to reconnect.
pub fn update(control: &mut Control) {
    let now = control.ctx.clock.now();
    let members = control.members.view(now);
    let wanted = choose(control, &members.instances);
    let old = control.ctx.peers.links.load_full();
    let same = old.len() == wanted.len()
        && wanted
            .iter()
            .all(|i| old.get(&i.id).is_some_and(|l| is_link_to(l, i)));
    if same {
        return;
    }
    let mut links = BTreeMap::new();
    for peer in wanted {
        let Some(addr) = peer.peer else {
            continue;
        };
        let kept = old.get(&peer.id).filter(|l| is_link_to(l, peer));
        let link = kept.cloned().unwrap_or_else(|| {
            spawn_link(
                &control.ctx,
                &control.cancel,
                &peer.id,
                addr,
                peer.incarnation,
            )
        });
        links.insert(peer.id.clone(), link);
    }
    for (id, link) in old.iter() {
        if links
            .get(id)
            .is_none_or(|l| l.incarnation != link.incarnation || l.addr != link.addr)
        {
            link.cancel.cancel();
        }
    }
    control.ctx.peers.replace(links);
}

/// Returns whether the link leads to the current process of a peer. A heartbeat may announce a new
/// process before the instance list has its address.
fn is_link_to(link: &Link, peer: &InstanceView) -> bool {
    link.incarnation == peer.incarnation && Some(link.addr) == peer.peer
}

/// Returns all other instances, or the [`MAX_PEERS`] with the highest [`pair_weight`].
fn choose<'a>(control: &Control, instances: &'a [InstanceView]) -> Vec<&'a InstanceView> {
    let me = &control.ctx.settings.instance;
    let mut peers: Vec<&InstanceView> = instances
        .iter()
        .filter(|i| i.id != *me && i.peer.is_some())
        .collect();
    if peers.len() > MAX_PEERS {
        peers.sort_by_key(|i| std::cmp::Reverse(pair_weight(me.as_str(), i.id.as_str())));
        peers.truncate(MAX_PEERS);
    }
    peers
}

/// Returns the rendezvous weight of two instances. It does not depend on their order, so that two
/// instances mostly choose each other.
fn pair_weight(a: &str, b: &str) -> u64 {
    rendezvous(a.min(b), a.max(b))
}
