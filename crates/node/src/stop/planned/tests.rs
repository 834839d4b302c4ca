//! The check that a planned stop cuts no call fires.

use super::*;
use crate::fixtures::context;

#[test]
fn stop_planned_counts_cut_calls() {
    task::block_on(async {
        let ctx = context("stop_ms = 20\n");
        // The instance has already left, so that only the end of its calls is awaited.
        ctx.progress.begin_leaving();
        let call = ctx.progress.start_call();
        assert_eq!(stop_planned(&ctx).await, Stopped::TimedOut { calls: 1 });
        assert_eq!(ctx.metrics.violations(), 1);
        drop(call);
        assert_eq!(stop_planned(&ctx).await, Stopped::Complete);
        assert_eq!(ctx.metrics.violations(), 1);
    });
}
