//! Test fixtures: the context of an instance and a target. Nothing listens on their addresses.

use std::sync::Arc;

use async_std::channel::unbounded;
use model::Settings;
use policy::{TargetState, TargetView};

use crate::context::Context;

/// Returns the context of instance `i-1`, with `extra` lines in its settings.
pub fn context(extra: &str) -> Arc<Context> {
    let text = format!(
        "instance = \"i-1\"\nzone = \"a\"\nregion = \"r\"\nlisten = \"127.0.0.1:1\"\n\
         peer = \"127.0.0.1:2\"\nadmin = \"127.0.0.1:3\"\nlog = \"127.0.0.1:4\"\n\
         list = \"127.0.0.1:5\"\n{extra}"
    );
    let (control, _) = unbounded();
    Context::new(Settings::parse("test", &text).unwrap(), control)
}

/// Returns a usable target of 3 slots that `i-1` owns.
pub fn target() -> TargetView {
    TargetView {
        id: "t-1".into(),
        incarnation: 1,
        addr: ([127, 0, 0, 1], 1).into(),
        zone: "a".into(),
        region: "r".into(),
        version: "v1".into(),
        slots: 3,
        state: TargetState::Usable,
        owner: "i-1".into(),
    }
}
