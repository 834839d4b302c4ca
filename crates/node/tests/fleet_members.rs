//! The instance list misleads, and instances and upstreams disappear without notice. Guards against
//! service that depends on the list alone, and against calls that go on to what is gone.

mod fleet;

use std::{
    net::SocketAddr,
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use wire::EntryState;

use fleet::{Fleet, Load, Shot, failures, free_addrs, pause, run, settings_text, until};

/// Time after which an instance or target that is gone gets no new work.
const GONE: Duration = Duration::from_secs(3);

fn assert_served(shots: &[Shot]) {
    let failed = failures(shots);
    assert!(
        shots.len() > 50 && failed.is_empty(),
        "{failed:?} of {}",
        shots.len()
    );
}

async fn serve_through(fleet: &Fleet, ms: u64) {
    let load = Load::start(fleet.entries(), &["/"], 10);
    pause(ms).await;
    assert_served(&load.stop().await);
    fleet.assert_sound();
}

/// A list that is empty would take all targets away.
#[test]
fn list_empty() {
    run(async {
        let fleet = Fleet::start(3, 4, 5).await;
        fleet.list.set_empty(true);
        serve_through(&fleet, 4_500).await;
    });
}

/// A list that does not answer would end the service.
#[test]
fn list_down() {
    run(async {
        let fleet = Fleet::start(3, 4, 5).await;
        fleet.list.set_down(true);
        serve_through(&fleet, 4_500).await;
    });
}

/// A list that shows everything and nothing in turn would move targets back and forth.
#[test]
fn list_flapping() {
    run(async {
        let fleet = Fleet::start(3, 4, 5).await;
        fleet.list.set_flapping(Some(Duration::from_millis(700)));
        serve_through(&fleet, 4_500).await;
    });
}

/// Upstreams and an instance that the list lacks by mistake would be dropped while they serve.
#[test]
fn list_lacks_live_entries() {
    run(async {
        let fleet = Fleet::start(3, 4, 5).await;
        let load = Load::start(fleet.entries(), &["/"], 5);
        pause(500).await;
        fleet.list.remove("t-1");
        fleet.list.remove("i-1");
        pause(4_000).await;
        let before = fleet.ran(|e| e.id == "t-1");
        pause(500).await;
        assert!(
            fleet.ran(|e| e.id == "t-1") > before,
            "t-1 is no longer used"
        );
        assert_served(&load.stop().await);
    });
}

/// A list that lags would hide that an upstream leaves; its own answers say so.
#[test]
fn upstream_drains_while_list_lags() {
    run(async {
        let fleet = Fleet::start(3, 4, 5).await;
        fleet.list.set_lag(Duration::from_secs(8));
        let load = Load::start(fleet.entries(), &["/"], 5);
        pause(500).await;
        fleet.targets[1]
            .upstream
            .set_faults(testkit::UpstreamFaults {
                draining: true,
                ..testkit::UpstreamFaults::default()
            });
        let mut entry = fleet.targets[1].entry.clone();
        entry.state = EntryState::Leaving;
        fleet.list.put(entry);
        let began = Instant::now();
        pause(3_000).await;
        let before = fleet.targets[1].upstream.refused();
        pause(500).await;
        let after = fleet.targets[1].upstream.refused();
        assert_eq!(
            after,
            before,
            "sent {:?} after it began to leave",
            began.elapsed()
        );
        assert_served(&load.stop().await);
    });
}

/// An instance that joins while the list lags would take targets whose owners do not know it.
#[test]
fn instance_joins_while_list_lags() {
    run(async {
        let mut fleet = Fleet::start(3, 6, 5).await;
        fleet.list.set_lag(Duration::from_secs(4));
        let load = Load::start(fleet.entries(), &["/"], 5);
        fleet.add_member("i-9", "a").await;
        pause(6_000).await;
        assert_served(&load.stop().await);
        fleet.assert_sound();
    });
}

/// An upstream that is listed as live but refuses connections would fail a share of the calls.
#[test]
fn upstream_refuses_connections() {
    run(async {
        let fleet = Fleet::start(3, 4, 5).await;
        let mut entry = fleet.targets[0].entry.clone();
        entry.id = "dead".to_owned();
        entry.addr = free_addrs()[0];
        let load = Load::start(fleet.entries(), &["/"], 10);
        let listed = Instant::now();
        fleet.list.put(entry);
        pause(5_500).await;
        let shots = load.stop().await;
        // Until the target counts as silent, a call beyond the retry budget may be told that it was
        // not run. The list is polled every second.
        let polled = listed + Duration::from_secs(1);
        for shot in shots.iter().filter(|s| !s.is_served()) {
            let answer = shot.answer.as_ref().unwrap();
            assert_eq!(answer.code, Some(3010), "{answer:?}");
            assert_eq!(answer.outcome.as_deref(), Some("not-run"), "{answer:?}");
            assert!(
                shot.at < polled + GONE,
                "{:?} after listing",
                shot.at - listed
            );
        }
        fleet.assert_sound();
    });
}

/// The targets of an instance that died would be lost with it.
#[test]
fn killed_instance_is_replaced() {
    run(async {
        let mut fleet = Fleet::start(4, 8, 5).await;
        let rest: Vec<SocketAddr> = fleet.members[1..].iter().map(|m| m.entry).collect();
        let load = Load::start(rest, &["/"], 5);
        pause(1_000).await;
        let killed = Instant::now();
        fleet.members[0].kill();
        pause(4_000).await;
        // All targets have an owner again: more calls than the slots of 7 targets reach all 8.
        let burst = Instant::now();
        let calls = (0..150).map(|n| fleet::call(fleet.members[1 + n % 3].entry, "/"));
        futures::future::join_all(calls).await;
        for target in &fleet.targets {
            let last = target.upstream.last_start();
            let id = &target.entry.id;
            assert!(
                last > Some(burst),
                "{id}: last call {:?}",
                last.map(|l| l - killed)
            );
        }
        let shots = load.stop().await;
        let failed: Vec<Shot> = shots.iter().filter(|s| !s.is_served()).cloned().collect();
        let last = failed.iter().map(|s| s.at).max();
        let time = last.map_or(Duration::ZERO, |l| l.saturating_duration_since(killed));
        println!(
            "{} calls failed, the last one {time:?} after the kill",
            failed.len()
        );
        // 3 s without heartbeats, and 500 ms for a claim without reply.
        assert!(
            time < GONE + Duration::from_millis(500),
            "{:?}",
            failures(&failed)
        );
        fleet.assert_sound();
    });
}

/// The real process. Dropping it kills it.
struct Process {
    child: Child,
    file: std::path::PathBuf,
    entry: SocketAddr,
}

impl Process {
    fn start(fleet: &Fleet, id: &str) -> Self {
        let addrs = free_addrs();
        let text = settings_text(id, "a", addrs, fleet.log.addr(), fleet.list.addr());
        let name = format!("fleet-{}-{id}.toml", std::process::id());
        let file = std::env::temp_dir().join(name);
        std::fs::write(&file, text).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_hibiscusway"))
            .args(["--settings", file.to_str().unwrap(), "--log", "error"])
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        Self {
            child,
            file,
            entry: addrs[0],
        }
    }

    fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args([name, &pid]).status().unwrap();
        assert!(sent.success());
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

/// An instance that was frozen would hold its targets meanwhile, or overload them on its return.
#[test]
fn frozen_instance_is_replaced_and_returns() {
    run(async {
        let fleet = Fleet::start(3, 4, 5).await;
        let process = Process::start(&fleet, "x-1");
        until(Duration::from_secs(5), "child is ready", async || {
            let answer = fleet::call(process.entry, "/").await;
            answer.is_some_and(|a| a.outcome.as_deref() == Some("served"))
        })
        .await;
        let load = Load::start(fleet.entries(), &["/"], 5);
        pause(500).await;
        process.signal("-STOP");
        let frozen = Instant::now();
        pause(4_500).await;
        process.signal("-CONT");
        let resumed = Instant::now();
        until(Duration::from_secs(2), "child serves again", async || {
            let answer = fleet::call(process.entry, "/").await;
            answer.is_some_and(|a| a.outcome.as_deref() == Some("served"))
        })
        .await;
        pause(1_000).await;
        let shots = load.stop().await;
        let failed: Vec<Shot> = shots.iter().filter(|s| !s.is_served()).cloned().collect();
        let limit = frozen + GONE + Duration::from_millis(500);
        let last = failed.iter().map(|s| s.at).max();
        println!(
            "{} calls failed, the last one {:?} after the freeze",
            failed.len(),
            last.map(|l| l.saturating_duration_since(frozen))
        );
        assert!(last.is_none_or(|l| l < limit), "{:?}", failures(&failed));
        assert!(shots.iter().any(|s| s.at > resumed && s.is_served()));
        for target in &fleet.targets {
            assert!(
                target.upstream.max_running() <= 8,
                "{} over its slots",
                target.entry.id
            );
        }
        fleet.assert_sound();
    });
}
