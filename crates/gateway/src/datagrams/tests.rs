use std::time::Instant;

use super::*;
use crate::example::state;

fn time_to_send(link_mbps: f64) -> Duration {
    task::block_on(async {
        let state = state(link_mbps);
        let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let sink = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let addr = sink.local_addr().unwrap();
        let start = Instant::now();
        for _ in 0..100 {
            send_paced(&state, &socket, &state.report_pace, &[0; 1_208], addr).await;
        }
        start.elapsed()
    })
}

/// Guards against bursts that a slow link drops. At 0.4 of 10 Mbit/s, 100 datagrams of 10,000 bits
/// take 0.25 s, less the time of those sent without a pause.
#[test]
fn send_paced_keeps_to_part_of_link() {
    assert!(time_to_send(10.0) >= Duration::from_millis(210));
}
