//! Metrics as a statsd server receives them. Guards against results that operators cannot see.

mod common;

use std::{net::UdpSocket, time::Duration};

use async_std::task;
use model::Settings;
use node::{Node, Token};

use common::{Act, Asked, PATIENCE, Platform, RawUpstream, Rig, wait_ready};

#[test]
fn metrics_of_calls_and_refusals() {
    task::block_on(async {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        socket
            .set_read_timeout(Some(Duration::from_millis(50)))
            .unwrap();
        let script = |asked: &Asked| vec![Act::Send(asked.answer("ok"))];
        let upstream = RawUpstream::start(true, script).await;
        let platform = Platform::start(upstream.addr, 3).await;
        let statsd = socket.local_addr().unwrap();
        let text = format!("{}statsd = \"{statsd}\"\n", platform.settings_text());
        let settings = Settings::parse("test", &text).unwrap();
        let entry = settings.listen;
        let node = Node::start(settings, &Token::new()).await.unwrap();
        wait_ready(entry).await;
        let rig = Rig {
            node: Some(node),
            entry,
            platform,
        };
        rig.call("lookup", "", b"").await;
        rig.call("nothing", "", b"").await;
        rig.raw(b"nonsense\r\n\r\n").await;
        let expected = [
            "hibiscusway.calls:1|c|#service:orders,class:lookup,code:1000",
            "hibiscusway.added_us:",
            "hibiscusway.refused:1|c|#code:2003",
            "hibiscusway.refused:1|c|#code:2001",
            "hibiscusway.connections:",
        ];
        let mut seen = String::new();
        let start = std::time::Instant::now();
        let mut buf = [0; 2_048];
        while expected.iter().any(|e| !seen.contains(e)) {
            assert!(start.elapsed() < PATIENCE, "{seen}");
            if let Ok(count) = socket.recv(&mut buf) {
                seen.push_str(&String::from_utf8_lossy(&buf[..count]));
                seen.push('\n');
            }
            task::sleep(Duration::from_millis(1)).await;
        }
    });
}
