//! Logs of gateway processes that run against stand-ins of the platform's services: the log lines
//! of a failed request must lead to its cause, and log output that nobody reads must not delay
//! requests.

use std::{path::Path, time::Duration};

use async_std::task;
use testkit::fleet::{FleetRig, RigSpec, TargetFault, send};

async fn start_rig() -> FleetRig {
    let spec = RigSpec {
        instances: 2,
        targets: 3,
        processing_ms: 20,
    };
    FleetRig::start(Path::new(env!("CARGO_BIN_EXE_hibiscusway")), spec)
        .await
        .unwrap()
}

/// Time within which log lines reach the file.
const LOG_WRITE_TIME: Duration = Duration::from_millis(400);

/// Returns the number of log lines of the first instance that contain all `patterns`.
async fn matching_lines(rig: &FleetRig, patterns: &[&str]) -> usize {
    task::sleep(LOG_WRITE_TIME).await;
    let text = rig.instances[0].log_text().unwrap();
    text.lines()
        .filter(|line| patterns.iter().all(|pattern| line.contains(pattern)))
        .count()
}

/// Guards against logs that do not show why a request was refused although targets are free: the
/// operator has evacuated their zones.
#[test]
fn refused_request_leads_to_zones_out() {
    task::block_on(async {
        let rig = start_rig().await;
        for zone in ["a", "b", "c"] {
            rig.store.put("keyed.op", &format!("evacuate/{zone}"), "{}");
        }
        task::sleep(Duration::from_secs(1)).await;
        let request = rig.request(true);
        let response = send(rig.instances[0].caller_addr(), &request).await;
        assert_eq!(response.status(), 503);
        let id = format!("id={}", request.id);
        assert_eq!(
            matching_lines(&rig, &[&id, "event=refused", "code=3003"]).await,
            1
        );
        assert_eq!(matching_lines(&rig, &["event=zone_out"]).await, 3);
    });
}

/// Guards against logs that do not show why a request was refused although targets are there: they have
/// said that they want none for some time.
#[test]
fn refused_request_leads_to_closed_targets() {
    task::block_on(async {
        let rig = start_rig().await;
        for target in &rig.targets {
            target.set_retry_after(Some("5"));
        }
        let addr = rig.instances[0].caller_addr();
        for _ in 0..6 {
            send(addr, &rig.request(false)).await;
        }
        let request = rig.request(true);
        assert_eq!(send(addr, &request).await.status(), 503);
        let id = format!("id={}", request.id);
        let refused = [&id, "event=refused", "code=3004", "attempts=0"];
        assert_eq!(matching_lines(&rig, &refused).await, 1);
        for target in &rig.targets {
            let name = format!("target_id={}", target.id());
            let closed = [
                "event=target_closed",
                &name,
                "for_ms=5000",
                "source=response",
            ];
            assert_eq!(matching_lines(&rig, &closed).await, 1, "{name}");
        }
    });
}

/// Guards against logs that do not show which target ran a write whose outcome is unknown. The
/// target closes the connection without a response, and the caller gets status 502.
#[test]
fn unknown_outcome_leads_to_target() {
    task::block_on(async {
        let rig = start_rig().await;
        for target in &rig.targets {
            target.set_fault(TargetFault::LoseAnswer);
        }
        let request = rig.request(true);
        let response = send(rig.instances[0].caller_addr(), &request).await;
        assert_eq!(response.status(), 502);
        let run_target = rig
            .targets
            .iter()
            .find(|t| t.run_counts().contains_key(&request.id))
            .unwrap();
        let id = format!("id={}", request.id);
        let target_id = format!("target_id={}", run_target.id());
        assert_eq!(
            matching_lines(&rig, &[&id, "event=sent", &target_id, "load_age_us="]).await,
            1
        );
        let lost_attempt = format!("{}:lost", run_target.id());
        assert_eq!(
            matching_lines(&rig, &[&id, "event=refused", "code=4001", &lost_attempt]).await,
            1
        );
    });
}

/// Guards against logs that do not show that a write missed its deadline because its target took
/// far longer than expected.
#[test]
fn late_request_leads_to_slow_target() {
    task::block_on(async {
        let rig = start_rig().await;
        for target in &rig.targets {
            target.set_fault(TargetFault::Mute);
        }
        let request = rig.request(true);
        let response = send(rig.instances[0].caller_addr(), &request).await;
        assert_eq!(response.status(), 504);
        let id = format!("id={}", request.id);
        assert_eq!(
            matching_lines(&rig, &[&id, "event=sent", "expected_ms="]).await,
            1
        );
        assert_eq!(
            matching_lines(&rig, &[&id, "event=refused", "code=4002", ":timeout:"]).await,
            1
        );
    });
}

/// Guards against requests that wait because nobody reads the log output and its pipe is full.
#[test]
fn unread_output_holds_up_no_request() {
    task::block_on(async {
        let mut rig = start_rig().await;
        for instance in &mut rig.instances {
            instance.restart_with_unread_output().unwrap();
        }
        while !rig.all_ready().await {
            task::sleep(Duration::from_millis(50)).await;
        }
        // A pipe buffers 64 KB and each request writes about 500 bytes, so the first 500 fill the
        // pipes.
        let sent = rig.send_many(700, Duration::from_millis(5)).await;
        let after_full = &sent[500..];
        let served = after_full
            .iter()
            .filter(|(request, response)| response.is_served(&request.id))
            .count();
        assert_eq!(served, after_full.len());
    });
}
