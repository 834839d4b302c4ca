//! Home instances of a service and owners of its targets, by rendezvous hashing. All instances with
//! the same membership view compute the same result.

use model::{InstanceId, Region, ServiceName, TargetId, Zone, rendezvous, rendezvous_rank};

/// Fewest home instances of a service in a region, so that one may fail.
const MIN_HOMES: usize = 2;

/// Home instances of a service among the live instances of one region: the highest-ranked of each
/// availability zone, and more by rank until there are two. In rank order.
#[must_use]
pub fn owner_instances(
    service: &ServiceName,
    region: &Region,
    live: &[(InstanceId, Zone, Region)],
) -> Vec<InstanceId> {
    let local: Vec<_> = live.iter().filter(|(_, _, r)| r == region).collect();
    let mut ids: Vec<&str> = local.iter().map(|(id, _, _)| id.as_str()).collect();
    rendezvous_rank(service.as_str(), &mut ids);
    let zone_of = |id: &str| {
        local
            .iter()
            .find(|(i, _, _)| i.as_str() == id)
            .map(|(_, z, _)| z)
    };
    let mut zones = Vec::new();
    let mut homes = Vec::new();
    let mut rest = Vec::new();
    for id in ids {
        let zone = zone_of(id);
        if zones.contains(&zone) {
            rest.push(id);
        } else {
            zones.push(zone);
            homes.push(id);
        }
    }
    let missing = MIN_HOMES.saturating_sub(homes.len());
    homes.extend(rest.into_iter().take(missing));
    homes.into_iter().map(InstanceId::new).collect()
}

/// Owner of a target: the home instance of its availability zone, else the highest-ranked of all
/// homes. `None` if there is no home. `zone_of` gives an instance's availability zone.
#[must_use]
pub fn owner_of(
    target: &TargetId,
    zone: &Zone,
    homes: &[InstanceId],
    zone_of: impl Fn(&InstanceId) -> Option<Zone>,
) -> Option<InstanceId> {
    let local: Vec<&InstanceId> = homes
        .iter()
        .filter(|h| zone_of(h).as_ref() == Some(zone))
        .collect();
    let pool: Vec<&InstanceId> = if local.is_empty() {
        homes.iter().collect()
    } else {
        local
    };
    pool.into_iter()
        .max_by_key(|h| (rendezvous(target.as_str(), h.as_str()), h.as_str()))
        .cloned()
}

#[cfg(test)]
mod tests;
