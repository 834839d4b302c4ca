//! Gateway processes that are stopped as planned while callers go on sending requests. The rig gives
//! them 6 s for it (`stop_s`).

use std::{
    net::SocketAddr,
    path::Path,
    time::{Duration, Instant},
};

use async_std::{
    future::timeout,
    io::{ReadExt, WriteExt},
    net::TcpStream,
    task,
};
use futures::future::{join, join_all};
use h1::{Response, ResponseDecoder};
use serde_json::json;
use testkit::fleet::{FleetRequest, FleetResult, FleetRig, RigSpec, TargetFault, fetch, send};

/// Time that the rig allows for a planned stop.
const STOP_TIME: Duration = Duration::from_secs(6);
/// Time after the signal until which a stopping instance must accept connections.
const OPEN_TIME: Duration = Duration::from_millis(4_700);

async fn start_rig(processing_ms: u64) -> FleetRig {
    let spec = RigSpec {
        instances: 2,
        targets: 4,
        processing_ms,
    };
    FleetRig::start(Path::new(env!("CARGO_BIN_EXE_hibiscusway")), spec)
        .await
        .unwrap()
}

/// Returns whether the request was refused with the promise that it has not run, and told to use a
/// new connection at once.
fn is_refused(result: &FleetResult) -> bool {
    result.status() == 503
        && result.header("retry-after") == Some("0.000")
        && result.header("connection") == Some("close")
}

/// Reads one response from `stream`; `input` holds what was read beyond the previous one.
async fn read_response(stream: &mut TcpStream, input: &mut Vec<u8>) -> Option<Response> {
    let mut decoder = ResponseDecoder::new("GET", 100_000);
    let mut buffer = [0; 4_096];
    loop {
        if let Some(response) = decoder.feed(input).unwrap() {
            return Some(response);
        }
        let read = timeout(Duration::from_secs(8), stream.read(&mut buffer)).await;
        let count = read.ok()?.ok().filter(|count| *count > 0)?;
        input.extend_from_slice(&buffer[..count]);
    }
}

/// Sends a request on a new connection every 40 ms, every third one a write, until the instance
/// takes no more connections. Returns each with the time after `start` at which it was sent.
async fn send_until_closed(
    rig: &FleetRig,
    addr: SocketAddr,
    start: Instant,
) -> Vec<(Duration, FleetRequest, FleetResult)> {
    let mut sent = Vec::new();
    let mut index = 0;
    while start.elapsed() < STOP_TIME + Duration::from_millis(500) {
        let request = rig.request(index % 3 == 0);
        index += 1;
        let at = start.elapsed();
        sent.push(task::spawn(async move {
            let result = send(addr, &request).await;
            (at, request, result)
        }));
        task::sleep(Duration::from_millis(40)).await;
    }
    join_all(sent).await
}

/// Guards against requests that come late in the time for a planned stop and are passed on to a
/// target, but cut without a response when the process ends, and against an instance that takes no
/// connections while callers still have its address.
#[test]
fn request_late_in_stop_is_served_or_refused() {
    task::block_on(async {
        let rig = start_rig(300).await;
        let stopping = rig.instances[0].caller_addr();
        let start = Instant::now();
        rig.instances[0].signal("TERM").unwrap();
        let sent = send_until_closed(&rig, stopping, start).await;
        let mut served = Vec::new();
        for (at, request, result) in sent {
            if result.is_served(&request.id) {
                served.push(at);
                continue;
            }
            let runs = rig.run_count(&request.id);
            let is_not_run = runs == 0 && is_refused(&result);
            // The connection may be reset while it waits in the accept queue of a process that ends.
            let is_closed = runs == 0 && at > OPEN_TIME && result.status() == 0;
            assert!(
                is_not_run || is_closed,
                "sent {at:?} after the signal, run {runs} times: {result:?}"
            );
        }
        let half = STOP_TIME / 2;
        assert!(served.iter().any(|at| *at > half), "served at {served:?}");
    });
}

/// Guards against pipelined requests that are passed on to targets and cut when the response to the
/// first one closes the connection.
#[test]
fn pipelined_requests_are_all_answered_in_stop() {
    task::block_on(async {
        let rig = start_rig(400).await;
        let requests: Vec<_> = (0..4).map(|_| rig.request(false)).collect();
        let bytes: Vec<u8> = requests.iter().flat_map(FleetRequest::bytes).collect();
        let mut stream = TcpStream::connect(rig.instances[0].caller_addr())
            .await
            .unwrap();
        stream.write_all(&bytes).await.unwrap();
        task::sleep(Duration::from_millis(150)).await;
        rig.instances[0].signal("TERM").unwrap();
        let mut input = Vec::new();
        for (index, request) in requests.iter().enumerate() {
            let response = read_response(&mut stream, &mut input).await;
            let Some(response) = response else {
                panic!("no response to request {index}");
            };
            let is_last = index + 1 == requests.len();
            assert_eq!(response.headers.has("connection"), is_last, "{response:?}");
            let result = FleetResult::Response(Box::new(response));
            assert!(result.is_served(&request.id), "{result:?}");
        }
        let mut byte = [0];
        assert_eq!(stream.read(&mut byte).await.unwrap(), 0);
    });
}

