//! Gateway processes over stand-ins of the platform: answers and sends. Each test names the failure of
//! a target that it plays.

use std::{path::Path, time::Duration};

use async_std::task;
use testkit::fleet::{FleetResult, FleetRig, RigSpec, TargetFault, fetch, send};

const SPEC: RigSpec = RigSpec {
    instances: 2,
    targets: 4,
    processing_ms: 20,
};

async fn rig() -> FleetRig {
    FleetRig::start(Path::new(env!("CARGO_BIN_EXE_hibiscusway")), SPEC)
        .await
        .unwrap()
}

/// All targets misbehave; returns the statuses of reads and of writes. Checks what must always hold.
fn play(fault: TargetFault) -> (Vec<u16>, Vec<u16>) {
    task::block_on(async {
        let rig = rig().await;
        for target in &rig.targets {
            target.set_fault(fault);
        }
        let sent = rig.send_many(30, Duration::from_millis(15)).await;
        let (mut reads, mut writes) = (Vec::new(), Vec::new());
        for (request, answer) in sent {
            let runs = rig.run_count(&request.id);
            let status = answer.status();
            assert!(
                status != 200 || answer.is_served(&request.id),
                "{fault:?}: {answer:?}"
            );
            if request.method == "POST" {
                assert!(runs <= 1, "{fault:?}: a write ran {runs} times");
                assert!(
                    !matches!(status, 408 | 421 | 429 | 503) || runs == 0,
                    "{fault:?}: untrue refusal"
                );
                writes.push(status);
            } else {
                assert!(runs <= 2, "{fault:?}: a read ran {runs} times");
                reads.push(status);
            }
        }
        (reads, writes)
    })
}

fn all(statuses: &[u16], wanted: u16) -> bool {
    statuses.iter().all(|s| *s == wanted)
}

#[test]
fn fault_none_serves_all() {
    let (reads, writes) = play(TargetFault::None);
    assert!(
        all(&reads, 200) && all(&writes, 200),
        "{reads:?} {writes:?}"
    );
}

#[test]
fn fault_shed_is_refused_as_not_run() {
    let (reads, writes) = play(TargetFault::Shed);
    assert!(
        all(&reads, 503) && all(&writes, 503),
        "{reads:?} {writes:?}"
    );
}

#[test]
fn fault_error_is_passed_on() {
    let (reads, writes) = play(TargetFault::Error);
    assert!(
        all(&reads, 500) && all(&writes, 500),
        "{reads:?} {writes:?}"
    );
}

/// Guards against a refusal that invites the caller to repeat what has run.
#[test]
fn fault_false_refusal_is_unknown() {
    let (reads, writes) = play(TargetFault::FalseRefusal);
    assert!(
        all(&reads, 502) && all(&writes, 502),
        "{reads:?} {writes:?}"
    );
}

#[test]
fn fault_lost_answer_is_unknown() {
    let (reads, writes) = play(TargetFault::LoseAnswer);
    assert!(
        all(&reads, 502) && all(&writes, 502),
        "{reads:?} {writes:?}"
    );
}

#[test]
fn fault_truncated_body_is_no_success() {
    let (reads, writes) = play(TargetFault::Truncate);
    assert!(
        all(&reads, 502) && all(&writes, 502),
        "{reads:?} {writes:?}"
    );
}

#[test]
fn fault_garbage_is_no_answer() {
    let (reads, writes) = play(TargetFault::Garbage);
    assert!(
        all(&reads, 502) && all(&writes, 502),
        "{reads:?} {writes:?}"
    );
}

#[test]
fn fault_unsigned_success_is_not_passed_on() {
    let (reads, writes) = play(TargetFault::Unsigned);
    assert!(
        all(&reads, 502) && all(&writes, 502),
        "{reads:?} {writes:?}"
    );
}

#[test]
fn fault_encoded_body_is_not_passed_on() {
    let (reads, writes) = play(TargetFault::Encoded);
    assert!(
        all(&reads, 502) && all(&writes, 502),
        "{reads:?} {writes:?}"
    );
}

#[test]
fn fault_stray_answer_is_skipped() {
    let (reads, writes) = play(TargetFault::StrayFirst);
    assert!(
        all(&reads, 200) && all(&writes, 200),
        "{reads:?} {writes:?}"
    );
}

#[test]
fn fault_extra_answer_reaches_nobody() {
    let (reads, writes) = play(TargetFault::Extra);
    assert!(
        all(&reads, 200) && all(&writes, 200),
        "{reads:?} {writes:?}"
    );
}

#[test]
fn fault_no_length_is_whole_at_proper_end() {
    let (reads, writes) = play(TargetFault::NoLength);
    assert!(
        all(&reads, 200) && all(&writes, 200),
        "{reads:?} {writes:?}"
    );
}

