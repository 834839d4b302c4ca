//! Instances with little processor time whose callers send more than they can answer.

use std::{path::Path, time::Duration};

use async_std::task;
use testkit::fleet::{Crowd, FleetRig, RigSpec, Throttle};

/// Time within which the platform requires a configuration to be in force.
const APPLY_TIMEOUT: Duration = Duration::from_secs(2);
/// Time in which the instances of a rig find each other.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// Share of a core of the smallest machines.
const CPU_SHARE: f64 = 0.1;
/// Connections of callers that send all the time.
const CALLERS: usize = 400;

/// Guards against an instance whose reads of the store and of other instances end by their time limits
/// because they wait behind the requests of callers.
#[test]
fn configuration_is_applied_beside_pressing_callers() {
    let spec = RigSpec {
        instances: 6,
        targets: 3,
        processing_ms: 20,
    };
    task::block_on(async {
        let binary = Path::new(env!("CARGO_BIN_EXE_hibiscusway"));
        let rig = FleetRig::start(binary, spec).await.unwrap();
        task::sleep(SETTLE_TIME).await;
        let pressed = &rig.instances[5];
        let _throttle = Throttle::start(pressed.id(), CPU_SHARE);
        let crowd = Crowd::start(pressed.caller_addr(), CALLERS);
        let longest = rig
            .longest_apply(pressed, &[], APPLY_TIMEOUT)
            .await
            .unwrap();
        crowd.end().await;
        assert!(longest < APPLY_TIMEOUT, "{longest:?}");
    });
}
