//! Documents, records and list entries of deployments of chosen sizes.

use std::{error::Error, fmt::Write as _};

use model::{OperatorName, Tenant, Wall};
use state::{Members, State};
use wire::{Body, EntryKind, EntryState, ListAnswer, ListEntry, Record};

/// Availability zones of one region.
const ZONES: [&str; 4] = [
    "sk-central-a",
    "sk-central-b",
    "sk-central-c",
    "sk-central-d",
];
const REGION: &str = "region-1";
/// Tenants that share the services.
const TENANTS: usize = 3;

/// Name of the service with a number.
pub fn service(number: usize) -> String {
    format!("service-{number:02}")
}

/// A document of `services` with two classes each, numbered from `first`.
fn document(first: usize, services: usize) -> String {
    let mut text = String::new();
    for number in first..first + services {
        let name = service(number);
        let _ = write!(
            text,
            "[[service]]\nname = \"{name}\"\nversion = \"v1\"\n\n\
             [[service.class]]\nname = \"confirmation\"\ntarget_ms = 60\ndelay_ms = 20\nidempotent = false\n\n\
             [[service.class]]\nname = \"bulk\"\ntarget_ms = 2000\ndelay_ms = 1000\nidempotent = true\n\n"
        );
    }
    text
}

/// Lines of `count` accepted documents: the tenants publish in turn, and their documents name
/// `services` in total. The first record gets offset `first`.
pub fn document_lines(
    count: usize,
    services: usize,
    first: u64,
) -> Result<Vec<String>, Box<dyn Error>> {
    let each = services.div_ceil(TENANTS);
    let mut bases = [0; TENANTS];
    let mut lines = Vec::new();
    for number in 0..count {
        let tenant = number % TENANTS;
        let from = (tenant * each).min(services);
        let record = Record {
            id: format!("proposal-{number:06}"),
            author: OperatorName::new("ana.moreira"),
            at: Wall(1_796_342_400_000 + number as u64),
            body: Body::Config {
                tenant: Tenant::new(&format!("tenant-{tenant}")),
                base: bases[tenant],
                text: document(from, each.min(services - from)),
            },
        };
        bases[tenant] = first + number as u64;
        lines.push(record.encode()?);
    }
    Ok(lines)
}

/// The state after `lines`.
pub fn fold(lines: &[String]) -> Result<State, Box<dyn Error>> {
    let mut state = State::default();
    for line in lines {
        let applied = state.apply(state.next_offset(), line);
        if !applied.is_accepted() {
            return Err(format!("{}: {}", applied.code, applied.detail).into());
        }
    }
    Ok(state)
}

/// List entry of an instance.
pub fn instance(number: usize) -> ListEntry {
    ListEntry {
        id: format!("entry-{number:02}"),
        kind: EntryKind::Entry,
        zone: ZONES[number % ZONES.len()].into(),
        region: REGION.into(),
        addr: ([10, 0, 0, number as u8], 8_080).into(),
        peer: Some(([10, 0, 0, number as u8], 8_081).into()),
        service: None,
        version: None,
        slots: None,
        state: EntryState::Live,
        incarnation: 1_796_342_400_000,
    }
}

/// List entry of a target, of which the services have equally many.
pub fn target(number: usize, services: usize) -> ListEntry {
    ListEntry {
        id: format!("target-{number:04}"),
        kind: EntryKind::Upstream,
        // Nothing listens there. Targets that no call is sent to are not connected to.
        addr: ([127, 0, 0, 1], 9).into(),
        peer: None,
        service: Some(service(number % services).as_str().into()),
        version: Some("v1".into()),
        slots: Some(6),
        ..instance(number % ZONES.len())
    }
}

/// An answer of the instance list.
pub fn list(targets: usize, instances: usize, services: usize) -> ListAnswer {
    let entries = (0..instances).map(instance);
    let targets = (0..targets).map(|n| target(n, services));
    ListAnswer {
        version: 1,
        entries: entries.chain(targets).collect(),
    }
}

/// Membership after one poll, with names of its own.
pub fn members(answer: &[u8], now: model::Time) -> Result<Members, Box<dyn Error>> {
    let answer: ListAnswer = serde_json::from_slice(answer)?;
    let mut members = Members::new(&instance(0), now);
    members.apply_list(now, &answer);
    members.view(now);
    Ok(members)
}
