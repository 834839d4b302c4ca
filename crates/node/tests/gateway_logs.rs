//! Gateway processes over stand-ins of the platform: three kinds of failed request, each of whose causes
//! must be told by the logs, and output that nobody reads.

use std::{path::Path, time::Duration};

use async_std::task;
use testkit::fleet::{FleetRig, RigSpec, TargetFault, send};

async fn rig() -> FleetRig {
    let spec = RigSpec {
        instances: 2,
        targets: 3,
        processing_ms: 20,
    };
    FleetRig::start(Path::new(env!("CARGO_BIN_EXE_hibiscusway")), spec)
        .await
        .unwrap()
}

/// Time for lines to reach the file.
const WRITE: Duration = Duration::from_millis(400);

/// Lines of the first instance that hold all `words`.
async fn lines(rig: &FleetRig, words: &[&str]) -> usize {
    task::sleep(WRITE).await;
    let text = rig.instances[0].log_text().unwrap();
    text.lines()
        .filter(|line| words.iter().all(|w| line.contains(w)))
        .count()
}

/// A request that is refused although targets are free, because the operator took their zones out.
#[test]
fn refused_request_leads_to_zones_out() {
    task::block_on(async {
        let rig = rig().await;
        for zone in ["a", "b", "c"] {
            rig.store.put("keyed.op", &format!("evacuate/{zone}"), "{}");
        }
        task::sleep(Duration::from_secs(1)).await;
        let request = rig.request(true);
        let answer = send(rig.instances[0].caller_addr(), &request).await;
        assert_eq!(answer.status(), 503);
        let id = format!("id={}", request.id);
        assert_eq!(lines(&rig, &[&id, "event=refused", "code=3003"]).await, 1);
        assert_eq!(lines(&rig, &["event=zone_out"]).await, 3);
    });
}

/// A write that is answered 502 because its target closed the connection after it ran.
#[test]
fn unknown_outcome_leads_to_target() {
    task::block_on(async {
        let rig = rig().await;
        for target in &rig.targets {
            target.set_fault(TargetFault::LoseAnswer);
        }
        let request = rig.request(true);
        let answer = send(rig.instances[0].caller_addr(), &request).await;
        assert_eq!(answer.status(), 502);
        let ran = rig
            .targets
            .iter()
            .find(|t| t.run_counts().contains_key(&request.id))
            .unwrap();
        let id = format!("id={}", request.id);
        let target = format!("target_id={}", ran.id());
        assert_eq!(
            lines(&rig, &[&id, "event=sent", &target, "load_age_us="]).await,
            1
        );
        let lost = format!("{}:lost", ran.id());
        assert_eq!(
            lines(&rig, &[&id, "event=refused", "code=4001", &lost]).await,
            1
        );
    });
}

/// A write that is late because its target took far longer than expected.
#[test]
fn late_request_leads_to_slow_target() {
    task::block_on(async {
        let rig = rig().await;
        for target in &rig.targets {
            target.set_fault(TargetFault::Mute);
        }
        let request = rig.request(true);
        let answer = send(rig.instances[0].caller_addr(), &request).await;
        assert_eq!(answer.status(), 504);
        let id = format!("id={}", request.id);
        assert_eq!(lines(&rig, &[&id, "event=sent", "expected_ms="]).await, 1);
        assert_eq!(
            lines(&rig, &[&id, "event=refused", "code=4002", ":timeout:"]).await,
            1
        );
    });
}

/// Guards against requests that wait for a reader of the logs.
#[test]
fn unread_output_holds_up_no_request() {
    task::block_on(async {
        let mut rig = rig().await;
        for instance in &mut rig.instances {
            instance.restart_with_unread_output().unwrap();
        }
        while !rig.all_ready().await {
            task::sleep(Duration::from_millis(50)).await;
        }
        // A pipe holds 64 KB; each request writes about 500 bytes.
        let sent = rig.send_many(700, Duration::from_millis(5)).await;
        let late = &sent[500..];
        let served = late.iter().filter(|(r, a)| a.is_served(&r.id)).count();
        assert_eq!(served, late.len());
    });
}
