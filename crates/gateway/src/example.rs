//! Settings and state of an instance for tests.

use std::rc::Rc;

use balance::{LatencyEstimate, Load, Route, TargetEntry, resources::Listener};
use h1::{Decoded, Request, RequestDecoder, RequestLimits};
use model::{ServiceName, TargetId, Version, Zone};

use crate::{
    entries_update::EntriesUpdate, request::ArrivedRequest, selection::SelectedTarget,
    settings::Settings, state::State,
};

/// Valid settings file.
pub const EXAMPLE: &str = r#"
instance = "edge-a-1"
zone = "a"
callers = "10.1.0.35:8144"
ready = "10.1.0.35:8140"
directory = "10.1.0.35:8143"
peer = "10.1.0.35:7660"
metrics = "10.1.0.35:7661"
store = "10.200.1.7:8142"
seeds = ["10.1.0.35:8146"]
stop_s = 6
retry_ratio = 0.2
retry_slack = 60
retry_window_s = 10
probes_per_s = 60
"#;

/// Returns the settings of the example.
pub fn settings() -> Settings {
    Settings::parse("example", EXAMPLE).expect("the example is valid")
}

/// Returns the state of an instance that has just started, with a bandwidth of `link_mbps`.
pub fn state(link_mbps: f64) -> Rc<State> {
    State::new(Settings {
        link_mbps,
        ..settings()
    })
}

/// Returns an idempotent route.
pub fn route() -> Route {
    Route {
        name: "r".into(),
        host: "h".into(),
        path_prefix: "/".into(),
        split: vec![],
        idempotent: true,
        max_attempts: 2,
        timeout_ms: 1_000,
        objective_ms: 300,
        priority: 1,
        access: balance::Access::default(),
    }
}

/// Returns an idle target as it is selected for a request.
pub fn selected(id: TargetId, version: Version) -> SelectedTarget {
    SelectedTarget {
        id,
        born: 1,
        addr: ([10, 0, 0, 1], 80).into(),
        slowdown_percent: 100,
        report_age_us: 0,
        estimate: LatencyEstimate {
            latency_ms: 1.0,
            slot_free: true,
        },
        version,
        limit: None,
    }
}

/// Adds a target of the service `s` with four slots, of which `running` are busy.
pub fn put_target(state: &State, id: &str, zone: &str, running: u32) {
    let now = state.now();
    let id = TargetId::new(id);
    let mut targets = state.targets.borrow_mut();
    let entry = TargetEntry {
        id: id.clone(),
        service: ServiceName::new("s"),
        addr: ([127, 0, 0, 1], 1).into(),
        zone: Zone::new(zone),
        version: Version::new("v1"),
        slots: 4,
        draining: false,
        cold_ms: 0,
        born: 1,
    };
    targets.put(entry, now);
    let load = Load {
        running,
        waiting: 0,
        slots: 4,
        slowdown_percent: 100,
        reported_at: now,
    };
    targets.get_mut(&id).expect("it was put").record_load(load);
}

/// Returns an update without changes.
pub fn update(from: u64, next: u64, end: u64) -> EntriesUpdate {
    EntriesUpdate {
        age_ms: 0,
        forward_to: vec![],
        era: 0,
        from,
        next,
        end,
        changes: vec![],
    }
}

/// Returns a request that has arrived now. `bytes` are its head and body.
pub fn arrived(state: &State, bytes: &str) -> ArrivedRequest {
    let now = state.now();
    let open = state.resources.open(Listener::Callers, now);
    ArrivedRequest {
        frame: None,
        message: Rc::new(decoded(bytes)),
        arrived: now,
        held: Rc::new(open.expect("there is room").hold()),
        refusal: None,
    }
}

fn decoded(bytes: &str) -> Request {
    let limits = RequestLimits {
        head_bytes: 4_096,
        body_bytes: 100,
    };
    match RequestDecoder::default().decode(&mut bytes.as_bytes().to_vec(), limits) {
        Ok(Decoded::Complete(request)) => *request,
        other => panic!("{other:?}"),
    }
}
