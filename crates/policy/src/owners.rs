//! Selects the owners of a service's targets by rendezvous hashing. All instances with the same
//! instance list compute the same result.

use model::{InstanceId, Region, ServiceName, TargetId, Zone, rendezvous, rendezvous_rank};

/// Fewest owner instances of a service in a region. With two, one may fail.
const MIN_OWNERS: usize = 2;

/// Returns the instances among which the targets of a service in one region are divided: the
/// highest-ranked live instance of each availability zone, followed by further instances in rank
/// order if these are fewer than two.
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
    let mut owners = Vec::new();
    let mut rest = Vec::new();
    for id in ids {
        let zone = zone_of(id);
        if zones.contains(&zone) {
            rest.push(id);
        } else {
            zones.push(zone);
            owners.push(id);
        }
    }
    let missing = MIN_OWNERS.saturating_sub(owners.len());
    owners.extend(rest.into_iter().take(missing));
    owners.into_iter().map(InstanceId::new).collect()
}

/// Returns the owner of a target: the highest-ranked owner instance in the target's availability
/// zone, or of all if that zone has none. Returns `None` if `owners` is empty. `zone_of` returns
/// the availability zone of an instance.
#[must_use]
pub fn owner_of(
    target: &TargetId,
    zone: &Zone,
    owners: &[InstanceId],
    zone_of: impl Fn(&InstanceId) -> Option<Zone>,
) -> Option<InstanceId> {
    let local: Vec<&InstanceId> = owners
        .iter()
        .filter(|o| zone_of(o).as_ref() == Some(zone))
        .collect();
    let candidates: Vec<&InstanceId> = if local.is_empty() {
        owners.iter().collect()
    } else {
        local
    };
    candidates
        .into_iter()
        .max_by_key(|o| (rendezvous(target.as_str(), o.as_str()), o.as_str()))
        .cloned()
}

#[cfg(test)]
mod tests;
