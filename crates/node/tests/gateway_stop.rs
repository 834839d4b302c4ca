//! Gateway processes that are stopped as planned while callers go on sending requests. The rig gives
//! them 6 s for it (`stop_s`).

use std::{path::Path, time::Duration};

use async_std::{
    future::timeout,
    io::{ReadExt, WriteExt},
    net::TcpStream,
    task,
};
use h1::{Response, ResponseDecoder};
use testkit::fleet::{FleetRequest, FleetResult, FleetRig, RigSpec, fetch};

/// Time after the signal until which a stopping instance must accept connections: three times the
/// time for which callers may keep the addresses that name it.
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

/// Guards against addresses that callers may keep for longer than a stopping instance runs. Some keep
/// them for three times the stated time.
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
        assert!(ttl_s * 3.0 <= OPEN_TIME.as_secs_f64(), "{ttl_s}");
    });
}
