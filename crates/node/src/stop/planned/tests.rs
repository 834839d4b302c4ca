//! The check that a planned stop cuts no call fires.

use async_std::channel::unbounded;
use model::Settings;

use super::*;

#[test]
fn stop_planned_counts_cut_calls() {
    task::block_on(async {
        let text = "instance = \"i-1\"\nzone = \"a\"\nregion = \"r\"\nlisten = \"127.0.0.1:1\"\n\
                    peer = \"127.0.0.1:2\"\nadmin = \"127.0.0.1:3\"\nlog = \"127.0.0.1:4\"\n\
                    list = \"127.0.0.1:5\"\nstop_ms = 20\n";
        let (control, _) = unbounded();
        let ctx = Context::new(Settings::parse("test", text).unwrap(), control);
        // The instance has already left, so that only the end of its calls is awaited.
        ctx.progress.leave();
        let busy = ctx.progress.start();
        assert_eq!(stop_planned(&ctx).await, Stopped::Cut { calls: 1 });
        assert_eq!(ctx.metrics.violations(), 1);
        drop(busy);
        assert_eq!(stop_planned(&ctx).await, Stopped::Whole);
        assert_eq!(ctx.metrics.violations(), 1);
    });
}