/// Guards against a request that still runs at the end of a planned stop, may not be repeated, and
/// is cut without a response.
#[test]
fn request_running_at_end_of_stop_is_answered() {
    task::block_on(async {
        let mut rig = start_rig(20).await;
        let route = json!({ "name": "slow", "host": "shop.example", "path_prefix": "/slow/",
            "kind": "non_idempotent", "timeout_s": 20, "aim_s": 1, "service": "orders",
            "attempts": 2 });
        rig.publish(&[route]);
        task::sleep(Duration::from_secs(2)).await;
        for target in &rig.targets {
            target.set_fault(TargetFault::Mute);
        }
        let stopping = rig.instances[0].caller_addr();
        let mut before = rig.request(true);
        before.path = String::from("/slow/before");
        before.deadline_ms = 15_000;
        let mut after = rig.request(true);
        after.path = String::from("/slow/after");
        after.deadline_ms = 15_000;
        let first = task::spawn(async move { send(stopping, &before).await });
        task::sleep(Duration::from_millis(200)).await;
        let start = Instant::now();
        rig.instances[0].signal("TERM").unwrap();
        let (first, second) = join(first, send(stopping, &after)).await;
        for result in [first, second] {
            assert_eq!(result.status(), 504, "{result:?}");
        }
        // The platform forgives a request that its target works on in the last sixth of the time.
        let took = start.elapsed();
        assert!(took > STOP_TIME * 5 / 6, "answered after {took:?}");
        while rig.instances[0].exit_status().unwrap().is_none() {
            assert!(start.elapsed() < STOP_TIME, "the process still runs");
            task::sleep(Duration::from_millis(20)).await;
        }
    });
}

/// Guards against a connection that is closed in the second half of a planned stop although its
/// caller may still use it, and against one that is kept open after a response.
#[test]
fn kept_connection_serves_late_in_stop() {
    task::block_on(async {
        let rig = start_rig(20).await;
        let mut stream = TcpStream::connect(rig.instances[0].caller_addr())
            .await
            .unwrap();
        let mut input = Vec::new();
        let request = rig.request(false);
        stream.write_all(&request.bytes()).await.unwrap();
        let response = read_response(&mut stream, &mut input).await.unwrap();
        assert!(!response.headers.has("connection"), "{response:?}");
        rig.instances[0].signal("TERM").unwrap();
        task::sleep(Duration::from_millis(3_500)).await;
        let request = rig.request(false);
        stream.write_all(&request.bytes()).await.unwrap();
        let response = read_response(&mut stream, &mut input)
            .await
            .expect("a response late in the stop");
        assert_eq!(response.headers.single_value("connection"), Some("close"));
        let result = FleetResult::Response(Box::new(response));
        assert!(result.is_served(&request.id), "{result:?}");
    });
}

/// Guards against addresses that callers may keep for longer than a stopping instance takes
/// connections. They are no longer told of it at most 1 s after the signal.
#[test]
fn addresses_lapse_before_stop_ends() {
    task::block_on(async {
        let rig = start_rig(20).await;
        let query = b"GET /-/resolve?name=shop.example&region=r&zone=a HTTP/1.1\r\nHost: d\r\n\r\n";
        let result = fetch(rig.instances[0].directory_addr(), "GET", query).await;
        let FleetResult::Response(response) = result else {
            panic!("no answer: {result:?}");
        };
        let body: serde_json::Value = serde_json::from_slice(&response.body).unwrap();
        let ttl_s = body["ttl_s"].as_f64().unwrap();
        assert!(ttl_s >= 0.5, "{ttl_s}");
        assert!(ttl_s + 1.0 <= OPEN_TIME.as_secs_f64(), "{ttl_s}");
    });
}

/// Guards against a stop whose last line is lost, so that nobody learns what became of its requests.
#[test]
fn stop_is_logged_with_counts() {
    task::block_on(async {
        let mut rig = start_rig(20).await;
        let stopping = rig.instances[0].caller_addr();
        let start = Instant::now();
        rig.instances[0].signal("TERM").unwrap();
        task::sleep(Duration::from_millis(100)).await;
        for _ in 0..3 {
            let request = rig.request(false);
            assert!(send(stopping, &request).await.is_served(&request.id));
        }
        while rig.instances[0].exit_status().unwrap().is_none() {
            assert!(start.elapsed() < STOP_TIME, "the process still runs");
            task::sleep(Duration::from_millis(20)).await;
        }
        let log = rig.instances[0].log_text().unwrap();
        let line = log.lines().find(|l| l.contains("event=stopped "));
        let line = line.expect("a line at the end of the stop");
        for field in ["answered=3", "refused=0", "broken_off=0", "callers=0"] {
            assert!(line.contains(field), "{field}: {line}");
        }
    });
}
