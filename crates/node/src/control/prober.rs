//! Checks whether silent targets accept connections again. Only the owner of a target probes it.

use std::{net::SocketAddr, time::Duration};

use async_std::{future::timeout, net::TcpStream, task};
use model::{TargetId, Time};
use policy::TargetState;

use crate::control::{ControlEvent, thread::Control};

/// Interval between two rounds of probes, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 1_000;
/// Maximum number of targets in one round. One connection per second takes about 1 ms of a target's
/// time, that is 0.1%.
const MAX_PROBES: usize = 16;
/// Time limit for opening a probe's connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// Probes the silent targets that this instance owns.
pub fn probe_silent(control: &mut Control, now: Time) {
    if now < control.probe_at {
        return;
    }
    control.probe_at = now.plus_ms(PROBE_INTERVAL_MS);
    let silent = silent_targets(control);
    if silent.is_empty() {
        return;
    }
    let events = control.ctx.control.clone();
    let cancel = control.cancel.clone();
    task::spawn(async move {
        cancel.run(probe_all(silent, events)).await;
    });
}

fn silent_targets(control: &Control) -> Vec<(TargetId, SocketAddr)> {
    let me = &control.ctx.settings.instance;
    let snapshot = control.ctx.snapshot.load();
    let targets = snapshot.services.values().flat_map(|s| &s.view.targets);
    targets
        .filter(|t| t.state == TargetState::Silent && t.owner == *me)
        .map(|t| (t.id.clone(), t.addr))
        .take(MAX_PROBES)
        .collect()
}

async fn probe_all(
    targets: Vec<(TargetId, SocketAddr)>,
    events: async_std::channel::Sender<ControlEvent>,
) {
    let mut responded = Vec::new();
    let mut failed = Vec::new();
    for (target, addr) in targets {
        match timeout(PROBE_TIMEOUT, TcpStream::connect(addr)).await {
            Ok(Ok(_)) => responded.push(target),
            _ => failed.push(target),
        }
    }
    let _ = events
        .send(ControlEvent::TargetResults { responded, failed })
        .await;
}
