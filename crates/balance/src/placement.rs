//! Placement of callers: the instances that the directory names to the callers of an availability
//! zone.
//!
//! Load pattern: an availability zone is taken out of service, or loses most of its targets. Its
//! instances then send nearly every request to targets of other zones, and bytes between zones are
//! expensive. Callers are directed to instances near the targets instead, as far as their own zone
//! lacks room.
//!
//! All instances decide alike from the entries and orders that they share. The shares follow the room
//! without steps, and instances are chosen by hash, so that a target more or less changes few
//! addresses.

mod candidate;
mod room;

pub use self::{candidate::PlacementCandidate, room::ZoneRoom};

use std::{collections::BTreeMap, net::SocketAddr};

use model::{Zone, rendezvous};

/// Fraction of the mean room of a zone from which all callers of a zone stay there. Zones usually
/// differ in size by less than that.
const LOCAL_ROOM_FRACTION: f64 = 0.5;
/// Least share of the callers that a zone gets. Below it, one instance would get more than the share.
const MIN_SHARE: f64 = 0.02;

/// Returns the addresses for callers in `zone`: those of instances there, as far as the targets there
/// have room, and of instances in other zones in proportion to the room there. Callers choose among
/// them at random. Without any room, returns the instances in `zone`. If there is none in `zone`, returns
/// all instances of zones with room, or just all.
#[must_use]
pub fn place_callers(
    zone: &str,
    room: &ZoneRoom,
    candidates: &[PlacementCandidate<'_>],
) -> Vec<SocketAddr> {
    let mut by_zone: BTreeMap<&Zone, Vec<&PlacementCandidate<'_>>> = BTreeMap::new();
    for candidate in candidates {
        by_zone.entry(candidate.zone).or_default().push(candidate);
    }
    if !by_zone.keys().any(|z| z.as_str() == zone) {
        return all_with_room(room, candidates);
    }
    let shares = zone_shares(zone, room, by_zone.keys().copied());
    if shares.is_empty() {
        return all_with_room(room, candidates);
    }
    // Callers choose uniformly, so the number of instances of each zone is in proportion to its share.
    let scale = shares
        .iter()
        .map(|(zone, share)| by_zone[zone].len() as f64 / share)
        .fold(f64::INFINITY, f64::min);
    let mut addresses = Vec::new();
    for (target_zone, share) in shares {
        let mut instances = by_zone.remove(target_zone).unwrap_or_default();
        let count = instance_count(scale * share);
        if count < instances.len() {
            instances.sort_by_cached_key(|c| rendezvous(zone, c.name.as_str()));
            instances.truncate(count);
        }
        addresses.extend(instances.iter().map(|c| c.addr));
    }
    addresses
}

/// Returns the addresses of all instances in zones with room, or of all instances if no zone has room.
fn all_with_room(room: &ZoneRoom, candidates: &[PlacementCandidate<'_>]) -> Vec<SocketAddr> {
    let has_room = |c: &&PlacementCandidate<'_>| room.slots(c.zone) > 0.0;
    let is_any = candidates.iter().any(|c| has_room(&c));
    let chosen = candidates.iter().filter(|c| !is_any || has_room(c));
    chosen.map(|c| c.addr).collect()
}

/// Returns the shares of the callers in `zone` by the zone of the instances that serve them. `ready`
/// are the zones that have instances, `zone` among them.
fn zone_shares<'a>(
    zone: &str,
    room: &ZoneRoom,
    ready: impl Iterator<Item = &'a Zone>,
) -> Vec<(&'a Zone, f64)> {
    let (own, others): (Vec<&Zone>, Vec<&Zone>) = ready.partition(|z| z.as_str() == zone);
    let elsewhere: f64 = others.iter().map(|z| room.slots(z)).sum();
    let relative = own.iter().map(|z| room.relative(z)).sum::<f64>();
    let local = if elsewhere > 0.0 {
        (relative / LOCAL_ROOM_FRACTION).min(1.0)
    } else {
        1.0
    };
    let share_of = |z: &Zone| (1.0 - local) * room.slots(z) / elsewhere.max(1.0);
    let own = own.into_iter().map(|z| (z, local));
    let others = others.into_iter().map(|z| (z, share_of(z)));
    own.chain(others)
        .filter(|(_, share)| *share >= MIN_SHARE)
        .collect()
}

/// Returns a number of instances, at least 1.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "at least 1 and at most the number of instances"
)]
fn instance_count(count: f64) -> usize {
    count.round().max(1.0) as usize
}

#[cfg(test)]
mod tests;
