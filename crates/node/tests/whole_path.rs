//! A call over real sockets from the question for addresses to the whole answer. Guards against parts
//! that work alone but not together.

mod common;

use async_std::task;
use testkit::{CallSpec, Upstream, UpstreamSpec, send_call};

use common::Rig;

#[test]
fn whole_path_one_instance() {
    task::block_on(async {
        let spec = UpstreamSpec {
            slots: 3,
            mean_us: 2_000.0,
            sigma: 0.5,
            seed: 1,
        };
        let upstream = Upstream::start(spec).await;
        let rig = Rig::start(upstream.addr(), 3).await;
        let stream = rig.connect().await;
        for _ in 0..3 {
            let spec = CallSpec {
                service: "orders",
                class: "confirmation",
                path: "/confirm",
                body: b"order 7",
                headers: &[("x-answer-bytes", "5000")],
            };
            let answer = send_call(stream.clone(), rig.entry, &spec).await.unwrap();
            assert_eq!((answer.status, answer.code), (200, Some(1000)));
            assert_eq!(answer.body.len(), 5_000);
        }
        assert_eq!(upstream.counts().ran, 3);
    });
}
