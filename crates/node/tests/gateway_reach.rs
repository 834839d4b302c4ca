//! Instances that are partitioned from targets, while clients, the store and the other instances reach them.

use std::{
    path::Path,
    time::{Duration, Instant},
};

use async_std::{future::timeout, task};
use futures::future::{join, join_all};
use testkit::fleet::{
    FleetRequest, FleetResult, FleetRig, FleetTarget, OutageKind, Partition, RigSpec, fetch,
    query_directory, send,
};

/// Time after the start of a partition from which the platform judges what clients get.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Length of the partitions.
const PARTITION: Duration = Duration::from_secs(9);
/// Time for which requests are judged.
const JUDGED_TIME: Duration = Duration::from_secs(5);
/// Interval between two requests.
const INTERVAL: Duration = Duration::from_millis(20);
/// An eighth of the objective of the rig's routes. A refusal until then costs the caller nothing.
const PROMPT: Duration = Duration::from_micros(62_500);

const SPEC: RigSpec = RigSpec {
    instances: 4,
    targets: 6,
    processing_ms: 20,
};

/// A request that was sent once, to the instance with this index.
struct FirstTry {
    index: usize,
    request: FleetRequest,
    result: FleetResult,
    took: Duration,
}

impl FirstTry {
    fn is_served(&self) -> bool {
        self.result.is_served(&self.request.id)
    }
}

async fn start(spec: RigSpec) -> (FleetRig, Vec<Partition>) {
    let binary = Path::new(env!("CARGO_BIN_EXE_hibiscusway"));
    FleetRig::start_with_partitions(binary, spec).await.unwrap()
}

/// Sends requests to the instances in turn for `time`; every third is a write.
async fn send_for(rig: &FleetRig, time: Duration) -> Vec<FirstTry> {
    let start = Instant::now();
    let mut sent = Vec::new();
    while start.elapsed() < time {
        let number = sent.len();
        let index = number % rig.instances.len();
        let addr = rig.instances[index].caller_addr();
        let request = rig.request(number % 3 == 0);
        sent.push(task::spawn(async move {
            let sent_at = Instant::now();
            let result = send(addr, &request).await;
            let took = sent_at.elapsed();
            FirstTry {
                index,
                request,
                result,
                took,
            }
        }));
        task::sleep(INTERVAL).await;
    }
    join_all(sent).await
}

/// Checks the platform's rule for instances that are cut off: they serve at least two thirds as many of
/// their first tries as the others, or no more than 10 and one in 50 of all fail at them. No write runs twice, or runs and is
/// refused as not run.
fn check_recover(rig: &FleetRig, tries: &[FirstTry], cut: &[usize]) {
    let (at_cut, at_others): (Vec<_>, Vec<_>) = tries.iter().partition(|t| cut.contains(&t.index));
    let served = |list: &[&FirstTry]| list.iter().filter(|t| t.is_served()).count();
    let (cut_served, others_served) = (served(&at_cut), served(&at_others));
    let is_far_worse = cut_served * at_others.len() * 3 < others_served * at_cut.len() * 2;
    let failed = at_cut.len() - cut_served;
    assert!(
        !is_far_worse || failed * 50 <= 500 + tries.len(),
        "{cut_served} of {} served at instances that were cut off, {others_served} of {} at others",
        at_cut.len(),
        at_others.len()
    );
    for tried in tries.iter().filter(|t| t.request.method == "POST") {
        let most = u32::from(tried.result.status() != 503);
        assert!(rig.run_count(&tried.request.id) <= most);
    }
}

/// Cuts some instances off from all targets and checks what clients of all instances get.
fn check_cut(kind: OutageKind, cut: &[usize]) {
    task::block_on(async {
        let (rig, partitions) = start(SPEC).await;
        let before = send_for(&rig, Duration::from_secs(1)).await;
        check_recover(&rig, &before, &[]);
        for index in cut {
            partitions[*index].cut(kind, PARTITION);
        }
        send_for(&rig, CONTACT_TIME).await;
        let tries = send_for(&rig, JUDGED_TIME).await;
        check_recover(&rig, &tries, cut);
    });
}

// Guards against instances that refuse or hold all requests while they cannot connect to any target.

#[test]
fn recover_while_half_are_refused() {
    check_cut(OutageKind::Refuse, &[0, 1]);
}

#[test]
fn recover_while_half_hang() {
    check_cut(OutageKind::Hang, &[0, 1]);
}

#[test]
fn recover_while_most_hang() {
    check_cut(OutageKind::Hang, &[0, 2, 3]);
}

// Guards against requests that wait for targets which no instance can connect to.
#[test]
fn refusal_is_prompt_while_all_hang() {
    task::block_on(async {
        let (rig, partitions) = start(SPEC).await;
        for partition in &partitions {
            partition.cut(OutageKind::Hang, PARTITION);
        }
        send_for(&rig, CONTACT_TIME).await;
        let tries = send_for(&rig, JUDGED_TIME).await;
        let is_prompt = |t: &&FirstTry| t.result.status() == 503 && t.took <= PROMPT;
        let prompt = tries.iter().filter(is_prompt).count();
        assert!(
            prompt * 10 >= tries.len() * 9,
            "{prompt} of {} refused at once",
            tries.len()
        );
    });
}