/// Guards against requests that wait past their time at a target that went silent.
#[test]
fn fault_mute_ends_at_deadline() {
    task::block_on(async {
        let rig = rig().await;
        for target in &rig.targets {
            target.set_fault(TargetFault::Mute);
        }
        for is_write in [false, true] {
            let request = rig.request(is_write);
            let start = std::time::Instant::now();
            let answer = send(rig.instances[0].caller_addr(), &request).await;
            assert_eq!(answer.status(), 504, "{answer:?}");
            let passed = start.elapsed();
            assert!(
                passed < Duration::from_millis(request.deadline_ms + 250),
                "{passed:?}"
            );
        }
    });
}

/// Guards against one bad target that takes requests with it although others are sound.
#[test]
fn fault_at_one_target_harms_no_read() {
    task::block_on(async {
        let rig = rig().await;
        rig.targets[0].set_fault(TargetFault::LoseAnswer);
        let sent = rig.send_many(60, Duration::from_millis(15)).await;
        let reads: Vec<_> = sent.iter().filter(|(r, _)| r.method == "GET").collect();
        let served = reads.iter().filter(|(r, a)| a.is_served(&r.id)).count();
        assert!(
            served * 100 >= reads.len() * 95,
            "{served} of {}",
            reads.len()
        );
    });
}

/// Guards against targets that work on for a caller that has left.
#[test]
fn caller_gone_cancels_target() {
    task::block_on(async {
        let spec = RigSpec {
            processing_ms: 1_200,
            ..SPEC
        };
        let binary = Path::new(env!("CARGO_BIN_EXE_hibiscusway"));
        let rig = FleetRig::start(binary, spec).await.unwrap();
        let request = rig.request(true);
        let sending = send(rig.instances[0].caller_addr(), &request);
        let left = async_std::future::timeout(Duration::from_millis(300), sending).await;
        assert!(left.is_err(), "answered too early");
        task::sleep(Duration::from_millis(500)).await;
        let cancelled: u32 = rig
            .targets
            .iter()
            .map(testkit::fleet::FleetTarget::cancelled)
            .sum();
        assert_eq!(cancelled, 1);
    });
}

/// Guards against crossed or reordered answers on a pipelined connection.
#[test]
fn pipelined_requests_are_answered_in_order() {
    use async_std::{
        io::{ReadExt, WriteExt},
        net::TcpStream,
    };
    task::block_on(async {
        let rig = rig().await;
        let requests: Vec<_> = (0..5).map(|_| rig.request(false)).collect();
        let bytes: Vec<u8> = requests
            .iter()
            .flat_map(testkit::fleet::FleetRequest::bytes)
            .collect();
        let mut stream = TcpStream::connect(rig.instances[0].caller_addr())
            .await
            .unwrap();
        stream.write_all(&bytes).await.unwrap();
        let mut input = Vec::new();
        let mut piece = [0; 4_096];
        for request in &requests {
            let mut decoder = h1::ResponseDecoder::new("GET", 10_000);
            let response = loop {
                if let Some(response) = decoder.feed(&mut input).unwrap() {
                    break response;
                }
                let count = stream.read(&mut piece).await.unwrap();
                assert!(count > 0, "the connection ended");
                input.extend_from_slice(&piece[..count]);
            };
            assert!(FleetResult::Response(Box::new(response)).is_served(&request.id));
        }
    });
}

/// Guards against requests that reach a target although they are malformed or too large.
#[test]
fn hostile_requests_are_refused_and_not_run() {
    task::block_on(async {
        let rig = rig().await;
        let addr = rig.instances[0].caller_addr();
        let head = "Host: shop.example\r\nX-Hibiscusway-Request-Id: evil\r\n";
        let huge = format!("X: {}\r\n", "a".repeat(20_000));
        let cases = [
            (
                format!(
                    "POST /write/x HTTP/1.1\r\n{head}Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc"
                ),
                400,
            ),
            (
                format!(
                    "POST /write/x HTTP/1.1\r\n{head}Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd"
                ),
                400,
            ),
            (
                format!("POST /write/x HTTP/1.1\r\n{head}Transfer-Encoding: gzip\r\n\r\nabc"),
                400,
            ),
            (format!("GET /read/x HTTP/1.1\r\n{head}{huge}\r\n"), 431),
            (
                format!("POST /write/x HTTP/1.1\r\n{head}Content-Length: 2000000\r\n\r\n"),
                413,
            ),
            (format!("GET /nowhere/x HTTP/1.1\r\n{head}\r\n"), 404),
            (format!("GET /read/x HTTP/1.1\r\n{head}Content-Len"), 408),
            (String::from("\u{0}\u{1}\r\n\r\n"), 400),
        ];
        for (bytes, status) in cases {
            let answer = fetch(addr, "GET", bytes.as_bytes()).await;
            assert_eq!(answer.status(), status, "{:?}: {answer:?}", bytes.get(..60));
        }
        assert_eq!(rig.run_count("evil"), 0);
    });
}
