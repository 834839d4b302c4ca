//! Guards against tasks that are never woken again, whose limits would not hold.

use std::time::Instant;

use futures::future::{join_all, pending, ready};

use super::*;

#[test]
fn run_ready_needs_no_check() {
    task::block_on(async {
        let ticks = Ticks::start();
        let ended = ticks.run(ready(3), || Some("checked")).await;
        assert_eq!(ended, Ok(3));
    });
}

#[test]
fn run_checks_until_stopped() {
    task::block_on(async {
        let ticks = Ticks::start();
        let waiting = (0..100).map(|i| {
            let ticks = ticks.clone();
            task::spawn(async move {
                task::sleep(Duration::from_micros(i * 300)).await;
                let start = Instant::now();
                let check = || (start.elapsed() > Duration::from_millis(40)).then_some(());
                let _ = ticks.run(pending::<()>(), check).await;
                start.elapsed()
            })
        });
        for took in join_all(waiting).await {
            assert!(took > Duration::from_millis(40) && took < Duration::from_secs(2));
        }
    });
}

#[test]
fn run_checks_again_after_other_wakes() {
    task::block_on(async {
        let ticks = Ticks::start();
        let start = Instant::now();
        let noisy = async {
            loop {
                task::yield_now().await;
            }
        };
        let check = || (start.elapsed() > Duration::from_millis(30)).then_some(());
        let ended: Result<(), ()> = ticks.run(noisy, check).await;
        assert_eq!(ended, Err(()));
    });
}