// Guards against instances that take the loss of their own connections for crashes of targets, and so
// have sound requests refused everywhere.
#[test]
fn crashes_are_not_suspected_when_cut_off() {
    task::block_on(async {
        let spec = RigSpec {
            processing_ms: 300,
            ..SPEC
        };
        let (rig, partitions) = start(spec).await;
        for _ in 0..3 {
            let cutting = async {
                task::sleep(Duration::from_millis(500)).await;
                partitions[0].cut(OutageKind::Refuse, Duration::from_secs(1));
            };
            join(send_for(&rig, Duration::from_secs(2)), cutting).await;
        }
        for instance in &rig.instances {
            let log = instance.log_text().unwrap();
            let line = log.lines().find(|l| l.contains("crash_suspected"));
            assert_eq!(line, None);
        }
    });
}

// Guards against directories that send clients to instances which cannot connect to any target.
#[test]
fn directory_leaves_out_cut_instances() {
    task::block_on(async {
        let (rig, partitions) = start(SPEC).await;
        partitions[0].cut(OutageKind::Hang, PARTITION);
        send_for(&rig, CONTACT_TIME).await;
        let cut = rig.instances[0].caller_addr();
        for instance in &rig.instances {
            let named = query_directory(instance.directory_addr(), "shop.example", "a").await;
            assert!(!named.is_empty() && !named.contains(&cut), "{named:?}");
        }
    });
}

// Guards against targets that go on with a request whose client has left the instance that forwarded it.
#[test]
fn client_that_leaves_is_noticed_through_peers() {
    task::block_on(async {
        let spec = RigSpec {
            processing_ms: 1_000,
            ..SPEC
        };
        let (rig, partitions) = start(spec).await;
        partitions[0].cut(OutageKind::Refuse, PARTITION);
        // The first requests show that contact is lost. Instances that have just started find each other
        // meanwhile.
        send_for(&rig, CONTACT_TIME).await;
        let before: u32 = rig.targets.iter().map(FleetTarget::cancelled).sum();
        let request = rig.request(false);
        let sending = send(rig.instances[0].caller_addr(), &request);
        assert!(timeout(Duration::from_millis(300), sending).await.is_err());
        assert_eq!(rig.run_count(&request.id), 1);
        // The platform allows half a second.
        task::sleep(Duration::from_millis(500)).await;
        let after: u32 = rig.targets.iter().map(FleetTarget::cancelled).sum();
        assert_eq!(after, before + 1);
    });
}

// Guards against heads within the limit that are refused at the instance that they are forwarded through,
// because their lines were written longer.
#[test]
fn large_heads_pass_through_peers() {
    task::block_on(async {
        let (rig, partitions) = start(SPEC).await;
        partitions[0].cut(OutageKind::Refuse, PARTITION);
        send_for(&rig, CONTACT_TIME).await;
        let request = rig.request(false);
        let mut bytes = request.bytes();
        bytes.truncate(bytes.len() - 2);
        for number in 0..1_750 {
            bytes.extend_from_slice(format!("x{number:04}:y\r\n").as_bytes());
        }
        bytes.extend_from_slice(b"\r\n");
        assert!(bytes.len() < 16_384);
        let result = fetch(rig.instances[0].caller_addr(), "GET", &bytes).await;
        assert!(result.is_served(&request.id), "{result:?}");
    });
}

// Guards against checks that go on without a pause because one target accepts connections while the others
// refuse them.
#[test]
fn checks_are_paced_while_one_target_accepts() {
    task::block_on(async {
        let (rig, partitions) = start(SPEC).await;
        partitions[0].cut_some(OutageKind::Refuse, PARTITION, SPEC.targets - 1);
        let time = Duration::from_secs(4);
        send_for(&rig, time).await;
        // The design: up to eight every 250 ms.
        let most = 8 * time.as_millis() / 250 + 8;
        let checks = metric(&rig, "reach_checks_total").await;
        assert!(
            checks > 0 && checks <= most,
            "{checks} checks, {most} allowed"
        );
    });
}

/// Returns a metric of the first instance; 0 if it has none of this name.
async fn metric(rig: &FleetRig, name: &str) -> u128 {
    let request = b"GET /metrics HTTP/1.1\r\nHost: m\r\n\r\n";
    let result = fetch(rig.instances[0].metrics_addr(), "GET", request).await;
    let FleetResult::Response(response) = result else {
        panic!("no metrics: {result:?}");
    };
    let text = String::from_utf8(response.body).unwrap();
    let prefix = format!("hibiscusway_{name}{{");
    let line = text.lines().find(|line| line.starts_with(&prefix));
    line.map_or(0, |line| line.rsplit(' ').next().unwrap().parse().unwrap())
}
