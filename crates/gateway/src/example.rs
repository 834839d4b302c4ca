//! Settings and state of an instance for tests.

use std::rc::Rc;

use crate::{entries_update::EntriesUpdate, settings::Settings, state::State};

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
