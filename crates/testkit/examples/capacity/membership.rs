//! Membership and the views made from it, against targets and instances.

use std::{collections::BTreeSet, error::Error, hint::black_box};

use model::{Time, Wall};
use state::{MembersView, State, ViewInput, Views, views};
use wire::ListAnswer;

use crate::{
    process::{bytes_each, in_fresh_process},
    report::{Report, time_us},
    world::{document_lines, fold, instance, list, members},
};

/// Services of the largest deployment.
const SERVICES: usize = 33;
/// Memberships held at once while memory is measured.
const COPIES: usize = 33;
const NOW: Time = Time(1_000_000);

pub fn measure(report: Report) -> Result<(), Box<dyn Error>> {
    let state = fold(&document_lines(3, SERVICES, 1)?)?;
    for targets in [62, 250, 730, 1_460] {
        measure_size(report, &state, targets, 16)?;
    }
    for instances in [32, 64] {
        measure_size(report, &state, 730, instances)?;
    }
    Ok(())
}

fn measure_size(
    report: Report,
    state: &State,
    targets: usize,
    instances: usize,
) -> Result<(), Box<dyn Error>> {
    let size = format!("{targets} targets, {instances} instances");
    let row = |name, unit, rounds: &[f64]| report.row("members", name, &size, unit, rounds);
    let answer = list(targets, instances, SERVICES);
    let json = serde_json::to_vec(&answer)?;
    row("bytes of a list answer", "B", &[json.len() as f64]);
    let memory = in_fresh_process("probe-members", targets, instances)?;
    row("memory of membership", "B", &[memory]);
    let mut kept = members(&json, NOW)?;
    let view = kept.view(NOW);
    let memory = in_fresh_process("probe-views", targets, instances)?;
    row("memory of views", "B", &[memory]);
    let viewed = time_us(5, || {
        black_box(make_views(state, &view));
    });
    row("time of state::views", "us", &viewed);
    let read = time_us(20, || {
        let _ = black_box(serde_json::from_slice::<ListAnswer>(&json));
    });
    row("time to decode a list answer", "us", &read);
    let polled = time_us(50, || {
        black_box(kept.apply_list(NOW, &answer));
    });
    row("time of Members::poll", "us", &polled);
    let looked = time_us(50, || {
        black_box(kept.view(NOW));
    });
    row("time of Members::view", "us", &looked);
    Ok(())
}

fn make_views(state: &State, members: &MembersView) -> Views {
    let me = instance(0);
    views(ViewInput {
        fold: state.fold(),
        members,
        me: &me.id.as_str().into(),
        zone: &me.zone,
        region: &me.region,
        facts: &BTreeSet::new(),
        wall: Wall(0),
    })
}

/// Bytes of a membership after one poll, names included.
pub fn probe_members(targets: usize, instances: usize) -> Result<f64, Box<dyn Error>> {
    let json = serde_json::to_vec(&list(targets, instances, SERVICES))?;
    Ok(bytes_each(COPIES, || members(&json, NOW))?)
}

/// Bytes of the views of all services, which share their names with the membership.
pub fn probe_views(targets: usize, instances: usize) -> Result<f64, Box<dyn Error>> {
    let state = fold(&document_lines(3, SERVICES, 1)?)?;
    let json = serde_json::to_vec(&list(targets, instances, SERVICES))?;
    let view = members(&json, NOW)?.view(NOW);
    Ok(bytes_each(COPIES, || make_views(&state, &view))?)
}
